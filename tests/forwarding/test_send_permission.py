"""When an endpoint may get a request: decision, pauses, and their inputs."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_gateway.forwarding import endpoint_directory
from verbenafall_gateway.forwarding import endpoint_limits
from verbenafall_gateway.forwarding import endpoint_pauses
from verbenafall_gateway.forwarding import send_permission

NOW = 100.0
NEVER = send_permission.NEVER
Reason = send_permission.Reason

# Test id, standing, time, reason, whether it is avoided.
PERMISSIONS = [
    ("open", (False, 0.0, 0.0, 0.0), NOW, Reason.OPEN, False),
    ("suspect", (False, 0.0, 0.0, 101.0), NOW, Reason.OPEN, True),
    ("leaving", (True, 0.0, 0.0, 0.0), NEVER, Reason.LEAVING, False),
    ("leaving, paused", (True, 103.0, 0.0, 0.0), NEVER, Reason.LEAVING, False),
    ("paused", (False, 103.0, 0.0, 0.0), 103.0, Reason.PAUSED, False),
    ("pause ends now", (False, NOW, 0.0, 0.0), NOW, Reason.OPEN, False),
    ("limited", (False, 0.0, 104.0, 0.0), 104.0, Reason.LIMITED, False),
    ("no share", (False, 0.0, NEVER, 0.0), NEVER, Reason.LIMITED, False),
    ("longer limit", (False, 103.0, 104.0, 0.0), 104.0, Reason.LIMITED, False),
    ("longer pause", (False, 105.0, 104.0, 0.0), 105.0, Reason.PAUSED, False),
    ("suspect too", (False, 103.0, 0.0, 101.0), 103.0, Reason.PAUSED, True),
]


class TestPermission:
    @pytest.mark.parametrize(
        ("standing", "at", "reason", "avoid"),
        [case[1:] for case in PERMISSIONS],
        ids=[case[0] for case in PERMISSIONS],
    )
    def test_permission(self, standing, at, reason, avoid):
        assert send_permission.permit(
            send_permission.Standing(*standing), NOW
        ) == send_permission.Permission(at, reason, avoid)


def endpoint(start=1):
    address = addresses.Address("10.0.0.1", 80)
    return endpoints.Endpoint("e", "s", address, "dc", 4, False, start)


class TestPauses:
    def test_later_statement_does_not_shorten_a_pause(self):
        pauses = endpoint_pauses.create_endpoint_pauses()
        assert pauses.record(endpoint(), 3.0, NOW)
        assert not pauses.record(endpoint(), 1.0, NOW + 1)
        assert pauses.until(endpoint(), NOW + 1) == NOW + 3

    def test_small_extension_is_not_worth_logging(self):
        pauses = endpoint_pauses.create_endpoint_pauses()
        pauses.record(endpoint(), 3.0, NOW)
        assert not pauses.record(endpoint(), 3.0, NOW + 0.1)
        assert pauses.record(endpoint(), 5.0, NOW + 0.1)

    def test_new_start_does_not_pause(self):
        pauses = endpoint_pauses.create_endpoint_pauses()
        pauses.record(endpoint(1), 1e9, NOW)
        assert pauses.until(endpoint(2), NOW) == NOW

    def test_ended_pause_is_forgotten(self):
        pauses = endpoint_pauses.create_endpoint_pauses()
        pauses.record(endpoint(), 3.0, NOW)
        pauses.forget_ended(NOW + 2.9)
        assert pauses.longest(NOW) == 3.0
        pauses.forget_ended(NOW + 3.0)
        assert not pauses.pauses

    def test_number_of_pauses_is_bounded(self, monkeypatch):
        monkeypatch.setattr(endpoint_pauses, "MAX_PAUSES", 3)
        pauses = endpoint_pauses.create_endpoint_pauses()
        for number in range(5):
            other = endpoint()._replace(id=f"e{number}")
            pauses.record(other, 3.0, NOW)
        pauses.forget_ended(NOW)
        assert list(pauses.pauses) == ["e2", "e3", "e4"]


class EndpointMachine(stateful.RuleBasedStateMachine):
    """An endpoint that pauses, leaves, states rates and starts again.

    The model keeps what each start has said; nothing may be sent against it.
    """

    def __init__(self):
        super().__init__()
        self.now = NOW
        self.directory = endpoint_directory.create_endpoint_directory()
        self.pauses = endpoint_pauses.create_endpoint_pauses()
        self.limits = endpoint_limits.create_endpoint_limits("g")
        self.limits.set_gateways(["g"])
        self.start = 1
        self.revision = 0
        self.said_to_leave = set()
        self.paused_until = {}
        self.write_entry(False)

    @property
    def running(self):
        return endpoint(self.start)

    def permission(self):
        return send_permission.permit(
            send_permission.Standing(
                not self.directory.is_usable(self.running),
                self.pauses.until(self.running, self.now),
                self.limits.next_send("e", self.now),
                0.0,
            ),
            self.now,
        )

    def apply(self, value):
        self.revision += 1
        item = collection.Item("e", self.revision, value)
        batch = collection.Batch(self.revision, (item,), ())
        self.directory.apply(batch, False, False, self.now)
        self.listed = value is not None and not value.draining

    @stateful.rule(draining=strategies.booleans())
    def write_entry(self, draining):
        self.apply(self.running._replace(draining=draining))

    @stateful.rule()
    def remove_entry(self):
        self.apply(None)

    @stateful.rule()
    def start_again(self):
        self.start += 1
        self.write_entry(False)

    @stateful.rule(from_peer=strategies.booleans())
    def say_it_leaves(self, from_peer):
        self.said_to_leave.add(self.start)
        if from_peer:
            self.directory.merge_stopping({"e": self.start})
        else:
            self.directory.mark_stopping(self.running)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0, 1e9]))
    def pause(self, seconds):
        if not self.listed:
            return
        self.paused_until[self.start] = max(
            self.now + seconds, self.paused_until.get(self.start, 0.0)
        )
        self.pauses.record(self.running, seconds, self.now)

    @stateful.rule(rate=strategies.sampled_from([None, 0.5, 2.0]))
    def state_rate(self, rate):
        self.limits.record_answer("e", rate, self.now, self.now)

    @stateful.rule()
    def send(self):
        if self.permission().at <= self.now:
            self.limits.record_sent("e", self.now)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 2.0, 10.0]))
    def wait(self, seconds):
        self.now += seconds
        self.pauses.forget_ended(self.now)
        self.limits.retain(set(self.directory.listed))

    @stateful.invariant()
    def nothing_is_sent_against_what_the_endpoint_said(self):
        permission = self.permission()
        if self.start in self.said_to_leave or not self.listed:
            assert permission.at == NEVER
        elif self.paused_until.get(self.start, 0.0) > self.now:
            assert permission.at >= self.paused_until[self.start]
        elif self.limits.rate_of("e") is None:
            # Nothing keeps a sound endpoint from its requests.
            assert permission.at <= self.now


TestEndpoint = EndpointMachine.TestCase
TestEndpoint.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50
)
