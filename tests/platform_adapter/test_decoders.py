"""Tests of the decoders, with valid objects and with one invalid field."""

import copy
import datetime

import msgspec
import pytest

from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import revisions
from verbenafall_core.routes import model
from verbenafall_platform import configuration
from verbenafall_platform import decoding
from verbenafall_platform import listed_endpoints
from verbenafall_platform import rank_engine

CONFIGURATION = {
    "version": 7,
    "unknown": {"later": 1},
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path-prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 8000,
            "target-latency-ms": 502,
            "itl-target-ms": 120,
            "priority": 1,
            "traffic-split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max-attempts": 2,
            "public": False,
            "stream-resume": True,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path-prefix": "/b/",
            "kind": "non_idempotent",
            "timeout-ms": 1000,
            "target-latency-ms": 100,
            "service": "s2",
        },
    ],
    "services": [
        {
            "name": "s1",
            "max-connections": 348,
            "engine": {
                "slots": 6,
                "kv-cache-tokens": 140000,
                "link-mbps": 180000.0,
                "stride": 4,
                "step_ms": 4.55,
                "per_seq_ms": 1.81,
                "sets": 4,
                "experts": 64,
                "placements": 5,
                "spare": 2,
                "expert-mb": 2250.0,
            },
        },
        {"name": "s2"},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}],
}

ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "slots": 6,
    "state": "ready",
    "born": 1,
}

REPORT = {
    "group": {"name": "g0", "epoch": 2, "rank": 3, "state": "open"},
    "size": 16,
    "step": 56,
    "expert-map": 9,
    "prepared": {"version": 10, "experts": [[1]]},
    "armed": {"version": 10, "step": 60},
    "held": 60,
    "pace": 1.52,
}

BAD_CONFIGURATIONS = [
    ("no version", ("version",), None),
    ("version is text", ("version",), "7"),
    ("version is a boolean", ("version",), True),
    ("no routes", ("routes",), None),
    ("unknown kind", ("routes", 0, "kind"), "other"),
    ("no service", ("routes", 1, "service"), None),
    ("timeout is text", ("routes", 0, "timeout-ms"), "8000"),
    ("no limits", ("limits",), None),
    ("keys are text", ("tenants", 0, "api-keys"), "k1"),
]

BAD_ENTRIES = [
    ("no address", "address", None),
    ("address with a name", "address", "host:1"),
    ("unknown state", "state", "sleeping"),
    ("no service", "service", None),
    ("slots are text", "slots", "6"),
]

# Start as decoded, by the value in the entry.
STARTS = [
    (1764826141000, 1764826141000),
    (0, 0),
    (None, None),
    ("1764826141000", None),
    (1.5, None),
    (True, None),
    ([], None),
]


def changed(source, path, value):
    """Return a copy with one field changed, or removed if value is None."""
    result = copy.deepcopy(source)
    container = result
    for step in path[:-1]:
        container = container[step]
    if value is None:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return result


class TestConfiguration:
    def test_fields(self):
        found = configuration.decode_configuration(CONFIGURATION)
        first, second = found.routes
        assert found.version == 7
        assert first.kind is model.RequestKind.STREAM
        assert first.services[1] == model.ServiceShare("s2", 10.0)
        assert first.event_gap_target == datetime.timedelta(milliseconds=120)
        assert (first.repeatable, second.repeatable) == (True, False)
        assert second.services == (model.ServiceShare("s2", 1.0),)
        layout = found.services["s1"].engine.layout
        assert layout.copy_time == datetime.timedelta(milliseconds=100)
        assert found.services["s2"].engine is None
        assert found.teams_by_key["k2"] == model.Team("t1", 1)

    def test_no_teams_without_tenants(self):
        source = changed(CONFIGURATION, ("tenants",), None)
        assert configuration.decode_configuration(source).teams_by_key is None

    @pytest.mark.parametrize(
        ("path", "value"),
        [case[1:] for case in BAD_CONFIGURATIONS],
        ids=[case[0] for case in BAD_CONFIGURATIONS],
    )
    def test_bad_field(self, path, value):
        with pytest.raises(decoding.DecodeError):
            configuration.decode_configuration(
                changed(CONFIGURATION, path, value)
            )


class TestEntries:
    def test_fields(self):
        found = listed_endpoints.decode_endpoint("i-1", ENTRY)
        assert (found.id, found.service, found.slots) == ("i-1", "s1", 6)
        assert not found.draining
        assert str(found.address) == "10.0.0.9:8080"

    @pytest.mark.parametrize(("value", "expected"), STARTS)
    def test_store_restored_start_of_the_engine(self, value, expected):
        """A start that is missing or malformed counts as unknown."""
        entry = changed(ENTRY, ("born",), value)
        found = listed_endpoints.decode_endpoint("i-1", entry)
        assert found.started_at == expected

    @pytest.mark.parametrize(
        ("name", "value"),
        [case[1:] for case in BAD_ENTRIES],
        ids=[case[0] for case in BAD_ENTRIES],
    )
    def test_bad_field(self, name, value):
        with pytest.raises(decoding.DecodeError):
            listed_endpoints.decode_endpoint(
                "i-1", changed(ENTRY, (name,), value)
            )

    @pytest.mark.parametrize("spec", [None, [], "text", 3])
    def test_spec_that_is_not_an_object(self, spec):
        with pytest.raises(decoding.DecodeError):
            listed_endpoints.decode_endpoint("i-1", spec)


class TestRankEngine:
    def test_report(self):
        found = rank_engine.decode_report(REPORT)
        assert found == rank_state.RankReport(
            "g0", 3, 16, 2, True, 56, 9, 10, rank_state.Armed(10, 60), 60, 1.5
        )

    def test_report_of_a_rank_without_orders(self):
        source = {**REPORT, "prepared": None, "armed": None, "held": None}
        found = rank_engine.decode_report(source)
        assert (found.prepared, found.armed, found.held) == (0, None, None)

    def test_counts_are_flattened(self):
        source = {"step": 1, "epoch": 2, "counts": [[1, 2], [3, 4]]}
        assert rank_engine.decode_counts(source).counts == (1, 2, 3, 4)

    def test_order_has_only_the_fields_of_its_kind(self):
        order = rank_state.RankOrder(rank_state.OrderKind.ARM, 5, 2, 10, 60, ())
        assert rank_engine.encode_order(order) == {
            "operation": "arm",
            "fencing-token": 5,
            "epoch": 2,
            "version": 10,
            "step": 60,
        }

    def test_store_restored_term_is_exact_in_the_body(self):
        term = revisions.create_revision(
            revisions.MAX_ERA, revisions.MAX_NUMBER
        )
        order = rank_state.RankOrder(
            rank_state.OrderKind.HOLD, term, 2, 0, 60, ()
        )
        body = msgspec.json.encode(rank_engine.encode_order(order))
        assert msgspec.json.decode(body)["fencing-token"] == term
        assert int(float(term)) == term
