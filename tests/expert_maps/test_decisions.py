"""Records, map selection, load, the order gate, and engine responses."""

import datetime
import itertools

import pytest

from verbenafall_core import http_client
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import proposal
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import selection
from verbenafall_core.expert_maps import switch
from verbenafall_sidecar.orders import order_gate
from verbenafall_sidecar.orders import order_http
from verbenafall_sidecar.orders import order_port

MINUTE = datetime.timedelta(minutes=1)
EVEN = model.MapSpec(1, (0, 0, 1, 1))
SPLIT = model.MapSpec(2, (0, 1, 0, 1))
SPEC = model.GroupSpec("g", "s", 2, 4, (EVEN, SPLIT), 1.0, 1.0, 10 * MINUTE, 1)
GOOD = record_lib.MapRecord(3, record_lib.Phase.SWITCHING, 1, 2, 40)
BAD_RECORDS = [
    b"",
    b"\xff",
    b"[]",
    b"{}",
    record_lib.encode(GOOD).replace(b"40", b'"40"'),
    record_lib.encode(GOOD._replace(epoch=0)),
    record_lib.encode(GOOD._replace(target_version=1)),
    record_lib.encode(GOOD._replace(target_version=0)),
    record_lib.encode(GOOD._replace(boundary_step=0)),
    record_lib.encode(GOOD._replace(phase=record_lib.Phase.STABLE)),
]
# Load, its age and the time in use in minutes, changes to the group,
# selected map, reason.
SELECTIONS = [
    ((4, 4, 1, 1), 0, 20, {}, 2, "best"),
    ((1, 1, 1, 1), 0, 20, {}, 1, "current_is_best"),
    ((4, 4, 1, 1), 0, 9, {}, 1, "dwell"),
    ((4, 4, 1, 1), 31, 20, {}, 1, "stale_load"),
    (None, 0, 20, {}, 1, "no_load"),
    ((4, 4, 1, 1), 0, 20, {"moves_per_minute": 0}, 1, "move_rate"),
    ((4, 4, 1, 1), 0, 20, {"move_weight": 34.0}, 1, "hysteresis"),
    ((4, 4, 1, 1), 0, 20, {"move_weight": 99.0}, 1, "current_is_best"),
    ((4, 4, 1, 1), 0, 20, {"maps": (SPLIT,)}, 2, "current_not_allowed"),
]
STATE = (
    b'{"group":"g","ranks":[0],"map_version":1,"prepared":[1],"armed":%s,'
    b'"step":5,"epoch":2,"in_flight":0,"slots":1,"rank_step_ms":[1.5],'
    b'"expert_load":[1]}'
)
ANSWERS = [
    (200, STATE % b"null", 0),
    (200, STATE % b'{"step":9,"map_version":2}', 9),
    (200, b'{"group":"g"}', "invalid"),
    (409, b'{"error":"fenced","epoch":4}', "fenced"),
    (409, b'{"error":"not_prepared"}', "not_prepared"),
    (503, b'{"error":"weights_busy","retry_after_ms":1500}', "busy"),
    (500, b"oops", "invalid"),
]


class TestRecord:
    def test_round_trip(self):
        assert record_lib.decode(record_lib.encode(GOOD)).unwrap() == GOOD

    @pytest.mark.parametrize("data", BAD_RECORDS)
    def test_malformed_is_rejected(self, data):
        """Guards against orders that are based on an invalid record."""
        assert record_lib.decode(data).failure()


class TestSelection:
    @pytest.mark.parametrize(
        ("load", "age", "in_use", "changes", "chosen", "reason"), SELECTIONS
    )
    def test_select(self, load, age, in_use, changes, chosen, reason):
        now = 100 * MINUTE
        history = load_history.empty_history(4)
        if load is not None:
            report = load_history.LoadReport(now - age * MINUTE, load)
            history = load_history.add_report(history, report)
        inputs = selection.SelectionInput(
            1, history, now, now - in_use * MINUTE
        )
        choice = selection.select(SPEC._replace(**changes), inputs)
        assert (choice.version, choice.reason) == (chosen, reason)

    @pytest.mark.parametrize(
        ("times", "found"),
        [
            ((10.0, 10.0, 10.0, 10.0), ()),
            ((10.0, 10.0, 10.0, 20.0), (3,)),
            ((12.0, 14.0, 16.0, 18.0), ()),
            ((12.0, 14.0, 40.0, 18.0), (2,)),
        ],
    )
    def test_straggler_is_distinguished_from_load(self, times, found):
        """A long step time is a fault only if the load does not explain it."""
        placed = model.MapSpec(1, (0, 1, 2, 3))
        spec = SPEC._replace(ranks=4, maps=(placed,))
        shares = (0.1, 0.2, 0.3, 0.4)
        if times[0] == times[1]:
            shares = (0.25,) * 4
        by_rank = dict(enumerate(times))
        stragglers = selection.find_stragglers(spec, 1, shares, by_rank)
        assert stragglers == found


class TestLoadHistory:
    def test_order_of_arrival_does_not_matter(self):
        """Guards against late reports with the weight of new ones."""
        reports = [
            load_history.LoadReport(minute * MINUTE, (1.0 + minute, 8.0))
            for minute in (1, 6, 11)
        ]
        histories = set()
        for order in itertools.permutations(reports):
            history = load_history.empty_history(2)
            for report in order:
                history = load_history.add_report(history, report)
            rounded = tuple(round(value, 9) for value in history.load)
            histories.add((history.as_of, rounded))
        assert histories == {(11 * MINUTE, (16.0, 14.0))}

    @pytest.mark.parametrize("tokens", [(1.0,), (-1.0, 1.0)])
    def test_invalid_reports_are_ignored(self, tokens):
        history = load_history.empty_history(2)
        report = load_history.LoadReport(MINUTE, tokens)
        assert load_history.add_report(history, report) == history


class TestProposal:
    def test_fills_ranks_evenly(self):
        load = [9.0, 1.0, 8.0, 2.0, 7.0, 3.0]
        proposed = proposal.propose_map(5, load, 3)
        assert sorted(proposed.placement) == [0, 0, 1, 1, 2, 2]
        shares = load_history.load_shares(load)
        assert selection.expected_skew(proposed, shares, 3) == 1.0

    def test_swaps_reduce_skew(self):
        shares = (0.4, 0.4, 0.1, 0.1)
        adapted = proposal.adapt_map(3, EVEN, shares, 2, 1)
        assert selection.count_moved(EVEN, adapted) == 2
        assert selection.expected_skew(adapted, shares, 2) == 1.0


class TestOrderGate:
    @pytest.mark.parametrize(
        ("epochs", "verdict"),
        [
            ([], order_gate.Verdict.RECORD_UNKNOWN),
            ([3], order_gate.Verdict.PASSED),
            ([4, 2], order_gate.Verdict.OLD_EPOCH),
        ],
    )
    def test_check_order(self, epochs, verdict):
        """Guards against orders of an old epoch from a restarted sidecar."""
        gate = order_gate.closed_gate()
        for epoch in epochs:
            gate = order_gate.raise_epoch(gate, epoch)
        order = switch.Order(3, switch.OrderKind.ARM, 2, 40)
        assert order_gate.check_order(gate, order) is verdict


class TestOrderHttp:
    @pytest.mark.parametrize(("status", "body", "expected"), ANSWERS)
    def test_parse_response(self, status, body, expected):
        response = http_client.HttpResponse(status, (), body)
        result = order_http.parse_response(response)
        if isinstance(expected, int):
            assert result.unwrap().armed_step == expected
        else:
            kind = order_port.FailureKind(expected)
            assert result.failure().kind is kind
