"""Reads what endpoints say of themselves in the heads of their answers."""

from typing import Final

from verbenafall_core import event_log
from verbenafall_core import metrics as metrics_lib
from verbenafall_core import retry_after
from verbenafall_gateway.forwarding import admission as admission_lib
from verbenafall_gateway.forwarding import answer_relay
from verbenafall_gateway.forwarding import dialect as dialect_lib
from verbenafall_gateway.forwarding import endpoint_channel
from verbenafall_gateway.forwarding import endpoint_limits
from verbenafall_gateway.forwarding import event_catalogue
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import places

UNAVAILABLE: Final = 503
# Value of the header by which an endpoint says that it leaves.
LEAVING: Final = "1"
# Longest part of an unreadable header in a log line.
MAX_LOGGED_HEADER: Final = 100


class AnswerStatements:
    """Passes leaving, pauses and stated rates on to the admission.

    Attributes:
        dialect: Names of the headers.
        admission: Holds what is known of the endpoints.
        metrics: Receives counters.
    """

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        admission: admission_lib.Admission,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Create a reader of answers."""
        self.dialect = dialect
        self.admission = admission
        self.metrics = metrics

    def record(self, place: places.Placed, head: endpoint_channel.Head) -> bool:
        """Record what a head says; return whether its endpoint pauses.

        Another endpoint gives the answer if the request was misdirected.
        """
        if head.status == answer_relay.MISDIRECTED_REQUEST:
            return False
        leaving = http_messages.find_header(head.headers, self.dialect.leaving)
        if leaving == LEAVING:
            self.metrics.count("forward.leaving")
            self.admission.record_leaving(place)
        self.record_limit(place, head)
        return head.status == UNAVAILABLE and self.record_pause(place, head)

    def record_pause(
        self, place: places.Placed, head: endpoint_channel.Head
    ) -> bool:
        """Record for how long an endpoint wants no requests, if it says so."""
        values = [
            value for name, value in head.headers if name == "retry-after"
        ]
        if not values:
            return False
        seconds = retry_after.parse_retry_after(
            values, http_messages.find_header(head.headers, "date")
        )
        if seconds is None:
            self.metrics.count("forward.pauses.unreadable")
            event_log.emit(
                event_catalogue.ENDPOINT_PAUSE_UNREADABLE,
                endpoint=place.endpoint.id,
                text=",".join(values)[:MAX_LOGGED_HEADER],
            )
            return False
        if seconds == 0:
            return False
        self.metrics.count("forward.pauses")
        self.admission.record_pause_stated(place, seconds)
        return True

    def record_limit(
        self, place: places.Placed, head: endpoint_channel.Head
    ) -> None:
        """Record the rate limit that an answer states, or its absence."""
        text = http_messages.find_header(head.headers, self.dialect.rate_limit)
        rate = None if text is None else endpoint_limits.parse_rate(text)
        if text is not None and rate is None:
            event_log.emit(
                event_catalogue.ENDPOINT_LIMIT_UNREADABLE,
                endpoint=place.endpoint.id,
                text=text,
            )
            return
        self.admission.record_limit(place, rate)

    def report_pauses(self, now: float) -> None:
        """Update the metrics of the endpoints that want no requests."""
        pauses = self.admission.pauses
        self.metrics.gauge("forward.paused_endpoints", len(pauses.pauses))
        self.metrics.gauge("forward.longest_pause", pauses.longest(now))


def create_answer_statements(
    dialect: dialect_lib.Dialect,
    admission: admission_lib.Admission,
    metrics: metrics_lib.Metrics,
) -> AnswerStatements:
    """Create a reader of answers."""
    return AnswerStatements(dialect, admission, metrics)
