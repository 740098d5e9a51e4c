"""Deliberate mutations of the product turn cells of the matrix red.

Guards against flows that hold because their checks see nothing.
"""

import pytest

from faults import matrix
from verbenafall_core import leases
from verbenafall_core.bundles import adoption
from verbenafall_core.bundles import service as bundle_service
from verbenafall_core.expert_maps import switch
from verbenafall_gateway import drain as gateway_drain
from verbenafall_gateway import endpoint_view
from verbenafall_gateway import link_targets
from verbenafall_gateway import service_state
from verbenafall_sidecar import drain as sidecar_drain


def release_without_arming(patch):
    patch.setattr(switch, "all_committed", lambda _view: True)


def lower_the_boundary(patch):
    def write(view, margin):
        return view.record._replace(
            epoch=view.record.epoch + 1,
            phase=switch.record_lib.Phase.SWITCHING,
            boundary_step=max(m.step for m in view.members()) + 1,
        )

    patch.setattr(switch, "_switch", write)
    patch.setattr(switch, "find_passed", lambda *_arguments: 0)


def hold_past_the_lease(patch):
    held = leases.LeaseService.held
    patch.setattr(
        leases.LeaseService,
        "held",
        lambda service: (
            (service.last_held and held(service)) or service.last_held
        ),
    )


def forget_the_accepted(patch):
    patch.setattr(
        adoption, "_learn_accepted", lambda knowledge, _version: knowledge
    )


def hear_no_peers(patch):
    patch.setattr(
        bundle_service.BundleService, "on_heartbeat", lambda *_arguments: None
    )


def poll_the_store_once(patch):
    due = bundle_service.BundleService.poll_is_due
    patch.setattr(
        bundle_service.BundleService,
        "poll_is_due",
        lambda service: service.last_poll is None and due(service),
    )
    hear_no_peers(patch)


def ignore_draining(patch):
    patch.setattr(
        endpoint_view.EndpointView,
        "is_available",
        lambda view, address, _endpoint: (
            view.routable is None or address in view.routable
        ),
    )


def ignore_the_list(patch):
    patch.setattr(
        endpoint_view.EndpointView, "set_routable", lambda *_arguments: None
    )


def apply_by_interval(patch):
    patch.setattr(link_targets.LinkTargets, "follow", lambda _targets: None)


def close_busy_links(patch):
    patch.setattr(
        endpoint_view.EndpointView, "busy_addresses", lambda _v: frozenset()
    )


def stop_gateway_at_once(patch):
    def run(drain, _limit):
        drain.state.enter(service_state.Phase.LEAVING)
        drain.wait(gateway_drain.NOTICE)
        drain.state.enter(service_state.Phase.REFUSING)
        return drain.activity.count

    patch.setattr(gateway_drain.Drain, "run", run)


def stop_sidecar_at_once(patch):
    def drain(work, announce, _limit):
        work.begin_drain()
        announce(work.snapshot())
        return 0

    patch.setattr(sidecar_drain, "drain", drain)


# Property, flow, mutation.
MUTATIONS = [
    ("P4", "map_switch_fenced", release_without_arming),
    ("P4", "map_switch_unfenced", release_without_arming),
    ("P4", "map_switch_unfenced", lower_the_boundary),
    ("lease", "lease", hold_past_the_lease),
    ("P5", "bundle_roll", forget_the_accepted),
    ("P5", "bundle_roll", poll_the_store_once),
    ("P6", "leaving_by_links", ignore_draining),
    ("P6", "leaving_by_list", ignore_the_list),
    ("P6", "leaving_by_list", apply_by_interval),
    ("P6", "leaving_by_list", close_busy_links),
    ("P7", "stop_gateway", stop_gateway_at_once),
    ("P7", "stop_sidecar", stop_sidecar_at_once),
]


class TestMutations:
    @pytest.mark.parametrize(
        ("flow_name", "mutate"),
        [row[1:] for row in MUTATIONS],
        ids=[f"{row[0]}-{row[1]}-{row[2].__name__}" for row in MUTATIONS],
    )
    def test_is_seen(self, monkeypatch, flow_name, mutate):
        flows = [f for f in matrix.find_flows() if f.name == flow_name]
        mutate(monkeypatch)
        assert matrix.run_all(tuple(flows), seed=1).red()
