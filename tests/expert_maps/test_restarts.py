"""Restarts of sidecars and groups, and late orders and records."""

import pytest

from expert_maps import group_model
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_sidecar.group import group_member
from verbenafall_sidecar.orders import order_gate
from verbenafall_standins.fakes import memory_store

# Rank whose sidecar or engine is restarted.
TARGET = 1
Phase = record_lib.Phase


def stable_group(fences):
    group = group_model.Group(fences)
    for _ in range(3):
        group.round()
    return group


def run_until(group, phase, steps=1):
    for _ in range(30):
        group.round(steps)
        if group.record().phase is phase:
            return
    raise AssertionError(f"the group does not reach {phase}")


def is_start(order):
    return switch.stage_of_order(order) is switch.Stage.START


def check_order_without_epochs(gate, _order):
    """Pass each order once an epoch is known, without comparing epochs."""
    known = gate.epoch > 0
    return (
        order_gate.Verdict.PASSED
        if known
        else order_gate.Verdict.RECORD_UNKNOWN
    )


def run_late_start(fences):
    """Send a delayed start order of an old sidecar during a second switch.

    A sidecar is paused before it sends the order that starts its rank on map
    1. Its successor starts the rank, and the group switches to map 2. While
    the group switches back to map 1, the rank is replaced again and has the
    weights of map 1. The old sidecar then resumes, reads the newest record
    and sends its order.
    """
    group = stable_group(fences)
    group.replace_engine(TARGET)
    old = group.members[TARGET]
    held_back = []
    send_order = old.orders.send

    def pause_at_start(order):
        if not is_start(order):
            return send_order(order)
        held_back.append(order)
        return None

    old.orders.send = pause_at_start
    group.poll(TARGET)
    group.kill(TARGET)
    group.boot(TARGET)
    for other in (0, 2):
        group.close(TARGET, other)
        group.connect(TARGET, other)
    for wanted in (2, 1):
        run_until(group, Phase.STABLE)
        group.wanted = wanted
        run_until(group, Phase.SWITCHING)
        group.wanted = 0
    group.replace_engine(TARGET)
    group.order_fault = lambda _, order: "lost" if is_start(order) else None
    group.watch(TARGET)
    group.poll(TARGET)
    group.order_fault = lambda _index, _order: None
    old.watch_once(group_model.SECOND * 0)
    send_order(held_back[0])
    group.run_steps(2)
    return group


def run_late_record(fences):
    """Deliver an outdated record to a restarted sidecar.

    Sidecar and rank are restarted after the other ranks were released. The
    sidecar reaches neither the store nor its peers, except that a paused peer
    sends the record from before the boundary step was set.
    """
    group = stable_group(fences)
    group.wanted = 2
    run_until(group, Phase.PREPARING, steps=0)
    late = group.members[0].record_message(group.members[0].stored)
    for _ in range(6):
        group.round(steps=0)
    assert all(engine.pending for engine in group.engines)
    group.kill(TARGET)
    group.replace_engine(TARGET)
    group.cuts = {frozenset((0, 1)), frozenset((1, 2))}
    group.store.plan = lambda _: memory_store.Fault.DOWN
    group.boot(TARGET)
    group.members[TARGET].on_record(None, late)
    for _ in range(3):
        group.poll(TARGET)
        group.run_steps(4)
    return group


def confirm_all_views(monkeypatch):
    view = group_member.GroupMemberService.view

    def confirm(member, spec):
        found = view(member, spec)
        return found and found._replace(confirmed=True)

    monkeypatch.setattr(group_member.GroupMemberService, "view", confirm)


@pytest.mark.parametrize("fences", [True, False])
class TestRestartedSidecar:
    def test_late_start_order_is_held(self, fences):
        """Guards against a start on a map that the group no longer uses."""
        group = run_late_start(fences)
        group.assert_one_map()
        group.assert_recovers()

    def test_late_record_starts_no_rank(self, fences):
        """Guards against an unarmed start while others rely on the arming."""
        group = run_late_record(fences)
        group.assert_one_map()
        group.assert_recovers()


class TestMutations:
    def test_gate_without_epochs_is_seen(self, monkeypatch):
        monkeypatch.setattr(
            order_gate, "check_order", check_order_without_epochs
        )
        assert run_late_start(fences=False).mixed

    @pytest.mark.parametrize("fences", [True, False])
    def test_unconfirmed_start_is_seen(self, monkeypatch, fences):
        confirm_all_views(monkeypatch)
        assert run_late_record(fences).mixed


class TestRestartedGroup:
    @pytest.mark.parametrize("fences", [True, False])
    @pytest.mark.parametrize("rounds", range(8))
    def test_restarted_group_counts_steps_from_zero(self, fences, rounds):
        """The boundary step stays; all ranks use the old map up to it."""
        group = stable_group(fences)
        group.run_steps(40)
        group.wanted = 2
        for _ in range(rounds):
            group.round()
        group.wanted = 0
        group.step = 0
        for index in range(group.size):
            group.replace_engine(index)
        group.assert_recovers()
