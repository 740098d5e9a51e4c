"""Rate limits that endpoints state: shares, expiry, and the common bound."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from verbenafall_gateway.forwarding import endpoint_limits

ENGINE = "engine"
WINDOW = 4.0
# From this time after the first statement the bound holds.
NOTICE = 3.0


def create(number, size):
    limits = endpoint_limits.create_endpoint_limits(f"gateway-{number}")
    limits.set_gateways([f"gateway-{other}" for other in range(size)])
    return limits


class TestParsing:
    @pytest.mark.parametrize(
        ("text", "rate"),
        [
            ("3", 3.0),
            ("0.5", 0.5),
            (" 7 ", 7.0),
            ("0", 0.0),
            ("-1", None),
            ("nan", None),
            ("inf", None),
            ("many", None),
            ("", None),
        ],
    )
    def test_rate(self, text, rate):
        assert endpoint_limits.parse_rate(text) == rate


class TestStatements:
    @pytest.mark.parametrize(
        ("answers", "rate"),
        [
            ([], None),
            ([(4.0, 0.0, 1.0)], 4.0),
            ([(None, 0.0, 1.0)], None),
            # An answer to a request from before the statement lifts nothing.
            ([(4.0, 0.0, 1.0), (None, 0.5, 2.0)], 4.0),
            ([(4.0, 0.0, 1.0), (None, 1.5, 2.0)], None),
            ([(4.0, 0.0, 1.0), (None, 1.5, 2.0), (9.0, 1.0, 3.0)], 9.0),
            ([(4.0, 0.0, 1.0), (2.0, 0.0, 2.0)], 2.0),
            ([(0.0, 0.0, 1.0)], endpoint_limits.MIN_RATE),
        ],
    )
    def test_newest_one_holds(self, answers, rate):
        limits = create(0, 1)
        for answer in answers:
            limits.record_answer(ENGINE, *answer)
        assert limits.rate_of(ENGINE) == rate

    def test_unchanged_one_is_passed_on_rarely(self):
        limits = create(0, 1)
        passed_on = [
            limits.record_answer(ENGINE, 4.0, 0.0, number / 10)
            for number in range(1, 22)
        ]
        assert sum(passed_on) == 3
        assert limits.record_answer(ENGINE, 5.0, 0.0, 2.2)

    def test_older_one_of_a_peer_is_ignored(self):
        limits = create(0, 2)
        limits.record_answer(ENGINE, 4.0, 0.0, 2.0)
        assert not limits.record(ENGINE, endpoint_limits.Statement(None, 1.0))
        assert limits.rate_of(ENGINE) == 4.0

    def test_unlisted_endpoint_is_forgotten(self):
        limits = create(0, 1)
        limits.record_answer(ENGINE, 4.0, 0.0, 1.0)
        limits.record_sent(ENGINE, 1.0)
        limits.retain({"another"})
        assert limits.may_send(ENGINE, 1.0)


class TestShares:
    @pytest.mark.parametrize("size", [1, 2, 4, 16, 100])
    @pytest.mark.parametrize("rate", [0.5, 2.0, 10.0, 60.0])
    def test_rate_is_used_and_kept(self, size, rate):
        gateways = [create(number, size) for number in range(size)]
        for limits in gateways:
            limits.record_answer(ENGINE, rate, -NOTICE, -NOTICE)
        sends = []
        for step in range(1000):
            now = step * 0.02
            for limits in gateways:
                if limits.may_send(ENGINE, now):
                    limits.record_sent(ENGINE, now)
                    sends.append(now)
        assert len(sends) >= 0.8 * rate * 20
        for start in sends:
            count = sum(start <= time < start + WINDOW for time in sends)
            assert count <= 1.5 * rate * WINDOW + 5


class TestUnknownShare:
    @pytest.mark.parametrize("names", [None, [], ["gateway-1", "gateway-2"]])
    def test_gateway_without_its_own_record_does_not_use_the_whole_rate(
        self, names
    ):
        """It hears of the rate from a peer before it has read the records."""
        limits = endpoint_limits.create_endpoint_limits("gateway-0")
        if names is not None:
            limits.set_gateways(names)
        limits.record(ENGINE, endpoint_limits.Statement(10.0, 0.0))
        sends = 0
        for step in range(int(WINDOW / 0.02)):
            if limits.may_send(ENGINE, step * 0.02):
                limits.record_sent(ENGINE, step * 0.02)
                sends += 1
        assert sends == endpoint_limits.MIN_RATE * WINDOW


class Gateways(stateful.RuleBasedStateMachine):
    """Gateways that send whenever they may, with late and lost messages."""

    @stateful.initialize(
        size=strategies.integers(1, 16), rate=strategies.floats(0.3, 30)
    )
    def start(self, size, rate):
        self.gateways = [create(number, size) for number in range(size)]
        self.now = 0.0
        self.rates = [(0.0, rate)]
        self.first_named = None
        self.told_at = {}
        self.sends = []
        self.messages = []

    @stateful.rule(
        number=strategies.integers(0, 15), burst=strategies.integers(1, 30)
    )
    def send(self, number, burst):
        number %= len(self.gateways)
        limits = self.gateways[number]
        for _ in range(burst):
            if not limits.may_send(ENGINE, self.now):
                return
            limits.record_sent(ENGINE, self.now)
            told = self.told_at.get(number)
            if told is not None and told + 0.5 <= self.now:
                self.sends.append(self.now)
            self.answer(number)

    def answer(self, number):
        rate = self.rates[-1][1]
        if self.first_named is None:
            self.first_named = self.now
        self.told_at.setdefault(number, self.now)
        if self.gateways[number].record_answer(
            ENGINE, rate, self.now, self.now
        ):
            statement = self.gateways[number].statements[ENGINE]
            self.messages.extend(
                (other, statement)
                for other in range(len(self.gateways))
                if other != number
            )

    @stateful.rule(
        position=strategies.integers(0, 100), lost=strategies.booleans()
    )
    def deliver(self, position, lost):
        if self.messages:
            number, statement = self.messages.pop(position % len(self.messages))
            if not lost:
                self.gateways[number].record(ENGINE, statement)

    @stateful.rule(rate=strategies.floats(0.3, 30))
    def change_rate(self, rate):
        self.rates.append((self.now, rate))

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.2, 1.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def bound_holds(self):
        if not self.sends or self.sends[-1] < self.first_named + NOTICE:
            return
        start = self.now - WINDOW
        count = sum(time > start for time in self.sends)
        # A gateway hears of a new rate by the answer to its next request.
        recent = [
            rate
            for number, (_, rate) in enumerate(self.rates)
            if number + 1 == len(self.rates)
            or self.rates[number + 1][0] > start - WINDOW
        ]
        assert count <= 1.5 * max(recent) * WINDOW + 5


TestGateways = Gateways.TestCase
TestGateways.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
