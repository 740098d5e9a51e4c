"""Events of a group member, and maps that the bundle no longer allows."""

import group_model
import pytest

from verbenafall_core import event_log
from verbenafall_core import messages
from verbenafall_core.expert_maps import difference
from verbenafall_core.expert_maps import event_catalogue
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch

VICTIM = 1
Difference = difference.Difference
Kind = switch.OrderKind
Phase = record_lib.Phase
STABLE = record_lib.MapRecord(5, Phase.STABLE, 2, 0, 40)
PREPARING = record_lib.MapRecord(6, Phase.PREPARING, 2, 3, 40)
SWITCHING = record_lib.MapRecord(7, Phase.SWITCHING, 2, 3, 90)
OWN = messages.GroupMember("g", "i", (0,), 5, 2, (2, 3), 0, 0, 50)
PREPARED = switch.Order(6, Kind.PREPARE, 3, 0)
ARMED = switch.Order(7, Kind.ARM, 3, 90)
RELEASED = switch.Order(7, Kind.RELEASE, 3, 90)
# Record, changes to the engine's state, accepted orders, differences.
DIFFERENCES = [
    (STABLE, {}, (), ()),
    (STABLE, {"map_version": 0}, (), (Difference.NO_MAP,)),
    (STABLE, {"map_version": 1}, (), (Difference.OTHER_MAP,)),
    (STABLE, {"map_version": 3, "epoch": 9}, (), ()),
    (STABLE, {"armed_step": 40}, (), (Difference.OTHER_ARMED,)),
    (PREPARING, {"map_version": 3}, (), (Difference.OTHER_MAP,)),
    (PREPARING, {}, (PREPARED,), ()),
    (PREPARING, {"prepared": (2,)}, (PREPARED,), (Difference.NOT_PREPARED,)),
    (SWITCHING, {}, (), ()),
    (SWITCHING, {"armed_step": 90}, (ARMED,), ()),
    (SWITCHING, {}, (ARMED,), (Difference.NOT_ARMED,)),
    (SWITCHING, {"armed_step": 40}, (), (Difference.OTHER_ARMED,)),
    (SWITCHING, {}, (ARMED, RELEASED), ()),
    (SWITCHING, {"map_version": 3, "step": 95}, (ARMED, RELEASED), ()),
    (
        SWITCHING,
        {"armed_step": 90},
        (ARMED, RELEASED),
        (Difference.HELD_AGAIN,),
    ),
    (
        SWITCHING,
        {"map_version": 0, "armed_step": 40},
        (),
        (Difference.NO_MAP, Difference.OTHER_ARMED),
    ),
]


@pytest.fixture
def events(monkeypatch):
    """Collect the name and fields of each emitted event."""
    found = []
    monkeypatch.setattr(
        event_log,
        "emit",
        lambda event, **fields: found.append((event.name, fields)),
    )
    return found


def count(events, event):
    return [fields for name, fields in events if name == event.name]


def stable_group(fences=True):
    group = group_model.Group(fences)
    for _ in range(3):
        group.round()
    return group


class TestDifferences:
    @pytest.mark.parametrize(
        ("record", "changes", "orders", "expected"), DIFFERENCES
    )
    def test_find(self, record, changes, orders, expected):
        """Guards against effects of late orders that are not reported."""
        accepted = {order.kind: order for order in orders}
        own = OWN._replace(**changes)
        assert difference.find_differences(record, own, accepted) == expected

    @pytest.mark.parametrize(
        "inject_fault",
        [
            lambda group: group.replace_engine(VICTIM),
            lambda group: setattr(group.engines[VICTIM], "armed", 999),
            lambda group: setattr(group.engines[VICTIM], "map_version", 2),
        ],
        ids=["replaced", "late_arm", "late_release"],
    )
    def test_each_difference_is_logged_once(self, events, inject_fault):
        group = stable_group()
        event = event_catalogue.ENGINE_DIFFERS
        for times in (1, 2):
            inject_fault(group)
            for _ in range(4):
                group.poll(VICTIM)
            assert len(count(events, event)) == times
            group.engines[VICTIM].map_version = 1
            group.poll(VICTIM)

    def test_switch_without_faults_logs_none(self, events):
        """Guards against false reports, in which real ones are overlooked."""
        group = stable_group()
        group.wanted = 2
        for _ in range(20):
            group.round(steps=3)
        assert group.record().map_version == 2
        assert count(events, event_catalogue.ENGINE_DIFFERS) == []


class TestLastingConditions:
    def test_unreachable_engine(self, events):
        """Guards against a log line at each poll."""
        group = stable_group()
        for times in (1, 2):
            group.unreachable = {VICTIM}
            for _ in range(5):
                group.poll(VICTIM)
            found = count(events, event_catalogue.ENGINE_UNREACHABLE)
            assert len(found) == times
            group.unreachable = set()
            group.poll(VICTIM)

    @pytest.mark.parametrize(
        ("event", "inject_fault"),
        [
            (
                event_catalogue.ORDER_HELD,
                lambda group: (
                    group.members[VICTIM].orders.maps.clear()
                    or setattr(group, "maps", group_model.MAPS[1:])
                ),
            ),
            (
                event_catalogue.ORDER_FAILED,
                lambda group: setattr(
                    group, "order_fault", lambda _index, _order: "lost"
                ),
            ),
        ],
        ids=["held", "failed"],
    )
    def test_order_that_is_not_accepted(self, events, event, inject_fault):
        group = stable_group()
        inject_fault(group)
        group.replace_engine(VICTIM)
        for _ in range(5):
            group.poll(VICTIM)
        assert len(count(events, event)) == 1


# What is replaced after the bundle dropped map 1, and the map that the group
# then uses, 0 if it holds until a bundle contains map 1 again.
FORBIDDEN = [
    ("nothing", 2),
    ("rank", 2),
    ("sidecar", 2),
    ("sidecar_and_rank", 0),
]


@pytest.mark.parametrize("fences", [True, False])
class TestMapNoLongerAllowed:
    @pytest.mark.parametrize(("replaced", "expected"), FORBIDDEN)
    def test_map_in_use(self, replaced, expected, fences):
        """Guards against a hold because the bundle dropped the current map."""
        group = stable_group(fences)
        del group.members[0].coordinator.select
        group.maps = group_model.MAPS[1:]
        if "sidecar" in replaced:
            group.kill(VICTIM)
            group.boot(VICTIM)
        if "rank" in replaced:
            group.replace_engine(VICTIM)
        before = group.step
        for _ in range(90):
            group.round(steps=3)
        group.assert_one_map()
        found = {engine.map_version for engine in group.engines}
        assert found == ({expected} if expected else {0, 1})
        assert (group.step > before) == bool(expected)
        group.maps = group_model.MAPS
        group.assert_recovers()

    @pytest.mark.parametrize(
        ("phase", "expected"), [(Phase.PREPARING, 1), (Phase.SWITCHING, 2)]
    )
    def test_target(self, phase, expected, fences):
        """Cancelled while preparing; completed once the boundary is set."""
        group = stable_group(fences)
        group.wanted = 2
        while group.record().phase is not phase:
            group.round()
        group.wanted = 0
        group.maps = group_model.MAPS[:1]
        group.replace_engine(VICTIM)
        for _ in range(30):
            group.round(steps=3)
        group.assert_one_map()
        assert group.record().phase is Phase.STABLE
        assert group.record().map_version == expected
        assert {engine.map_version for engine in group.engines} == {expected}
