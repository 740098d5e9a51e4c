"""Finds broken promises in the records of a run; pure functions."""

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

from platform_adapter.soak import records as records_lib

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
DENIED_STATUSES: Final = frozenset({401, 403, 404})
# A gateway counts as disturbed for this long after a kill or a freeze.
CONTACT_SECONDS: Final = 3.0
# A request whose connection closes within this time may not have been read.
LOSS_SLACK_SECONDS: Final = 0.2
# Requests sent so soon after SIGTERM may be cut in the last sixth of the grace
# period, if their endpoint is still at work.
EARLY_SECONDS: Final = 3.0
LAST_PART: Final = 1 / 6
# Time after an answer that says that its endpoint leaves, from which requests
# of clients must not reach the endpoint.
DRAIN_SECONDS: Final = 2.0
# Time after an answer with Retry-After from which it counts, and the requests
# that may still reach the endpoint.
PAUSE_SLACK_SECONDS: Final = 0.5
MAX_ARRIVALS_IN_PAUSE: Final = 2
# Engines to which one attempt of the soak's routes may be sent.
MAX_ATTEMPTS: Final = 3
# Crashes by one part that the users accept at most.
MAX_DEADLY_CRASHES: Final = 3
# Least time by which a client's deadline counts as not reached.
DEADLINE_SLACK_SECONDS: Final = 0.3


def find_all(records: records_lib.Records, grace_seconds: float) -> list[str]:
    """Return one line for each broken promise."""
    runs: dict[str, list[records_lib.Run]] = defaultdict(list)
    for run in records.runs:
        runs[run.attempt].append(run)
    known = {attempt.id: attempt for attempt in records.attempts}
    found = list(records.problems)
    found += unasked(records.runs, known)
    found += check_crashes(records.deadly_crashes)
    found += check_statements(records, known)
    for attempt in records.attempts:
        own = runs[attempt.id]
        found += check_runs(attempt, own)
        found += check_answer(attempt, own)
        found += check_loss(attempt, own, records, grace_seconds)
    return found


def unasked(
    runs: Iterable[records_lib.Run], known: dict[str, records_lib.Attempt]
) -> Iterator[str]:
    """Find runs that no client has asked for."""
    for run in runs:
        attempt = known.get(run.attempt)
        if attempt is None:
            yield f"UNASKED {run.attempt} at {run.endpoint}"
        elif run.path != attempt.kind + attempt.id:
            yield f"UNASKED {run.attempt} changed to {run.path}"


def check_crashes(
    crashes: list[records_lib.DeadlyCrash],
) -> Iterator[str]:
    """Check how many endpoints each deadly cause has crashed."""
    for cause in {crash.cause for crash in crashes}:
        own = [crash for crash in crashes if crash.cause == cause]
        if len(own) > MAX_DEADLY_CRASHES:
            yield f"BUDGET crashes by one {cause}: {own}"


def check_statements(
    records: records_lib.Records, known: dict[str, records_lib.Attempt]
) -> Iterator[str]:
    """Check that requests respect what endpoints said to their gateway."""
    arrivals = defaultdict(list)
    for arrival in records.arrivals:
        attempt = known.get(arrival.attempt)
        if attempt is not None:
            key = arrival.endpoint, arrival.born, attempt.gateway
            arrivals[key].append((arrival.at, attempt))
    for said in records.statements:
        told = known.get(said.attempt)
        if told is None:
            continue
        own = arrivals[said.endpoint, said.born, told.gateway]
        if not said.pause:
            late = [
                attempt.id
                for _, attempt in own
                if attempt.sent_at > said.at + DRAIN_SECONDS
                and got_answer(told, said.endpoint)
                and not is_disturbed(attempt, records.disturbances)
            ]
            if late:
                yield f"DRAIN {said.endpoint} said it leaves, then got {late}"
            continue
        start, end = said.at + PAUSE_SLACK_SECONDS, said.at + said.pause
        early = [
            attempt.id
            for at, attempt in own
            if start < at < end
            and not is_disturbed(attempt, records.disturbances)
        ]
        if len(early) > MAX_ARRIVALS_IN_PAUSE:
            yield f"BUDGET {said.endpoint} pauses {said.pause:.1f} s: {early}"


def got_answer(attempt: records_lib.Attempt, endpoint: str) -> bool:
    """Return whether a client got the answer of an endpoint."""
    return attempt.status == 200 and attempt.signature == endpoint


def check_runs(
    attempt: records_lib.Attempt, runs: list[records_lib.Run]
) -> Iterator[str]:
    """Check how often an attempt ran."""
    if len(runs) > 1 and not attempt.kind.repeatable:
        yield f"TWICE {attempt.id} ran {len(runs)} times"
    refused = attempt.status in NOT_RUN_STATUSES
    if runs and refused and not attempt.kind.repeatable:
        yield f"REFUSED {attempt.id} got {attempt.status} and ran"
    if len({run.endpoint for run in runs}) > MAX_ATTEMPTS:
        yield f"BUDGET {attempt.id} ran on {len(runs)} endpoints"


def check_answer(
    attempt: records_lib.Attempt, runs: list[records_lib.Run]
) -> Iterator[str]:
    """Check an answer against what the endpoints sent."""
    if attempt.status in DENIED_STATUSES:
        yield f"DENIED {attempt.id} got {attempt.status} at {attempt.gateway}"
    if not 200 <= attempt.status < 300:
        return
    if attempt.signature not in {run.endpoint for run in runs}:
        yield f"MIXED {attempt.id} has signature {attempt.signature!r}"
    if not attempt.kind.streaming:
        if attempt.complete and attempt.body != expected_body(attempt.id):
            yield f"MIXED {attempt.id} has body {attempt.body!r}"
        return
    whole = b"".join(event(attempt.id, n) for n in range(events_of(attempt.id)))
    if attempt.complete and attempt.body != whole:
        yield f"ORDER {attempt.id} is complete with {attempt.body[-60:]!r}"
    if not whole.startswith(attempt.body):
        yield f"ORDER {attempt.id} has {attempt.body[-60:]!r}"


def check_loss(
    attempt: records_lib.Attempt,
    runs: list[records_lib.Run],
    records: records_lib.Records,
    grace_seconds: float,
) -> Iterator[str]:
    """Check that a planned stop has not ended an attempt without an answer."""
    stopped = records.stops.get(attempt.gateway)
    if (
        stopped is None
        or attempt.left
        or (attempt.status and attempt.complete)
        or attempt.ended_at < stopped
        or attempt.ended_at > attempt.deadline - DEADLINE_SLACK_SECONDS
        or any(run.broken for run in runs)
        or is_disturbed(attempt, records.disturbances)
    ):
        return
    if not runs and attempt.ended_at - attempt.sent_at < LOSS_SLACK_SECONDS:
        return
    cut_late = attempt.ended_at >= stopped + grace_seconds * (1 - LAST_PART)
    if runs and attempt.sent_at <= stopped + EARLY_SECONDS and cut_late:
        return
    yield (
        f"LOST {attempt.id} ({attempt.kind}) at {attempt.gateway}: sent"
        f" {attempt.sent_at - stopped:.2f} s and closed"
        f" {attempt.ended_at - stopped:.2f} s after SIGTERM, status"
        f" {attempt.status}, {len(runs)} runs"
    )


def is_disturbed(
    attempt: records_lib.Attempt,
    disturbances: Iterable[records_lib.Disturbance],
) -> bool:
    """Return whether the gateway was killed or frozen around an attempt."""
    return any(
        item.gateway == attempt.gateway
        and item.start <= attempt.ended_at
        and item.end + CONTACT_SECONDS >= attempt.sent_at
        for item in disturbances
    )


def events_of(attempt_id: str) -> int:
    """Return the number of events of an attempt's stream."""
    return 4 + sum(attempt_id.encode()) % 20


def event(attempt_id: str, number: int) -> bytes:
    """Return one event of an attempt's stream."""
    return f"id: {number}\ndata: {attempt_id}.{number}\n\n".encode()


def expected_body(attempt_id: str) -> bytes:
    """Return the body of an attempt's answer that is not a stream."""
    return f"body of {attempt_id}".encode()
