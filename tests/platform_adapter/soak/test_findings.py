"""What the soak counts as a broken promise."""

import pytest

from platform_adapter.soak import findings
from platform_adapter.soak import records as records_lib

Kind = records_lib.RequestKind
GRACE_SECONDS = 6.0
STOPPED_AT = 100.0
GATEWAY = "g0#1"


def attempt(kind=Kind.BOOKING, sent_at=90.0, ended_at=91.0, **changes):
    values = {
        "id": "a1",
        "kind": kind,
        "gateway": GATEWAY,
        "sent_at": sent_at,
        "ended_at": ended_at,
        "deadline": sent_at + 8.0,
        "status": 200,
        "complete": True,
        "body": findings.expected_body("a1"),
        "signature": "e0",
        "left": False,
    }
    values.update(changes)
    return records_lib.Attempt(**values)


def run(endpoint="e0", broken=False, path="/booking/a1", name="a1"):
    return records_lib.Run(name, endpoint, path, 90.0, 0, not broken, broken)


def stream(count, kind=Kind.STREAM, **changes):
    body = b"".join(findings.event("a1", number) for number in range(count))
    return attempt(kind, body=body, **changes)


EVENTS = findings.events_of("a1")
STREAM_RUN = run(path="/stream/a1")
UNANSWERED = {"status": 0, "complete": False, "body": b"", "signature": ""}

# Test id, attempt, runs, disturbances, first words of the findings.
CASES = [
    ("good", attempt(), [run()], [], []),
    ("two runs", attempt(), [run(), run()], [], ["TWICE"]),
    (
        "refused and run",
        attempt(status=503, body=b"", signature=""),
        [run()],
        [],
        ["REFUSED"],
    ),
    ("refused", attempt(status=503, body=b""), [], [], []),
    ("denied", attempt(status=404, body=b""), [], [], ["DENIED"]),
    ("foreign signature", attempt(signature="e9"), [run()], [], ["MIXED"]),
    ("foreign body", attempt(body=b"other"), [run()], [], ["MIXED"]),
    ("changed path", attempt(), [run(path="/booking/b")], [], ["UNASKED"]),
    ("unknown id", attempt(), [run(), run(name="b")], [], ["UNASKED"]),
    (
        "too many endpoints",
        attempt(Kind.LOOKUP),
        [run(f"e{number}", path="/lookup/a1") for number in range(4)],
        [],
        ["BUDGET"],
    ),
    ("whole stream", stream(EVENTS), [STREAM_RUN], [], []),
    ("short stream", stream(EVENTS - 1), [STREAM_RUN], [], ["ORDER"]),
    (
        "broken stream",
        stream(3, complete=False),
        [STREAM_RUN],
        [],
        [],
    ),
    (
        "event missing",
        stream(2, complete=False, ended_at=91.0)._replace(
            body=findings.event("a1", 0) + findings.event("a1", 2)
        ),
        [STREAM_RUN],
        [],
        ["ORDER"],
    ),
    (
        "cut late in a stop",
        stream(3, sent_at=104.0, ended_at=105.7, complete=False),
        [STREAM_RUN],
        [],
        ["LOST"],
    ),
    (
        "sent early, cut in the last sixth",
        stream(3, sent_at=102.0, ended_at=105.7, complete=False),
        [STREAM_RUN],
        [],
        [],
    ),
    (
        "sent early, cut too early",
        stream(3, sent_at=102.0, ended_at=104.0, complete=False),
        [STREAM_RUN],
        [],
        ["LOST"],
    ),
    (
        "queued and closed",
        attempt(sent_at=104.0, ended_at=105.7, **UNANSWERED),
        [],
        [],
        ["LOST"],
    ),
    (
        "closed before it was read",
        attempt(sent_at=104.0, ended_at=104.1, **UNANSWERED),
        [],
        [],
        [],
    ),
    (
        "the endpoint broke off",
        stream(3, sent_at=104.0, ended_at=105.7, complete=False),
        [run(path="/stream/a1", broken=True)],
        [],
        [],
    ),
    (
        "the gateway was frozen",
        stream(3, sent_at=104.0, ended_at=105.7, complete=False),
        [STREAM_RUN],
        [records_lib.Disturbance(GATEWAY, 101.0, 102.0)],
        [],
    ),
    (
        "another gateway was frozen",
        stream(3, sent_at=104.0, ended_at=105.7, complete=False),
        [STREAM_RUN],
        [records_lib.Disturbance("g1#1", 101.0, 102.0)],
        ["LOST"],
    ),
]


class TestFindings:
    @pytest.mark.parametrize(
        ("seen", "runs", "disturbances", "expected"),
        [case[1:] for case in CASES],
        ids=[case[0] for case in CASES],
    )
    def test_find_all(self, seen, runs, disturbances, expected):
        records = records_lib.Records()
        records.add_stop(GATEWAY, STOPPED_AT)
        for record in [seen, *runs, *disturbances]:
            records.add(record)
        found = findings.find_all(records, GRACE_SECONDS)
        assert [line.split()[0] for line in found] == expected


# Test id, pause (0 if the endpoint leaves), when clients sent the requests
# that reached the endpoint after its statement, disturbances, first words.
STATEMENTS = [
    ("soon after it leaves", 0.0, [91.9], [], []),
    ("after it has left", 0.0, [92.1], [], ["DRAIN"]),
    ("two in a pause", 3.0, [91.0, 92.0], [], []),
    ("three in a pause", 3.0, [91.0, 92.0, 92.5], [], ["BUDGET"]),
    ("three at its begin", 3.0, [90.1, 90.2, 90.4], [], []),
    ("three after its end", 3.0, [93.1, 93.2, 93.3], [], []),
    (
        "frozen gateway",
        3.0,
        [91.0, 92.0, 92.5],
        [records_lib.Disturbance(GATEWAY, 90.5, 90.9)],
        [],
    ),
]


class TestStatements:
    @pytest.mark.parametrize(
        ("pause", "sent", "disturbances", "expected"),
        [case[1:] for case in STATEMENTS],
        ids=[case[0] for case in STATEMENTS],
    )
    def test_finding(self, pause, sent, disturbances, expected):
        records = records_lib.Records()
        records.add(attempt(Kind.LOOKUP, sent_at=89.9, id="told"))
        records.add(records_lib.Statement("told", "e0", 1, 90.0, pause))
        for number, at in enumerate(sent):
            name = f"a{number}"
            records.add(attempt(Kind.LOOKUP, sent_at=at, id=name))
            records.add(records_lib.Arrival(name, "e0", 1, at))
        for disturbance in disturbances:
            records.add(disturbance)
        known = {item.id: item for item in records.attempts}
        found = findings.check_statements(records, known)
        assert [line.split()[0] for line in found] == expected
