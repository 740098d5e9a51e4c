"""Log lines of decisions on admission."""

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
    """Write the line of an admission decision with its inputs."""
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
    """Write the line of a dispatch that breaks the protocol."""
    event_log.emit(
        event_catalogue.DISPATCH_MALFORMED,
        attempt=dispatch.attempt_id,
        problem=problem,
    )
