"""Mutations of all other mechanisms: each must turn a matrix cell red.

Guards against flows whose checks pass although a mechanism is broken.
"""

import pytest

from expert_maps import test_restarts
from faults import matrix
from verbenafall_core import leases
from verbenafall_core.bundles import adoption
from verbenafall_core.bundles import head_repair
from verbenafall_core.expert_maps import pass_switch
from verbenafall_core.expert_maps import switch
from verbenafall_core.object_store import revisions
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import service_state
from verbenafall_gateway.delivery import drain as gateway_drain
from verbenafall_gateway.forwarding import departures
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.links import link_targets
from verbenafall_sidecar.delivery import drain as sidecar_drain
from verbenafall_sidecar.orders import order_gate
from verbenafall_standins.fakes import memory_store


def release_without_arming(patch):
    patch.setattr(switch, "all_committed", lambda _view: True)


def ignore_unclaimed_ranks(patch):
    patch.setattr(
        switch,
        "check_coverage",
        lambda _members, _ranks: switch.Coverage((), ()),
    )


def hold_lease_past_expiry(patch):
    original = leases.LeaseService.held
    patch.setattr(
        leases.LeaseService,
        "held",
        lambda service: (
            (service.last_held and original(service)) or service.last_held
        ),
    )


def ignore_accepted_version(patch):
    patch.setattr(
        adoption, "_learn_accepted", lambda knowledge, _version: knowledge
    )


def assume_permanent_contact(patch):
    patch.setattr(adoption, "in_contact", lambda _knowledge, _now: True)


def activate_before_accepted(patch):
    choose = adoption.choose_version

    def choose_pending(knowledge, now):
        has_pending = knowledge.pending in knowledge.held
        return knowledge.pending if has_pending else choose(knowledge, now)

    patch.setattr(adoption, "choose_version", choose_pending)


def ignore_draining(patch):
    patch.setattr(
        endpoint_view.EndpointView,
        "is_available",
        lambda view, address, _endpoint: (
            view.routable is None or address in view.routable
        ),
    )


def ignore_instance_list(patch):
    patch.setattr(
        endpoint_view.EndpointView, "set_routable", lambda *_arguments: None
    )


def apply_targets_by_interval_only(patch):
    patch.setattr(
        link_targets.LinkTargets, "subscribe_to_changes", lambda _targets: None
    )


def close_busy_links(patch):
    patch.setattr(
        endpoint_view.EndpointView, "busy_addresses", lambda _v: frozenset()
    )


def stop_gateway_with_open_requests(patch):
    def run(drain, _limit):
        drain.state.enter(service_state.Phase.LEAVING)
        drain.wait(gateway_drain.READINESS_PROPAGATION_DELAY)
        drain.state.enter(service_state.Phase.REFUSING)
        return drain.activity.count

    patch.setattr(gateway_drain.Drain, "run", run)


def stop_sidecar_with_open_attempts(patch):
    def drain(work, announce, _limit):
        work.start_drain()
        announce(work.snapshot())
        return 0

    patch.setattr(sidecar_drain, "drain", drain)


def ignore_order_epochs(patch):
    patch.setattr(
        order_gate, "check_order", test_restarts.check_order_without_epochs
    )


def release_before_all_are_armed(patch):
    """Release while one rank is not armed."""

    def release_early(plan, ranks):
        armed = sum(
            pass_switch.is_armed(plan, view.report) for view in ranks.values()
        )
        if armed < len(ranks) - 1:
            return plan
        return plan._replace(phase=pass_switch.Phase.RELEASE)

    patch.setitem(
        pass_switch._TRANSITIONS, pass_switch.Phase.ARM, release_early
    )


def arm_without_hold(patch):
    patch.setitem(
        pass_switch._TRANSITIONS,
        pass_switch.Phase.HOLD,
        lambda plan, _ranks: plan._replace(phase=pass_switch.Phase.ARM),
    )


def skip_hold_recovery(patch):
    patch.setattr(
        pass_switch, "recover", lambda term, _ranks: pass_switch.idle(term)
    )


def store_restored_revisions_go_back(patch):
    """Take the store's own number as the revision."""
    patch.setattr(revisions, "create_revision", lambda _era, number: number)


def store_restored_head_stays_old(patch):
    patch.setattr(head_repair, "find_newer_head", lambda _stored, _known: None)


def store_restored_text_stays_lost(patch):
    patch.setattr(
        head_repair.HeadRepair, "write_text", lambda _repair, _signed: True
    )


def store_restored_copies_count_as_written(patch):
    """Take each entry of the new era for one that was written after it."""
    patch.setattr(
        departures,
        "has_returned",
        lambda departure, version, _endpoint, _copied_until: (
            version > departure.version
        ),
    )


def store_restored_entries_have_no_grace(patch):
    patch.setattr(endpoint_directory, "REGISTRATION_GRACE_SECONDS", 0.0)


def store_restored_lease_has_no_era(patch):
    """Let an update succeed whose version is of an earlier era."""
    patch.setattr(
        memory_store.MemoryStore, "_is_of_older_era", lambda *_arguments: False
    )
    patch.setattr(
        memory_store.MemoryStore, "_version", lambda _store, number: number
    )


# Property, flow, mutation, expected part of the reason of a red cell.
MUTATIONS = [
    ("P4", "old_orders_unfenced", ignore_order_epochs, "two maps"),
    ("MAP", "rank_switch_fenced", release_before_all_are_armed, "two maps"),
    ("MAP", "rank_switch_unfenced", arm_without_hold, "two maps"),
    ("hold", "rank_switch_fenced", skip_hold_recovery, "for ever"),
    ("P4", "map_switch_fenced", release_without_arming, "two maps"),
    ("P4", "map_switch_unfenced", release_without_arming, "two maps"),
    ("P4", "map_switch_unfenced", ignore_unclaimed_ranks, "map 2 and not 0"),
    ("lease", "lease", hold_lease_past_expiry, "two holders"),
    (
        "MAP",
        "rank_switch_fenced",
        store_restored_revisions_go_back,
        "no map came into use",
    ),
    (
        "P4",
        "map_switch_unfenced",
        store_restored_revisions_go_back,
        "map 1 and not 2",
    ),
    ("P5", "bundle_roll", store_restored_head_stays_old, "store has the head"),
    ("P5", "bundle_roll", store_restored_text_stays_lost, "has no text"),
    ("P5", "bundle_roll", ignore_accepted_version, "with the fault"),
    ("P5", "bundle_roll", assume_permanent_contact, "check failed: p1"),
    ("P5", "bundle_roll", activate_before_accepted, "p1 runs 1 after the"),
    ("lease", "lease", store_restored_lease_has_no_era, "two holders"),
    ("P5", "start", store_restored_head_stays_old, "the store has Head"),
    ("P5", "start", store_restored_text_stays_lost, "has no text"),
    ("P6", "entries", store_restored_copies_count_as_written, "uses"),
    ("entries", "entries", store_restored_entries_have_no_grace, "lacks"),
    ("P6", "leaving_by_links", ignore_draining, "new work after 3 s"),
    ("P6", "leaving_by_list", ignore_instance_list, "new work after 3 s"),
    (
        "P6",
        "leaving_by_list",
        apply_targets_by_interval_only,
        "new work after 3 s",
    ),
    ("P6", "leaving_by_list", close_busy_links, "link of an open attempt"),
    (
        "P7",
        "stop_gateway",
        stop_gateway_with_open_requests,
        "a response is truncated",
    ),
    (
        "P7",
        "stop_sidecar",
        stop_sidecar_with_open_attempts,
        "complete answers: []",
    ),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("flow_name", "mutate", "reason"),
        [row[1:] for row in MUTATIONS],
        ids=[f"{row[0]}-{row[1]}-{row[2].__name__}" for row in MUTATIONS],
    )
    def test_mutation_turns_a_cell_red(
        self, monkeypatch, flow_name, mutate, reason
    ):
        flows = [f for f in matrix.find_flows() if f.name == flow_name]
        mutate(monkeypatch)
        red = matrix.run_all(tuple(flows), seed=1).red()
        assert any(reason in verdict.reason for verdict in red)
