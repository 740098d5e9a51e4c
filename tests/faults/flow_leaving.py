"""A leaving endpoint (P6): no new work after 3 s, by each path alone.

The polls of the gateway come as late as their jitter allows.
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
LIMIT = 3 * SECOND
LEAVES_AT = 4 * SECOND
END = LEAVES_AT + 10 * SECOND
LEAVING, STAYING = "leaving", "staying"
SERVICE = "chat"
LATEST = 1 + periodic.JITTER
LIST_STEPS = ("read", "apply")
LINK_STEPS = ("notice", "heartbeat")
# Time by which a slow or delayed message or read is late.
LATE = SECOND
PAUSE = 2 * link_loop.LINK_TIMEOUT


class FakeLink:
    """The gateway's end of a link with an endpoint."""

    def __init__(self, name, number):
        self.peer = messages.Hello(1, name, "sidecar", "dc", SERVICE)
        self.address = addresses.Address("127.0.0.1", number)
        self.heard_at = datetime.timedelta()

    def send(self, message):
        return True


class Model:
    """One gateway and two endpoints, of which one leaves."""

    def __init__(self, injection, by_list):
        self.injection, self.by_list = injection, by_list
        self.injected = False
        self.clock = manual_clock.create_manual_clock()
        self.start = self.clock.monotonic()
        self.counted_from = LEAVES_AT
        self.late_mail = []
        self.cut_until = self.paused_until = datetime.timedelta()
        self.dead = self.failing = self.restarted = False
        self.links = {
            name: FakeLink(name, number)
            for number, name in enumerate((LEAVING, STAYING), 1)
        }
        self.restart()

    def restart(self):
        """Start a gateway that knows nothing."""
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
        self.targeted = set()
        self.open = {}
        self.next_read = self.next_apply = datetime.timedelta()
        for link in self.links.values():
            self.router.on_open(link)
            self.open[link.peer.instance] = link

    def set_targets(self, wanted):
        self.targeted = wanted

    @property
    def now(self):
        return self.clock.monotonic() - self.start

    def is_leaving(self):
        return self.now >= LEAVES_AT

    def read(self):
        """Answer the poll of the instance list."""
        if self.failing:
            self.failing = False
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

    def due(self, step):
        """Return the fault if this is the first call of its step."""
        if self.injected or step != self.injection.step:
            return None
        if not self.is_leaving():
            return None
        self.injected = True
        return self.injection.fault

    # Links.

    def send(self, name, message, fault=None):
        """Deliver a message of a sidecar to the gateway."""
        link = self.links[name]
        if name == LEAVING and (self.dead or self.now < self.cut_until):
            return
        if fault in (Fault.DELAY, Fault.SLOW):
            self.late_mail.append((self.now + LATE, link, message))
            return
        self.deliver(link, message)
        if fault is Fault.DUPLICATE:
            self.deliver(link, message)

    def deliver(self, link, message):
        link.heard_at = self.now
        self.router.on_message(link, message)

    def lose_link(self, fault):
        """Apply the faults after which nothing more is heard."""
        if fault is Fault.KILL:
            self.dead = True
        if fault in (Fault.PAUSE, Fault.CUT_OUT, Fault.CUT_IN):
            self.cut_until = self.now + PAUSE

    def reopen(self):
        """Open a new link, then hear the last words of the old one."""
        old = self.links[LEAVING]
        new = FakeLink(LEAVING, old.address.port)
        new.heard_at = self.now
        self.links[LEAVING] = self.open[LEAVING] = new
        self.router.on_open(new)
        self.send(LEAVING, self.report(LEAVING))
        self.deliver(old, messages.LoadReport(0, 0, 8, 1, False, False, 0))
        self.router.on_close(old, "replaced")

    def report(self, name):
        draining = name == LEAVING and not self.by_list and self.is_leaving()
        return messages.LoadReport(0, 0, 8, 1, draining, False, 0)

    def beat(self, name):
        return messages.Heartbeat(3, 0, True, self.report(name).draining)

    def speak(self):
        """Send what the sidecars send now."""
        if self.now == LEAVES_AT and not self.by_list:
            self.speak_of_leaving("notice", self.report(LEAVING))
        if self.now % SECOND == TICK:
            self.send(STAYING, self.beat(STAYING))
            self.speak_of_leaving("heartbeat", self.beat(LEAVING))
            self.send(LEAVING, self.report(LEAVING))

    def speak_of_leaving(self, step, message):
        fault = self.due(step)
        self.lose_link(fault)
        if fault is Fault.REORDER:
            self.reopen()
        self.send(LEAVING, message, fault)

    def watch_links(self):
        """Close links that are silent, as the link loop does."""
        for name, link in list(self.open.items()):
            if self.now - link.heard_at > link_loop.LINK_TIMEOUT:
                self.router.on_close(link, "silent")
                del self.open[name]

    # The gateway's polls.

    def poll(self):
        if self.now < self.paused_until:
            return
        # A change that is read just after the targets were set waits longest.
        if self.now >= self.next_apply:
            self.next_apply = self.now + LATEST * link_targets.INTERVAL
            if self.apply_fault(self.due("apply")):
                self.targets.apply()
        wake = self.instances.task.wake
        if self.now >= self.next_read or wake.is_set():
            wake.clear()
            self.next_read = self.now + LATEST * list_service.POLL_INTERVAL
            if self.apply_fault(self.due("read")):
                self.instances.poll()

    def apply_fault(self, fault):
        """Disturb a poll; return whether it goes on."""
        if fault is Fault.KILL:
            self.restart()
            self.restarted = True
            self.instances.poll()
        if fault is Fault.PAUSE:
            self.paused_until = self.now + PAUSE
            self.counted_from = self.paused_until
            return False
        if fault in (Fault.CUT_OUT, Fault.CUT_IN, Fault.LOST_ANSWER):
            self.failing = True
        if fault is Fault.DUPLICATE:
            self.instances.poll()
        if fault in (Fault.SLOW, Fault.DELAY):
            self.next_read = self.next_apply = self.now + LATE
            return False
        return True

    # Checks.

    def run(self):
        violations = []
        attempt = self.view.open_attempt(self.links[LEAVING].address)
        while self.now < END:
            for item in [m for m in self.late_mail if m[0] <= self.now]:
                self.late_mail.remove(item)
                self.deliver(*item[1:])
            self.speak()
            self.watch_links()
            self.poll()
            if self.now >= self.counted_from + LIMIT:
                violations += self.check_no_work()
            violations += self.check_open_work(attempt)
            self.clock.advance(TICK)
        if self.choose(frozenset()) is None:
            violations.append("the other endpoint gets no work")
        return tuple(dict.fromkeys(violations))

    def choose(self, excluded):
        return routing.choose(
            self.view.snapshot(),
            SERVICE,
            "dc",
            "",
            excluded,
            random.Random(1),
        )

    def check_no_work(self):
        if self.choose(frozenset({STAYING})) is not None:
            return ["new work after 3 s"]
        if self.view.open_attempt(self.links[LEAVING].address) is not None:
            return ["an attempt begins after 3 s"]
        return []

    def check_open_work(self, attempt):
        """Check that the link of an open attempt is kept."""
        lost = self.restarted or LEAVING not in self.open
        if not lost and attempt.address not in self.targeted:
            return ["the link of an open attempt is closed"]
        return []


def run(cell: matrix.Cell, by_list: bool) -> matrix.Report:
    """Let an endpoint leave, which one path says."""
    injection = cell.injections[0]
    model = Model(injection, by_list)
    model.instances.poll()
    model.targets.apply()
    violations = model.run()
    injected = {injection} if model.injected else set()
    return matrix.Report(frozenset(injected), violations)


def run_links(cell: matrix.Cell) -> matrix.Report:
    """Let the links alone say that the endpoint leaves."""
    return run(cell, by_list=False)


def run_list(cell: matrix.Cell) -> matrix.Report:
    """Let the instance list alone say that the endpoint leaves."""
    return run(cell, by_list=True)


def why_not_links(_step: str, fault: Fault) -> str | None:
    """Name the faults that do not concern messages on a link."""
    if fault is Fault.LOST_ANSWER:
        return "messages on a link have no answers"
    if fault is Fault.STORE_DOWN:
        return "the store takes no part"
    return None


def why_not_list(_step: str, fault: Fault) -> str | None:
    """Name the faults that do not concern the polls of one gateway."""
    if fault is Fault.REORDER:
        return "a gateway has one poll of the list under way"
    if fault is Fault.STORE_DOWN:
        return "the store takes no part"
    return None


FLOWS = (
    matrix.Flow("leaving_by_links", LINK_STEPS, run_links, why_not_links),
    matrix.Flow("leaving_by_list", LIST_STEPS, run_list, why_not_list),
)
