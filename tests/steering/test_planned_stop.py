"""Tests a planned stop of the sidecar that leads its rank group."""

import contextlib
import datetime
import threading

import pytest

from forwarding import forwarding_fakes
from steering import rank_fleet
from steering import rank_model
from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import metrics
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import rank_state
from verbenafall_core.object_store import store_era
from verbenafall_sidecar.steering import ports as ports_lib
from verbenafall_sidecar.steering import steering as steering_lib
from verbenafall_sidecar.steering import steering_settings
from verbenafall_standins.demo import plan
from verbenafall_standins.fakes import memory_store

LIMIT = datetime.timedelta(seconds=8)


class SlowPort(rank_fleet.ModelPort):
    """The port to a rank that answers orders only when it may."""

    def __init__(self, group):
        super().__init__(group, 0)
        self.entered = threading.Event()
        self.proceed = threading.Event()
        self.on_order = self.answer_later

    def answer_later(self, _port, order):
        self.entered.set()
        self.proceed.wait(forwarding_fakes.WAIT_SECONDS)
        return self.rank.handle_order(order)


@contextlib.contextmanager
def leading(port):
    """Run a steering sidecar whose engine is the only rank of its group."""
    free = plan.Ports()
    settings = steering_settings.SteeringSettings(
        name="side-1",
        data_centre="dc",
        service="s",
        engine=addresses.Address("127.0.0.1", 1),
        link_listen=free.next_address(),
        metrics_listen=None,
        object_store="",
        adapter="",
        log_level="INFO",
        stop_limit=LIMIT,
        link_rate=1e8,
    )
    listed = [forwarding_fakes.MemoryCollection() for _ in range(3)]
    steering = steering_lib.create_steering(
        settings,
        ports_lib.SidecarPorts(
            listed[0],
            listed[1],
            memory_store.create_memory_store(),
            listed[2],
            lambda _address: port,
            store_era.create_store_era(),
        ),
        clock_lib.system_clock(),
        metrics.NullMetrics(),
    )
    steering.start()
    try:
        yield steering
    finally:
        for item in listed:
            item.close()
        free.release()


class TestFinish:
    @pytest.mark.parametrize(
        "phase",
        [
            pass_switch.Phase.IDLE,
            pass_switch.Phase.PREPARE,
            pass_switch.Phase.HOLD,
            pass_switch.Phase.ARM,
            pass_switch.Phase.RELEASE,
        ],
    )
    def test_no_switch_follows(self, phase):
        fleet = rank_fleet.Fleet()
        fleet.run_until(lambda: fleet.leader.switch.phase is phase)
        leader = fleet.leader
        assert not leader.finish(datetime.timedelta())
        fleet.run_until(leader.finished.is_set)
        assert all(rank.held is None for rank in fleet.group.ranks)
        version = leader.last_version
        for _ in range(300):
            fleet.step()
        assert leader.last_version == version
        assert leader.switch.phase is pass_switch.Phase.IDLE


class TestPlannedStop:
    @pytest.mark.parametrize("armed", [None, rank_state.Armed(7, 1)])
    def test_held_group_is_released(self, armed):
        """Guards against a stop that leaves the group without passes."""
        group = rank_model.ModelGroup(1)
        (rank,) = group.ranks
        rank.held, rank.armed = 1, armed
        rank.prepared = 7
        port = SlowPort(group)
        with leading(port) as steering:
            assert port.entered.wait(forwarding_fakes.WAIT_SECONDS)
            stopper = threading.Thread(target=steering.stop, args=(LIMIT,))
            stopper.start()
            forwarding_fakes.wait_until(
                lambda: (
                    steering.agent.stopped
                    or steering.leadership.leader.finishing
                )
            )
            port.proceed.set()
            stopper.join(forwarding_fakes.WAIT_SECONDS)
            assert not stopper.is_alive()
        assert rank.held is None
        assert group.start_pass()
