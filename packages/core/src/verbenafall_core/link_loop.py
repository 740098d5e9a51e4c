"""The I/O of all links of a process.

One thread per process performs the I/O of all links. Messages sent on a link
while the thread is busy are written together, which keeps the cost per token
low when many streams are open.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime
import random
import selectors
import socket
import threading
from typing import Final
from typing import Protocol

from verbenafall_core import addresses
from verbenafall_core import clock as clock_lib
from verbenafall_core import codec
from verbenafall_core import event_catalogue
from verbenafall_core import event_log
from verbenafall_core import link as link_lib
from verbenafall_core import link_sockets
from verbenafall_core import link_target
from verbenafall_core import messages
from verbenafall_core import wakeup

HEARTBEAT_INTERVAL: Final = datetime.timedelta(seconds=1)
LINK_TIMEOUT: Final = datetime.timedelta(seconds=3)
READ_BYTES: Final = 256 * 1024
SELECT_TIMEOUT_SECONDS: Final = 0.2
# Limits the CPU use of an error that recurs in every pass.
ERROR_DELAY_SECONDS: Final = 0.05
# With a check of all links in every pass, the cost would be quadratic in the
# number of links.
TIMER_INTERVAL: Final = datetime.timedelta(milliseconds=50)


class LinkHandler(Protocol):
    """Callbacks for link events, called on the I/O thread; must not block."""

    def on_open(self, link: link_lib.Link) -> None:
        """Handle a link whose peer has sent its hello."""

    def on_message(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        """Handle a message other than hello."""

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Handle the closing of a link that was open."""


class BatchState(threading.local):
    """Whether the current thread is inside batch_sends()."""

    active = False


class LinkLoop:
    """The I/O thread and all links of a process.

    Attributes:
        before_heartbeats: Called before each round of heartbeats, None for no
            call. The messages that it sends are written together with the
            heartbeats.
    """

    def __init__(
        self,
        hello: messages.Hello,
        heartbeat: Callable[[], messages.Heartbeat],
        handler: LinkHandler,
        clock: clock_lib.Clock,
        generator: random.Random,
    ) -> None:
        """Create a loop that is not yet running."""
        self.hello = hello
        self.heartbeat = heartbeat
        self.handler = handler
        self.clock = clock
        self.generator = generator
        self.selector = selectors.DefaultSelector()
        self.lock = threading.Lock()
        self.scheduled: set[link_lib.Link] = set()
        self.batch = BatchState()
        self.links: set[link_lib.Link] = set()
        self.targets: dict[addresses.Address, link_target.Target] = {}
        self.listeners: list[socket.socket] = []
        self.stopped = False
        self.last_run = clock.monotonic()
        self.timers_due = self.last_run
        self.heartbeats_due = self.last_run
        self.before_heartbeats: Callable[[], None] | None = None
        # Never set; only wait() is used.
        self.error_delay = threading.Event()
        self.wakeup = wakeup.create_wakeup(self.selector)
        self.thread = threading.Thread(
            target=self.run, name="links", daemon=True
        )

    def start(self) -> None:
        """Start the I/O thread."""
        self.last_run = self.clock.monotonic()
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Flush and close all links; wait for the thread up to the limit."""
        self.stopped = True
        self.wake()
        self.thread.join(max(limit.total_seconds(), SELECT_TIMEOUT_SECONDS * 5))

    def listen(self, address: addresses.Address) -> addresses.Address:
        """Accept links on an address; call before start().

        Returns:
            The bound address, with the assigned port if it was 0.

        Raises:
            link_sockets.LinkError: The address cannot be bound.
        """
        listener = link_sockets.open_listener(address)
        self.selector.register(listener, selectors.EVENT_READ)
        self.listeners.append(listener)
        return addresses.Address(address.host, listener.getsockname()[1])

    def set_targets(self, wanted: set[addresses.Address]) -> None:
        """Maintain outgoing links to exactly these addresses."""
        with self.lock:
            removed = [
                self.targets.pop(address).link
                for address in list(self.targets)
                if address not in wanted
            ]
            for address in wanted:
                self.targets.setdefault(address, link_target.Target(address))
            self.timers_due = datetime.timedelta()
        for link in removed:  # Link.close() acquires the lock.
            if link is not None:
                link.close("the peer is no longer a target")
        self.wake()

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat on all open links now."""
        data = codec.encode(self.heartbeat())
        with self.batch_sends():
            for link in self.open_links():
                link.send_encoded(data)

    def open_links(self) -> list[link_lib.Link]:
        """Return the links whose peers have sent their hello."""
        with self.lock:
            return [
                link
                for link in self.links
                if link.peer is not None and not link.closed
            ]

    def schedule(self, link: link_lib.Link) -> None:
        """Have the I/O thread write or close a link in its next pass."""
        with self.lock:
            already_scheduled = link in self.scheduled
            self.scheduled.add(link)
        if not already_scheduled and not self.batch.active:
            self.wake()

    @contextlib.contextmanager
    def batch_sends(self) -> Iterator[None]:
        """Send all messages of this thread with one wake-up of the I/O thread.

        Without batching, each message costs a write to the wake-up socket and
        a pass of the I/O thread. Until the batch ends, messages that other
        threads send on the same links may be delayed, too. A nested batch
        ends with the outermost one.
        """
        was_active = self.batch.active
        self.batch.active = True
        try:
            yield
        finally:
            self.batch.active = was_active
            with self.lock:
                has_scheduled = bool(self.scheduled)
            if has_scheduled and not was_active:
                self.wake()

    def wake(self) -> None:
        """Interrupt the select() of the I/O thread."""
        self.wakeup.wake()

    def run(self) -> None:
        """Do I/O until stopped.

        An error in a pass must not end the thread: the process would remain
        in the instance list but serve no requests.
        """
        while not self.stopped:
            events = self.selector.select(SELECT_TIMEOUT_SECONDS)
            try:
                self.run_once(events)
            except Exception as error:
                event_log.emit(
                    event_catalogue.LINK_HANDLER_FAILED,
                    peer="",
                    error=repr(error),
                )
                self.error_delay.wait(ERROR_DELAY_SECONDS)
        self.shut_down()

    def run_once(self, events: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Handle socket events, scheduled links and due timers once."""
        now = self.clock.monotonic()
        if now - self.last_run > LINK_TIMEOUT:
            # Peers have timed out these links. Requests in the socket buffers
            # give a remaining time that does not account for the pause.
            self.close_all("this process was paused")
            events = []
        self.last_run = now
        for key, mask in events:
            self.handle_event(key, mask, now)
        with self.lock:
            scheduled, self.scheduled = self.scheduled, set()
        for link in scheduled:
            self.process_link(link)
        if now >= self.timers_due:
            self.timers_due = now + TIMER_INTERVAL
            self.check_timers(now)

    def handle_event(
        self, key: selectors.SelectorKey, mask: int, now: datetime.timedelta
    ) -> None:
        """Handle the readiness of one socket."""
        if key.fileobj is self.wakeup.reader:
            self.wakeup.drain()
        elif key.data is None:
            self.accept(key.fileobj)  # type: ignore[arg-type]
        else:
            link: link_lib.Link = key.data
            if mask & selectors.EVENT_READ:
                self.read(link, now)
            if mask & selectors.EVENT_WRITE and not link.closed:
                self.write(link)

    def accept(self, listener: socket.socket) -> None:
        """Accept an incoming connection."""
        try:
            sock, peer = listener.accept()
        except OSError:
            return
        self.add(link_lib.Link(self, sock, addresses.Address(*peer[:2]), False))

    def add(self, link: link_lib.Link) -> None:
        """Register a link for I/O and queue hello as its first message."""
        link.sock.setblocking(False)
        link.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.links.add(link)
        mask = selectors.EVENT_READ | selectors.EVENT_WRITE
        self.selector.register(link.sock, mask, link)
        link.pending.append(codec.encode(self.hello))

    def connect(self, target: link_target.Target) -> None:
        """Start connecting to a target."""
        sock = link_sockets.start_connect(target.address)
        target.link = link_lib.Link(self, sock, target.address, True)
        self.add(target.link)

    def read(self, link: link_lib.Link, now: datetime.timedelta) -> None:
        """Read available bytes and handle the messages that are complete."""
        try:
            data = link.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.drop(link, f"read failed: {error.strerror}")
            return
        if not data:
            self.drop(link, "closed by the peer")
            return
        link.last_received = now
        try:
            for message in link.decoder.feed(data):
                self.receive(link, message)
        except codec.CodecError as error:
            event_log.emit(
                event_catalogue.LINK_BAD_MESSAGE,
                peer=link.address,
                error=error,
            )
            self.drop(link, "bad message")

    def receive(
        self, link: link_lib.Link, message: messages.Message | codec.UnknownKind
    ) -> None:
        """Handle a hello, or another message on a link that is open."""
        if link.closed:
            return
        if isinstance(message, codec.UnknownKind):
            event_log.emit(
                event_catalogue.LINK_UNKNOWN_KIND,
                peer=link.address,
                kind=message.number,
            )
        elif isinstance(message, messages.Hello):
            self.receive_hello(link, message)
        elif link.peer is None:
            self.drop(link, "message before hello")
        else:
            self.handle_message(link, message)

    def handle_message(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        """Pass a message to the handler; close the link if that fails.

        Otherwise the peer would wait for a reply until its deadline.
        """
        try:
            self.handler.on_message(link, message)
        except Exception as error:
            event_log.emit(
                event_catalogue.LINK_HANDLER_FAILED,
                peer=link.address,
                kind=type(message).__name__,
                error=repr(error),
            )
            self.drop(link, "a message could not be handled")

    def receive_hello(self, link: link_lib.Link, hello: messages.Hello) -> None:
        """Open the link if the protocol versions match, else close it."""
        if link.peer is not None:
            self.drop(link, "second hello")
            return
        if hello.protocol_version != messages.PROTOCOL_VERSION:
            self.drop(link, f"protocol version {hello.protocol_version}")
            return
        link.peer = hello
        with self.lock:
            target = self.targets.get(link.address) if link.outgoing else None
        if target is not None:
            target.delay = link_target.INITIAL_RECONNECT_DELAY
        event_log.emit(
            event_catalogue.LINK_OPENED,
            peer=hello.instance,
            role=hello.role,
            address=link.address,
        )
        self.handler.on_open(link)

    def process_link(self, link: link_lib.Link) -> None:
        """Write or close a scheduled link."""
        if link.closed:
            return
        if link.close_reason:
            self.drop(link, link.close_reason)
        elif link.connected and not link.unsent:
            self.write(link)

    def write(self, link: link_lib.Link) -> None:
        """Write as many bytes as the socket accepts."""
        link.connected = True
        if not link.unsent:
            link.unsent = memoryview(link.pop_pending())
        try:
            if link.unsent:
                sent = link.sock.send(link.unsent)
                link.unsent = link.unsent[sent:]
        except BlockingIOError:
            pass
        except OSError as error:
            self.drop(link, f"write failed: {error.strerror}")
            return
        self.update_interest(link)

    def update_interest(self, link: link_lib.Link) -> None:
        """Select for writability only while there is output."""
        mask = selectors.EVENT_READ
        if link.has_output():
            mask |= selectors.EVENT_WRITE
        self.selector.modify(link.sock, mask, link)

    def check_timers(self, now: datetime.timedelta) -> None:
        """Send heartbeats, close timed-out links, and connect to targets."""
        for link in list(self.links):
            if now - link.last_received > LINK_TIMEOUT:
                self.drop(
                    link, f"silent for {LINK_TIMEOUT.total_seconds():g} s"
                )
        if now >= self.heartbeats_due:
            # Other messages do not replace a heartbeat: it carries the bundle
            # versions, and peers use it to determine whether they are in
            # contact. All links share one schedule, so that one pass and one
            # encoding are enough for all of them.
            self.heartbeats_due = now + HEARTBEAT_INTERVAL
            self.send_heartbeats()
        with self.lock:
            due = [
                target
                for target in self.targets.values()
                if target.link is None and target.due <= now
            ]
        for target in due:
            self.connect(target)

    def send_heartbeats(self) -> None:
        """Call before_heartbeats and send the heartbeats in one batch."""
        with self.batch_sends():
            if self.before_heartbeats is not None:
                self.before_heartbeats()
            self.broadcast_heartbeat()

    def drop(self, link: link_lib.Link, reason: str) -> None:
        """Close a link immediately; called on the I/O thread."""
        if link.closed:
            return
        with link.lock:
            link.closed = True
            link.close_reason = link.close_reason or reason
        with self.lock:
            self.links.discard(link)
            target = self.targets.get(link.address) if link.outgoing else None
        self.selector.unregister(link.sock)
        link.sock.close()
        if target is not None and target.link is link:
            target.schedule_reconnect(self.clock.monotonic(), self.generator)
        if link.peer is not None:
            event_log.emit(
                event_catalogue.LINK_CLOSED,
                peer=link.peer.instance,
                address=link.address,
                reason=reason,
            )
            self.handler.on_close(link, reason)

    def close_all(self, reason: str) -> None:
        """Close every link immediately."""
        for link in list(self.links):
            self.drop(link, reason)

    def shut_down(self) -> None:
        """Flush the links and close all sockets after the loop has ended."""
        for link in list(self.links):
            if link.connected and not link.closed:
                link.sock.setblocking(True)
                link.sock.settimeout(SELECT_TIMEOUT_SECONDS)
                self.flush(link)
        self.close_all("this process is stopping")
        for listener in self.listeners:
            listener.close()
        self.selector.close()
        self.wakeup.close()

    def flush(self, link: link_lib.Link) -> None:
        """Write the queued bytes of a link to its blocking socket."""
        try:
            link.sock.sendall(bytes(link.unsent) + link.pop_pending())
        except OSError:
            return


def create_link_loop(
    hello: messages.Hello,
    heartbeat: Callable[[], messages.Heartbeat],
    handler: LinkHandler,
    clock: clock_lib.Clock,
    generator: random.Random | None = None,
) -> LinkLoop:
    """Create a loop that is not yet running."""
    return LinkLoop(
        hello, heartbeat, handler, clock, generator or random.Random()
    )
