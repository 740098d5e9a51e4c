"""Voids the claims of attempts whose links were lost."""

import concurrent.futures
import datetime
from typing import Final

from verbenafall_core import clock as clock_lib
from verbenafall_core import identifiers
from verbenafall_core import outcomes
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import request_progress

# A client's final answer does not wait longer than this for the store.
SETTLE_LIMIT: Final = datetime.timedelta(seconds=1)
SETTLE_THREADS: Final = 16
_ZERO: Final = datetime.timedelta()


class ClaimSettling:
    """Settles claims on threads of its own."""

    def __init__(
        self, claims: claims_model.Claims, clock: clock_lib.Clock
    ) -> None:
        """Create a service without claims to settle."""
        self.claims = claims
        self.clock = clock
        self.pool = concurrent.futures.ThreadPoolExecutor(
            SETTLE_THREADS, "settle"
        )

    def stop(self) -> None:
        """Begin no further settling."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def settle(
        self, progress: request_progress.Progress, broken: attempt_events.Broken
    ) -> attempt_events.Broken:
        """Void the claim of an attempt whose link was lost, if it is free.

        Once the claim is void for this attempt no sidecar can start it, so
        the attempt provably did not run.
        """
        request = progress.request
        if (
            request.idempotent
            or broken.reason is not outcomes.Reason.LINK_LOST
            or broken.outcome is not outcomes.Outcome.UNKNOWN
        ):
            return broken
        pending = self.pool.submit(
            self.claims.settle,
            request.team,
            request.idempotency_key,
            identifiers.attempt_id(request.request_id, progress.attempts),
        )
        remaining = progress.cancel_at - self.clock.monotonic()
        limit = min(SETTLE_LIMIT, max(remaining, _ZERO))
        try:
            result = pending.result(limit.total_seconds())
        except concurrent.futures.TimeoutError:
            # A void that is written later only keeps the attempt from
            # running, which "unknown" allows for.
            return broken
        if isinstance(result, claims_model.Voided):
            return broken._replace(outcome=outcomes.Outcome.NOT_RUN)
        return broken


def create_claim_settling(
    claims: claims_model.Claims, clock: clock_lib.Clock
) -> ClaimSettling:
    """Create a service without claims to settle."""
    return ClaimSettling(claims, clock)
