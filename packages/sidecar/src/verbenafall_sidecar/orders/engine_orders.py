"""Gives the orders of a rank group to one engine, through the gate."""

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
    """Orders to one engine, and which of them it took.

    Attributes:
        released_step: Boundary step for which the engine took a release in
            this switch, 0 for none. Until that step an engine does not show
            that it was released.
        taken: Last order of each kind that the engine took.
        maps: Known maps by version.
    """

    def __init__(
        self,
        group: str,
        engine: order_port.OrderPort,
        changes: event_log.ConditionLog,
        clock: clock_lib.Clock,
    ) -> None:
        """Create a giver of orders whose gate is closed."""
        self.group = group
        self.engine = engine
        self.changes = changes
        self.clock = clock
        self.gate = order_gate.closed_gate()
        self.released_step = 0
        self.taken: dict[switch.OrderKind, switch.Order] = {}
        self.maps: dict[int, model.MapSpec] = {}
        self.next_order = clock.monotonic()

    def learn_epoch(self, epoch: int) -> None:
        """Hold orders of earlier epochs from now on."""
        self.gate = order_gate.learn_epoch(self.gate, epoch)

    def forget_taken(self) -> None:
        """Forget what an engine took that has been replaced."""
        self.taken.clear()

    def may_give(self) -> bool:
        """Return whether the engine has not asked to wait."""
        return self.clock.monotonic() >= self.next_order

    def learn_maps(
        self, spec: model.GroupSpec, record: record_lib.MapRecord | None
    ) -> None:
        """Keep the allowed maps, and those that the record names.

        A rank that is replaced while the group leaves a map that the bundle
        no longer allows has to be started on that map.
        """
        named = (record.map_version, record.target_version) if record else ()
        kept = {v: self.maps[v] for v in named if v in self.maps}
        self.maps = kept | {item.version: item for item in spec.maps}

    def is_taken(
        self, order: switch.Order, state: order_port.EngineState | None
    ) -> bool:
        """Return whether the engine took a release that it cannot show."""
        return (
            order.kind is switch.OrderKind.RELEASE
            and order.step == self.released_step > 0
            and state is not None
            and state.armed_step == 0
        )

    def give(self, order: switch.Order) -> order_port.EngineState | None:
        """Give one order through the gate; return the engine's state."""
        placement = find_placement(self.maps, order)
        verdict = order_gate.judge(self.gate, order)
        if verdict is not order_gate.Verdict.PASSED or placement is None:
            reason = "map_not_in_bundle" if placement is None else verdict
            self.changes.emit(
                event_catalogue.ORDER_HELD,
                (reason, order),
                group=self.group,
                reason=reason,
                **order._asdict(),
            )
            return None
        result = self.engine.send_order(order, placement)
        if isinstance(result, returns.result.Failure):
            self.note_failure(order, result.failure())
            return None
        self.changes.clear(event_catalogue.ORDER_HELD)
        self.changes.clear(event_catalogue.ORDER_FAILED)
        event_log.emit(
            event_catalogue.ORDER_SENT,
            group=self.group,
            **order._asdict(),
        )
        if order.kind is switch.OrderKind.RELEASE and order.step:
            self.released_step = order.step
        self.taken[order.kind] = order
        return result.unwrap()

    def note_failure(
        self, order: switch.Order, failure: order_port.OrderFailure
    ) -> None:
        """Log a failed order and wait as long as the engine asks."""
        self.next_order = self.clock.monotonic() + failure.retry_after
        self.changes.emit(
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
        """Log where the engine differs from its orders, once each time."""
        found = difference.find_differences(record, own, self.taken)
        self.changes.emit(
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
    """Return the placement that an order carries, None when not known."""
    if order.kind is not switch.OrderKind.PREPARE:
        return ()
    known = maps.get(order.map_version)
    return known.placement if known else None


def create_engine_orders(
    group: str,
    engine: order_port.OrderPort,
    changes: event_log.ConditionLog,
    clock: clock_lib.Clock,
) -> EngineOrders:
    """Create a giver of orders whose gate is closed."""
    return EngineOrders(group, engine, changes, clock)
