"""Time of the map selection by the lease holder."""

import datetime

from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import coordinator
from verbenafall_core.expert_maps import load_history
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_standins.fakes import manual_clock
from verbenafall_standins.fakes import memory_store

MAPS = (model.MapSpec(1, (0, 0, 1, 1)), model.MapSpec(2, (0, 1, 0, 1)))
SPEC = model.GroupSpec("g", "s", 2, 4, MAPS, 1, 1, datetime.timedelta(), 1)


class TestSelection:
    def test_forbidden_map_is_left_before_the_next_selection(self):
        """Guards against further use of a map that the bundle has dropped."""
        created = coordinator.create_coordinator(
            "g",
            memory_store.create_memory_store(),
            manual_clock.create_manual_clock(),
        )
        record = record_lib.first_record(1)
        load = load_history.GroupLoad(load_history.empty_history(4), {})
        assert created.select(SPEC, record, load) == 0
        assert created.select(SPEC._replace(maps=MAPS[1:]), record, load) == 2
