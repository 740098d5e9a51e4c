"""Sends the orders of a rank group to one engine if the gate allows it."""

from collections.abc import Mapping

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_core.expert_maps import difference
from verbenafall_core.expert_maps import event_catalogue
from verbenafall_core.expert_maps import record as record_lib
from verbenafall_core.expert_maps import switch
from verbenafall_sidecar.orders import order_gate
from verbenafall_sidecar.orders import order_port


class EngineOrders:
    """Sends orders to one engine and stores those that it accepted.

    Attributes:
        gate: Rejects orders of epochs before the newest known one.
        released_step: Boundary step of the last release that the engine
            accepted, 0 for none or when it is armed again. The engine's state
            does not show a release before the boundary step has run.
        accepted: Last order of each kind that the engine accepted.
        maps: Known maps by version.
        next_order: Monotonic time before which no order is sent.
    """

    def __init__(
        self,
        group: str,
        engine: order_port.OrderPort,
        change_log: event_log.ConditionLog,
        clock: clock_lib.Clock,
    ) -> None:
        """Create a sender whose gate rejects all orders."""
        self.group = group
        self.engine = engine
        self.change_log = change_log
        self.clock = clock
        self.gate = order_gate.closed_gate()
        self.released_step = 0
        self.accepted: dict[switch.OrderKind, switch.Order] = {}
        self.maps: dict[int, model.MapSpec] = {}
        self.next_order = clock.monotonic()

    def raise_epoch(self, epoch: int) -> None:
        """Reject orders of earlier epochs from now on."""
        self.gate = order_gate.raise_epoch(self.gate, epoch)

    def clear_accepted(self) -> None:
        """Discard the accepted orders after the engine was replaced."""
        self.accepted.clear()

    def may_send(self) -> bool:
        """Return whether the delay requested by the engine has passed."""
        return self.clock.monotonic() >= self.next_order

    def update_maps(
        self, spec: model.GroupSpec, record: record_lib.MapRecord | None
    ) -> None:
        """Store the maps that the bundle allows and keep those in the record.

        The group may be switching away from a map that the bundle no longer
        allows. A rank that is replaced during the switch has to start on it.
        """
        named = (record.map_version, record.target_version) if record else ()
        kept = {v: self.maps[v] for v in named if v in self.maps}
        self.maps = kept | {item.version: item for item in spec.maps}

    def is_release_in_effect(
        self, order: switch.Order, state: order_port.EngineState | None
    ) -> bool:
        """Return whether an order is a release that is already in effect."""
        return (
            order.kind is switch.OrderKind.RELEASE
            and order.step == self.released_step > 0
            and state is not None
            and state.armed_step == 0
        )

    def send(self, order: switch.Order) -> order_port.EngineState | None:
        """Send an order if the gate allows it and its map is known.

        Returns:
            The state of the engine, None if the order was not accepted.
        """
        placement = find_placement(self.maps, order)
        verdict = order_gate.check_order(self.gate, order)
        if verdict is not order_gate.Verdict.PASSED or placement is None:
            reason = "map_not_in_bundle" if placement is None else verdict
            self.change_log.emit(
                event_catalogue.ORDER_HELD,
                (reason, order),
                group=self.group,
                reason=reason,
                **order._asdict(),
            )
            return None
        result = self.engine.send_order(order, placement)
        if isinstance(result, returns.result.Failure):
            self.handle_failure(order, result.failure())
            return None
        self.change_log.clear(event_catalogue.ORDER_HELD)
        self.change_log.clear(event_catalogue.ORDER_FAILED)
        event_log.emit(
            event_catalogue.ORDER_SENT,
            group=self.group,
            **order._asdict(),
        )
        if order.kind is switch.OrderKind.RELEASE and order.step:
            self.released_step = order.step
        self.accepted[order.kind] = order
        return result.unwrap()

    def handle_failure(
        self, order: switch.Order, failure: order_port.OrderFailure
    ) -> None:
        """Log the failure; delay the next order if the engine asks for it."""
        self.next_order = self.clock.monotonic() + failure.retry_after
        self.change_log.emit(
            event_catalogue.ORDER_FAILED,
            (failure.kind, order),
            group=self.group,
            cause=failure.kind,
            problem=failure.message,
            **order._asdict(),
        )

    def report_differences(
        self, record: record_lib.MapRecord, own: messages.GroupMember
    ) -> None:
        """Log how the engine differs from record and orders, on changes."""
        found = difference.find_differences(record, own, self.accepted)
        self.change_log.emit(
            event_catalogue.ENGINE_DIFFERS,
            found or None,
            group=self.group,
            differences=",".join(found),
            step=own.step,
            map_version=own.map_version,
            armed_step=own.armed_step,
        )


def find_placement(
    maps: Mapping[int, model.MapSpec], order: switch.Order
) -> tuple[int, ...] | None:
    """Return the placement to send with an order.

    It is empty except for a prepare order, and None if the map of a prepare
    order is not known.
    """
    if order.kind is not switch.OrderKind.PREPARE:
        return ()
    known = maps.get(order.map_version)
    return known.placement if known else None


def create_engine_orders(
    group: str,
    engine: order_port.OrderPort,
    change_log: event_log.ConditionLog,
    clock: clock_lib.Clock,
) -> EngineOrders:
    """Create a sender whose gate rejects all orders."""
    return EngineOrders(group, engine, change_log, clock)
