"""Voids claims of attempts whose link was lost."""

import concurrent.futures
import datetime
from typing import Final

from verbenafall_core import clock as clock_lib
from verbenafall_core import identifiers
from verbenafall_core import outcomes
from verbenafall_core.claims import model as claims_model
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import request_progress

# Longest time for which a client's final answer waits for the store.
SETTLE_TIMEOUT: Final = datetime.timedelta(seconds=1)
SETTLE_THREADS: Final = 16
_ZERO: Final = datetime.timedelta()


class ClaimSettling:
    """Settles claims in a thread pool."""

    def __init__(
        self, claims: claims_model.Claims, clock: clock_lib.Clock
    ) -> None:
        """Create a service with an idle thread pool."""
        self.claims = claims
        self.clock = clock
        self.pool = concurrent.futures.ThreadPoolExecutor(
            SETTLE_THREADS, "settle"
        )

    def stop(self) -> None:
        """Cancel queued work without waiting for work in progress."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def settle(
        self, progress: request_progress.Progress, broken: attempt_events.Broken
    ) -> attempt_events.Broken:
        """Void the claim of an attempt whose link was lost, if possible.

        Once the claim is void for this attempt, no sidecar can start it, so
        its outcome is not_run. Returns "broken" with that outcome, or
        unchanged if the claim could not be voided in time.
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
        limit = min(SETTLE_TIMEOUT, max(remaining, _ZERO))
        try:
            result = pending.result(limit.total_seconds())
        except concurrent.futures.TimeoutError:
            # If the void is written later, it only prevents the attempt from
            # running, which is consistent with the outcome "unknown".
            return broken
        if isinstance(result, claims_model.Voided):
            return broken._replace(outcome=outcomes.Outcome.NOT_RUN)
        return broken


def create_claim_settling(
    claims: claims_model.Claims, clock: clock_lib.Clock
) -> ClaimSettling:
    """Create a service with an idle thread pool."""
    return ClaimSettling(claims, clock)
