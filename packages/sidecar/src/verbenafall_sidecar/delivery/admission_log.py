"""Log lines for admission decisions."""

from typing import Any

from verbenafall_core import event_log
from verbenafall_core import messages
from verbenafall_sidecar import event_catalogue
from verbenafall_sidecar.delivery import admission
from verbenafall_sidecar.delivery import attempt as attempt_lib


def log_decision(
    event: event_log.Event,
    dispatch: messages.Dispatch,
    load: admission.Load,
    **fields: Any,
) -> None:
    """Log an admission decision together with the load it was based on."""
    event_log.emit(
        event,
        attempt=dispatch.attempt_id,
        team=dispatch.team,
        **fields,
        remaining_ms=dispatch.remaining_ms,
        in_flight=load.in_flight,
        queued=load.queued,
        slots=load.slots,
        team_queued=load.team_queued,
        service_time_ms=attempt_lib.to_ms(load.service_time),
    )


def log_malformed(dispatch: messages.Dispatch, problem: str) -> None:
    """Log a dispatch that violates the protocol."""
    event_log.emit(
        event_catalogue.DISPATCH_MALFORMED,
        attempt=dispatch.attempt_id,
        problem=problem,
    )
