"""HTTP transfers to the endpoint, all run by one thread.

The thread runs any number of concurrent streams through libcurl's multi
interface. Non-idempotent requests use a connection of their own, see
http_client.HttpRequest.single_use_connection.
"""

import collections
from collections.abc import Callable
import contextlib
import datetime
import selectors
import threading
from typing import Final
from typing import NamedTuple
from typing import Protocol

import pycurl
import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core import wakeup
from verbenafall_sidecar import event_catalogue

MAX_WAIT: Final = datetime.timedelta(seconds=1)
# stop() waits at least this long for the thread.
MIN_STOP_LIMIT: Final = datetime.timedelta(seconds=2)
MAX_CACHED_CONNECTIONS: Final = 256

_SELECTOR_EVENTS: Final = {
    pycurl.POLL_IN: selectors.EVENT_READ,
    pycurl.POLL_OUT: selectors.EVENT_WRITE,
    pycurl.POLL_INOUT: selectors.EVENT_READ | selectors.EVENT_WRITE,
}


class ResponseHead(NamedTuple):
    """Status and headers of a complete response; names are in lower case."""

    status: int
    headers: http_client.Headers


# Context manager entered for each iteration of the loop, to send the messages
# of all sinks in one batch.
SendBatch = Callable[[], contextlib.AbstractContextManager[None]]
TransferResult = returns.result.Result[ResponseHead, http_client.HttpFailure]


class TransferSink(Protocol):
    """Receives a response, on the transfer thread; must not block."""

    def on_data(self, status: int, data: bytes) -> bool:
        """Receive a part of the body; return False to abort the transfer."""

    def on_done(self, result: TransferResult) -> None:
        """Receive the result of the transfer; always the last call."""


class Transfer:
    """One HTTP request and its response."""

    def __init__(
        self,
        loop: "TransferLoop",
        request: http_client.HttpRequest,
        sink: TransferSink,
    ) -> None:
        """Create a transfer that has not been started."""
        self.loop = loop
        self.request = request
        self.sink = sink
        self.handle: pycurl.Curl | None = None
        self.header_lines = http_client.HeaderLines()
        self.ended = False

    def cancel(self) -> None:
        """Abort the transfer asynchronously; the sink receives a failure."""
        self.loop.post(lambda: self.loop.abort(self))

    def write(self, data: bytes) -> int:
        """Pass a part of the body to the sink; 0 makes libcurl abort."""
        try:
            wanted = self.sink.on_data(self.header_lines.status, data)
        except Exception as error:  # libcurl would only print it.
            event_log.emit(
                event_catalogue.TRANSFER_LOOP_FAILED, error=repr(error)
            )
            return 0
        return len(data) if wanted else 0


class TransferLoop:
    """The transfer thread and its transfers."""

    def __init__(self, clock: clock_lib.Clock, batch_sends: SendBatch) -> None:
        """Create a loop that is not running yet."""
        self.clock = clock
        self.batch_sends = batch_sends
        self.selector = selectors.DefaultSelector()
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self.watch_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.set_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        self.commands: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self.transfers: dict[pycurl.Curl, Transfer] = {}
        self.timer_due: datetime.timedelta | None = None
        self.stopped = False
        self.wakeup = wakeup.create_wakeup(self.selector)
        self.thread = threading.Thread(
            target=self.run, name="transfers", daemon=True
        )

    def start(self) -> None:
        """Start the transfer thread."""
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Abort all transfers and stop the thread."""
        self.stopped = True
        self.wake()
        self.thread.join(max(limit, MIN_STOP_LIMIT).total_seconds())

    def start_transfer(
        self, request: http_client.HttpRequest, sink: TransferSink
    ) -> Transfer:
        """Start a transfer; safe to call from any thread."""
        transfer = Transfer(self, request, sink)
        self.post(lambda: self.add(transfer))
        return transfer

    def post(self, command: Callable[[], None]) -> None:
        """Run a function on the transfer thread; callable from any thread."""
        self.commands.append(command)
        self.wake()

    def wake(self) -> None:
        """Wake the transfer thread from its wait for events."""
        self.wakeup.wake()

    def run(self) -> None:
        """Run the event loop until stopped, then abort open transfers."""
        while not self.stopped:
            self.run_once()
        for transfer in list(self.transfers.values()):
            self.abort(transfer)
        self.run_commands()
        self.multi.close()
        self.selector.close()
        self.wakeup.close()

    def run_once(self) -> None:
        """Run one iteration: wait for events, then handle them."""
        events = self.selector.select(self.wait_seconds())
        with self.batch_sends():
            self.handle_events(events)

    def handle_events(
        self, events: list[tuple[selectors.SelectorKey, int]]
    ) -> None:
        """Handle socket events, libcurl's timer and posted functions."""
        for key, mask in events:
            if key.fileobj is self.wakeup.reader:
                self.wakeup.drain()
            else:
                self.multi.socket_action(key.fd, to_curl_mask(mask))
        if (
            self.timer_due is not None
            and self.timer_due <= self.clock.monotonic()
        ):
            self.timer_due = None
            self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self.collect_finished()
        self.run_commands()

    def wait_seconds(self) -> float:
        """Return how long to wait for socket events."""
        if self.commands:
            return 0.0
        if self.timer_due is None:
            return MAX_WAIT.total_seconds()
        left = self.timer_due - self.clock.monotonic()
        return max(0.0, min(left, MAX_WAIT).total_seconds())

    def run_commands(self) -> None:
        """Run the posted functions."""
        while self.commands:
            self.commands.popleft()()

    def add(self, transfer: Transfer) -> None:
        """Hand a transfer to libcurl, or fail it when the loop is stopping."""
        if transfer.ended:
            return
        if self.stopped:
            self.end(transfer, not_sent("the sidecar is stopping"))
            return
        handle = pycurl.Curl()
        http_client.apply_request(handle, transfer.request)
        handle.setopt(pycurl.WRITEFUNCTION, transfer.write)
        handle.setopt(pycurl.HEADERFUNCTION, transfer.header_lines.add)
        transfer.handle = handle
        self.transfers[handle] = transfer
        self.multi.add_handle(handle)

    def abort(self, transfer: Transfer) -> None:
        """End a transfer with a failure, unless it has ended."""
        if transfer.ended:
            return
        if transfer.handle is None:
            self.end(
                transfer, not_sent("cancelled before the request was sent")
            )
            return
        sent = transfer.handle.getinfo(pycurl.PRETRANSFER_TIME) > 0
        failure = http_client.HttpFailure(sent, "cancelled")
        self.end(transfer, returns.result.Failure(failure))

    def collect_finished(self) -> None:
        """Report the transfers that libcurl has finished."""
        left = 1
        while left:
            left, finished, failed = self.multi.info_read()
            for handle in finished:
                transfer = self.transfers[handle]
                self.end(transfer, read_response_head(transfer))
            for handle, code, message in failed:
                error = pycurl.error(code, message)
                transfer = self.transfers[handle]
                failure = http_client.to_http_failure(
                    handle, error, transfer.header_lines.fault
                )
                self.end(transfer, returns.result.Failure(failure))

    def end(self, transfer: Transfer, result: TransferResult) -> None:
        """Release a transfer and report its result."""
        transfer.ended = True
        handle, transfer.handle = transfer.handle, None
        if handle is not None:
            del self.transfers[handle]
            self.multi.remove_handle(handle)
            handle.close()
        try:
            transfer.sink.on_done(result)
        except Exception as error:  # Other transfers must continue.
            event_log.emit(
                event_catalogue.TRANSFER_LOOP_FAILED, error=repr(error)
            )

    def watch_socket(
        self, event: int, fd: int, _multi: object, _data: object
    ) -> None:
        """Register or unregister a socket as libcurl requests."""
        known = fd in self.selector.get_map()
        if event == pycurl.POLL_REMOVE:
            if known:
                self.selector.unregister(fd)
        elif known:
            self.selector.modify(fd, _SELECTOR_EVENTS[event])
        else:
            self.selector.register(fd, _SELECTOR_EVENTS[event])

    def set_timer(self, timeout_ms: int) -> None:
        """Set or clear the timer as libcurl requests."""
        if timeout_ms < 0:
            self.timer_due = None
            return
        delay = datetime.timedelta(milliseconds=timeout_ms)
        self.timer_due = self.clock.monotonic() + delay


def read_response_head(transfer: Transfer) -> TransferResult:
    """Return status and headers of a finished transfer."""
    lines = transfer.header_lines
    return returns.result.Success(
        ResponseHead(lines.status, tuple(lines.headers))
    )


def not_sent(message: str) -> TransferResult:
    """Return the failure of a transfer whose request was not sent."""
    return returns.result.Failure(http_client.HttpFailure(False, message))


def to_curl_mask(mask: int) -> int:
    """Convert a selector event mask to a libcurl mask."""
    curl_mask = 0
    if mask & selectors.EVENT_READ:
        curl_mask |= pycurl.CSELECT_IN
    if mask & selectors.EVENT_WRITE:
        curl_mask |= pycurl.CSELECT_OUT
    return curl_mask


def create_transfer_loop(
    clock: clock_lib.Clock, batch_sends: SendBatch = contextlib.nullcontext
) -> TransferLoop:
    """Create a loop that is not running yet."""
    return TransferLoop(clock, batch_sends)
