"""The I/O of all links of a process.

One thread per process does the I/O of all links. Messages that are sent
while the thread is busy leave in one write, which keeps the cost per token
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
LOOP_WAIT_SECONDS: Final = 0.2
# Keeps an error that comes in every pass from using up a core.
ERROR_PAUSE_SECONDS: Final = 0.05
# Looking at all links in each pass costs the square of their number.
TIMER_INTERVAL: Final = datetime.timedelta(milliseconds=50)


class LinkHandler(Protocol):
    """Receives what happens on links, on the I/O thread; must not block."""

    def on_open(self, link: link_lib.Link) -> None:
        """Handle a link whose peer has said hello."""

    def on_message(
        self, link: link_lib.Link, message: messages.Message
    ) -> None:
        """Handle a message other than hello."""

    def on_close(self, link: link_lib.Link, reason: str) -> None:
        """Handle the end of a link that was open."""


class Joining(threading.local):
    """Whether the current thread puts off wake-ups of the I/O thread."""

    active = False


class LinkLoop:
    """The I/O thread and all links of a process.

    Attributes:
        before_heartbeats: Called each time before heartbeats are sent, None
            for nothing. What it sends leaves in one write with them.
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
        self.attention: set[link_lib.Link] = set()
        self.joining = Joining()
        self.links: set[link_lib.Link] = set()
        self.targets: dict[addresses.Address, link_target.Target] = {}
        self.listeners: list[socket.socket] = []
        self.stopped = False
        self.last_pass = clock.monotonic()
        self.timers_due = self.last_pass
        self.heartbeats_due = self.last_pass
        self.before_heartbeats: Callable[[], None] | None = None
        self.paused = threading.Event()
        self.wakeup = wakeup.create_wakeup(self.selector)
        self.thread = threading.Thread(
            target=self.run, name="links", daemon=True
        )

    def start(self) -> None:
        """Start the I/O thread."""
        self.last_pass = self.clock.monotonic()
        self.thread.start()

    def stop(self, limit: datetime.timedelta) -> None:
        """Write what is queued as far as the limit allows, then close."""
        self.stopped = True
        self.wake()
        self.thread.join(max(limit.total_seconds(), LOOP_WAIT_SECONDS * 5))

    def listen(self, address: addresses.Address) -> addresses.Address:
        """Accept links on an address; call before start.

        Returns:
            The bound address, with the port filled in when it was 0.

        Raises:
            link_sockets.LinkError: The address cannot be bound.
        """
        listener = link_sockets.open_listener(address)
        self.selector.register(listener, selectors.EVENT_READ)
        self.listeners.append(listener)
        return addresses.Address(address.host, listener.getsockname()[1])

    def set_targets(self, wanted: set[addresses.Address]) -> None:
        """Keep links to exactly these addresses; others are closed."""
        with self.lock:
            removed = [
                self.targets.pop(address).link
                for address in list(self.targets)
                if address not in wanted
            ]
            for address in wanted:
                self.targets.setdefault(address, link_target.Target(address))
            self.timers_due = datetime.timedelta()
        for link in removed:  # Closing takes the lock.
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
        """Return the links whose peers have said hello."""
        with self.lock:
            return [
                link
                for link in self.links
                if link.peer is not None and not link.closed
            ]

    def request_attention(self, link: link_lib.Link) -> None:
        """Make the I/O thread look at a link."""
        with self.lock:
            known = link in self.attention
            self.attention.add(link)
        if not known and not self.joining.active:
            self.wake()

    @contextlib.contextmanager
    def batch_sends(self) -> Iterator[None]:
        """Let the messages that this thread sends meanwhile leave together.

        A wake-up for each message costs a write and a pass of the I/O thread
        each. A message of another thread on the same links may also wait.
        Within another joined batch the messages leave with that one.
        """
        outer = self.joining.active
        self.joining.active = True
        try:
            yield
        finally:
            self.joining.active = outer
            with self.lock:
                waiting = bool(self.attention)
            if waiting and not outer:
                self.wake()

    def wake(self) -> None:
        """Interrupt the wait of the I/O thread."""
        self.wakeup.wake()

    def run(self) -> None:
        """Do I/O until stopped.

        An error in a pass must not end the thread: the process would keep
        its place in the instance list and never serve again.
        """
        while not self.stopped:
            events = self.selector.select(LOOP_WAIT_SECONDS)
            try:
                self.run_pass(events)
            except Exception as error:
                event_log.emit(
                    event_catalogue.LINK_HANDLER_FAILED,
                    peer="",
                    error=repr(error),
                )
                self.paused.wait(ERROR_PAUSE_SECONDS)
        self.finish()

    def run_pass(self, events: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Handle one round of socket events and timers."""
        now = self.clock.monotonic()
        if now - self.last_pass > LINK_TIMEOUT:
            # Peers have given up on these links. Requests that wait in the
            # socket buffers are older than their senders believe.
            self.close_all("this process was paused")
            events = []
        self.last_pass = now
        for key, mask in events:
            self.handle_event(key, mask, now)
        with self.lock:
            attention, self.attention = self.attention, set()
        for link in attention:
            self.serve(link)
        if now >= self.timers_due:
            self.timers_due = now + TIMER_INTERVAL
            self.check_timers(now)

    def handle_event(
        self, key: selectors.SelectorKey, mask: int, now: datetime.timedelta
    ) -> None:
        """Handle one ready socket."""
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
        """Take a new incoming connection."""
        try:
            sock, peer = listener.accept()
        except OSError:
            return
        self.add(link_lib.Link(self, sock, addresses.Address(*peer[:2]), False))

    def add(self, link: link_lib.Link) -> None:
        """Start I/O on a new link; hello is the first message sent."""
        link.sock.setblocking(False)
        link.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.links.add(link)
        mask = selectors.EVENT_READ | selectors.EVENT_WRITE
        self.selector.register(link.sock, mask, link)
        link.pending.append(codec.encode(self.hello))

    def connect(self, target: link_target.Target) -> None:
        """Begin to connect to a target."""
        sock = link_sockets.begin_connect(target.address)
        target.link = link_lib.Link(self, sock, target.address, True)
        self.add(target.link)

    def read(self, link: link_lib.Link, now: datetime.timedelta) -> None:
        """Read and dispatch what has arrived."""
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
        """Handle one decoded message."""
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
        """Pass a message on; close the link when that fails.

        The peer would wait for what the message asked for until its deadline.
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
        """Open the link if the peer speaks the same protocol."""
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
            target.delay = link_target.RECONNECT_FIRST
        event_log.emit(
            event_catalogue.LINK_OPENED,
            peer=hello.instance,
            role=hello.role,
            address=link.address,
        )
        self.handler.on_open(link)

    def serve(self, link: link_lib.Link) -> None:
        """Write or close a link that asked for attention."""
        if link.closed:
            return
        if link.close_reason:
            self.drop(link, link.close_reason)
        elif link.connected and not link.partial:
            self.write(link)

    def write(self, link: link_lib.Link) -> None:
        """Write as much as the socket takes."""
        link.connected = True
        if not link.partial:
            link.partial = memoryview(link.pop_pending())
        try:
            if link.partial:
                sent = link.sock.send(link.partial)
                link.partial = link.partial[sent:]
        except BlockingIOError:
            pass
        except OSError as error:
            self.drop(link, f"write failed: {error.strerror}")
            return
        self.update_interest(link)

    def update_interest(self, link: link_lib.Link) -> None:
        """Wait for writability only while there is output."""
        mask = selectors.EVENT_READ
        if link.has_output():
            mask |= selectors.EVENT_WRITE
        self.selector.modify(link.sock, mask, link)

    def check_timers(self, now: datetime.timedelta) -> None:
        """Send heartbeats, close dead links, and connect to targets."""
        for link in list(self.links):
            if now - link.last_received > LINK_TIMEOUT:
                self.drop(
                    link, f"silent for {LINK_TIMEOUT.total_seconds():g} s"
                )
        if now >= self.heartbeats_due:
            # Other messages do not replace a heartbeat: it carries the bundle
            # versions, and peers count contact by it. All links have the same
            # time for it, so that one pass and one encoding serve them all.
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
        """Send what is due in each heartbeat interval, joined."""
        with self.batch_sends():
            if self.before_heartbeats is not None:
                self.before_heartbeats()
            self.broadcast_heartbeat()

    def drop(self, link: link_lib.Link, reason: str) -> None:
        """Close a link now."""
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
            target.postpone(self.clock.monotonic(), self.generator)
        if link.peer is not None:
            event_log.emit(
                event_catalogue.LINK_CLOSED,
                peer=link.peer.instance,
                address=link.address,
                reason=reason,
            )
            self.handler.on_close(link, reason)

    def close_all(self, reason: str) -> None:
        """Close every link."""
        for link in list(self.links):
            self.drop(link, reason)

    def finish(self) -> None:
        """Flush and close everything when the loop has been stopped."""
        for link in list(self.links):
            if link.connected and not link.closed:
                link.sock.setblocking(True)
                link.sock.settimeout(LOOP_WAIT_SECONDS)
                self.flush(link)
        self.close_all("this process is stopping")
        for listener in self.listeners:
            listener.close()
        self.selector.close()
        self.wakeup.close()

    def flush(self, link: link_lib.Link) -> None:
        """Write the queued bytes of a blocking socket."""
        try:
            link.sock.sendall(bytes(link.partial) + link.pop_pending())
        except OSError:
            return


def create_link_loop(
    hello: messages.Hello,
    heartbeat: Callable[[], messages.Heartbeat],
    handler: LinkHandler,
    clock: clock_lib.Clock,
    generator: random.Random | None = None,
) -> LinkLoop:
    """Create the link service of a process."""
    return LinkLoop(
        hello, heartbeat, handler, clock, generator or random.Random()
    )
