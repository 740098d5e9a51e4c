"""A leaving endpoint gets no new work after 3 s (P6).

The gateway learns of it from links alone or from the instance list alone. Its
polls come as late as their jitter allows.
"""

import datetime
import random

import returns.result

from faults import matrix
from verbenafall_core import addresses
from verbenafall_core import link_loop
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core import periodic
from verbenafall_core.instance_list import http_adapter
from verbenafall_core.instance_list import port
from verbenafall_core.instance_list import service as list_service
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import routing
from verbenafall_gateway.links import link_targets
from verbenafall_standins.fakes import manual_clock

Fault = matrix.Fault
SECOND = datetime.timedelta(seconds=1)
TICK = SECOND / 4
LEAVING_LIMIT = 3 * SECOND
LEAVES_AT = 4 * SECOND
END_TIME = LEAVES_AT + 10 * SECOND
LEAVING, STAYING = "leaving", "staying"
SERVICE = "chat"
MAX_JITTER_FACTOR = 1 + periodic.JITTER
LIST_STEPS = ("read", "apply")
LINK_STEPS = ("notice", "heartbeat")
# Delay of a slow or delayed message or read.
LATE_DELAY = SECOND
PAUSE = 2 * link_loop.LINK_TIMEOUT


class FakeLink:
    """The gateway's end of a link to a sidecar."""

    def __init__(self, name, number):
        self.peer = messages.Hello(1, name, "sidecar", "dc", SERVICE)
        self.address = addresses.Address("127.0.0.1", number)
        self.received_at = datetime.timedelta()

    def send(self, message):
        return True


class Model:
    """A gateway and two endpoints, one of which is leaving."""

    def __init__(self, injection, by_list):
        self.injection, self.by_list = injection, by_list
        self.injected = False
        self.clock = manual_clock.create_manual_clock()
        self.start = self.clock.monotonic()
        self.limit_start = LEAVES_AT
        self.late_messages = []
        self.cut_until = self.paused_until = datetime.timedelta()
        self.is_killed = self.read_fails = self.restarted = False
        self.links = {
            name: FakeLink(name, number)
            for number, name in enumerate((LEAVING, STAYING), 1)
        }
        self.restart()

    def restart(self):
        """Start a gateway without any state."""
        self.router = link_router.create_link_router()
        self.view = endpoint_view.create_endpoint_view(self.clock)
        self.view.attach(self.router)
        self.instances = list_service.create_instance_list_service(
            self, random.Random(1)
        )
        self.targets = link_targets.create_link_targets(
            "g", "dc", 16, self.instances, self, self.view
        )
        self.targets.subscribe_to_changes()
        self.target_addresses = set()
        self.open_links = {}
        self.next_read = self.next_apply = datetime.timedelta()
        for link in self.links.values():
            self.router.on_open(link)
            self.open_links[link.peer.instance] = link

    def set_targets(self, wanted):
        self.target_addresses = wanted

    @property
    def now(self):
        return self.clock.monotonic() - self.start

    def is_leaving(self):
        return self.now >= LEAVES_AT

    def read(self):
        """Return the instance list, or fail if the next read must fail."""
        if self.read_fails:
            self.read_fails = False
            self.clock.advance(http_adapter.CALL_TIMEOUT)
            return returns.result.Failure(port.ListFailure("lost"))
        leaving = self.by_list and self.is_leaving()
        states = {LEAVING: port.InstanceState.LIVE}
        if leaving:
            states = {LEAVING: port.InstanceState.LEAVING}
        return returns.result.Success(
            tuple(
                port.Instance(
                    name,
                    "sidecar",
                    "dc",
                    SERVICE,
                    link.address,
                    states.get(name, port.InstanceState.LIVE),
                )
                for name, link in self.links.items()
            )
        )

    def next_fault(self, step):
        """Return the fault when its step first occurs after LEAVES_AT."""
        if self.injected or step != self.injection.step:
            return None
        if not self.is_leaving():
            return None
        self.injected = True
        return self.injection.fault

    # Links.

    def send(self, name, message, fault=None):
        """Deliver a sidecar's message to the gateway, with the given fault."""
        link = self.links[name]
        if name == LEAVING and (self.is_killed or self.now < self.cut_until):
            return
        if fault in (Fault.DELAY, Fault.SLOW):
            self.late_messages.append((self.now + LATE_DELAY, link, message))
            return
        self.deliver(link, message)
        if fault is Fault.DUPLICATE:
            self.deliver(link, message)

    def deliver(self, link, message):
        link.received_at = self.now
        self.router.on_message(link, message)

    def disconnect(self, fault):
        """Drop the leaving sidecar's messages for PAUSE, or all if killed."""
        if fault is Fault.KILL:
            self.is_killed = True
        if fault in (Fault.PAUSE, Fault.CUT_OUT, Fault.CUT_IN):
            self.cut_until = self.now + PAUSE

    def replace_link(self):
        """Open a new link, then deliver a late message of the old one."""
        old = self.links[LEAVING]
        new = FakeLink(LEAVING, old.address.port)
        new.received_at = self.now
        self.links[LEAVING] = self.open_links[LEAVING] = new
        self.router.on_open(new)
        self.send(LEAVING, self.report(LEAVING))
        self.deliver(old, messages.LoadReport(0, 0, 8, 1, False, False, 0))
        self.router.on_close(old, "replaced")

    def report(self, name):
        draining = name == LEAVING and not self.by_list and self.is_leaving()
        return messages.LoadReport(0, 0, 8, 1, draining, False, 0)

    def heartbeat(self, name):
        return messages.Heartbeat(3, 0, True, self.report(name).draining)

    def send_updates(self):
        """Send the load reports and heartbeats that are due."""
        if self.now == LEAVES_AT and not self.by_list:
            self.send_from_leaving("notice", self.report(LEAVING))
        if self.now % SECOND == TICK:
            self.send(STAYING, self.heartbeat(STAYING))
            self.send_from_leaving("heartbeat", self.heartbeat(LEAVING))
            self.send(LEAVING, self.report(LEAVING))

    def send_from_leaving(self, step, message):
        fault = self.next_fault(step)
        self.disconnect(fault)
        if fault is Fault.REORDER:
            self.replace_link()
        self.send(LEAVING, message, fault)

    def close_silent_links(self):
        """Close links that are silent, as the link loop does."""
        for name, link in list(self.open_links.items()):
            if self.now - link.received_at > link_loop.LINK_TIMEOUT:
                self.router.on_close(link, "silent")
                del self.open_links[name]

    # The gateway's polls.

    def poll(self):
        if self.now < self.paused_until:
            return
        # The targets are applied before the list is read, so that a change
        # that was read waits a full interval.
        if self.now >= self.next_apply:
            self.next_apply = (
                self.now + MAX_JITTER_FACTOR * link_targets.INTERVAL
            )
            if self.apply_fault(self.next_fault("apply")):
                self.targets.apply()
        wake = self.instances.task.wake
        if self.now >= self.next_read or wake.is_set():
            wake.clear()
            self.next_read = (
                self.now + MAX_JITTER_FACTOR * list_service.POLL_INTERVAL
            )
            if self.apply_fault(self.next_fault("read")):
                self.instances.poll()

    def apply_fault(self, fault):
        """Apply a fault to a poll; return whether the poll continues."""
        if fault is Fault.KILL:
            self.restart()
            self.restarted = True
            self.instances.poll()
        if fault is Fault.PAUSE:
            self.paused_until = self.now + PAUSE
            self.limit_start = self.paused_until
            return False
        if fault in (Fault.CUT_OUT, Fault.CUT_IN, Fault.LOST_ANSWER):
            self.read_fails = True
        if fault is Fault.DUPLICATE:
            self.instances.poll()
        if fault in (Fault.SLOW, Fault.DELAY):
            self.next_read = self.next_apply = self.now + LATE_DELAY
            return False
        return True

    # Checks.

    def run(self):
        violations = []
        attempt = self.view.open_attempt(self.links[LEAVING].address)
        while self.now < END_TIME:
            for item in [m for m in self.late_messages if m[0] <= self.now]:
                self.late_messages.remove(item)
                self.deliver(*item[1:])
            self.send_updates()
            self.close_silent_links()
            self.poll()
            if self.now >= self.limit_start + LEAVING_LIMIT:
                violations += self.check_no_new_work()
            violations += self.check_open_attempt(attempt)
            self.clock.advance(TICK)
        if self.choose_endpoint(frozenset()) is None:
            violations.append("the other endpoint gets no work")
        return tuple(dict.fromkeys(violations))

    def choose_endpoint(self, excluded):
        return routing.choose(
            self.view.snapshot(),
            SERVICE,
            "dc",
            "",
            excluded,
            random.Random(1),
        )

    def check_no_new_work(self):
        if self.choose_endpoint(frozenset({STAYING})) is not None:
            return ["new work after 3 s"]
        if self.view.open_attempt(self.links[LEAVING].address) is not None:
            return ["an attempt starts after 3 s"]
        return []

    def check_open_attempt(self, attempt):
        """Check that the link of an open attempt is kept."""
        lost = self.restarted or LEAVING not in self.open_links
        if not lost and attempt.address not in self.target_addresses:
            return ["the link of an open attempt is closed"]
        return []


def run(cell: matrix.Cell, by_list: bool) -> matrix.Report:
    """Run the flow with one path that reports the leaving endpoint."""
    injection = cell.injections[0]
    model = Model(injection, by_list)
    model.instances.poll()
    model.targets.apply()
    violations = model.run()
    injected = {injection} if model.injected else set()
    return matrix.Report(frozenset(injected), violations)


def run_by_links(cell: matrix.Cell) -> matrix.Report:
    """Run the flow with the links as the only path."""
    return run(cell, by_list=False)


def run_by_list(cell: matrix.Cell) -> matrix.Report:
    """Run the flow with the instance list as the only path."""
    return run(cell, by_list=True)


def exclusion_reason_of_links(_step: str, fault: Fault) -> str | None:
    """Exclude faults that do not apply to messages on a link."""
    if fault is Fault.LOST_ANSWER:
        return "messages on a link have no answers"
    if fault in (Fault.STORE_DOWN, Fault.RESTORE):
        return "the flow does not use the store"
    return None


def exclusion_reason_of_list(_step: str, fault: Fault) -> str | None:
    """Exclude faults that do not apply to the polls of one gateway."""
    if fault is Fault.REORDER:
        return "a gateway makes one poll of the list at a time"
    if fault in (Fault.STORE_DOWN, Fault.RESTORE):
        return "the flow does not use the store"
    return None


FLOWS = (
    matrix.Flow(
        "leaving_by_links", LINK_STEPS, run_by_links, exclusion_reason_of_links
    ),
    matrix.Flow(
        "leaving_by_list", LIST_STEPS, run_by_list, exclusion_reason_of_list
    ),
)
