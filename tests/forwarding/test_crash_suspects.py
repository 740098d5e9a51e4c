"""Suspect parts of prompts: evidence, trials, bounds, several gateways."""

import itertools
import random
from typing import NamedTuple

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from verbenafall_gateway.forwarding import crash_suspects
from verbenafall_gateway.forwarding import http_messages
from verbenafall_gateway.forwarding import prompt_parts
from verbenafall_gateway.forwarding import request_fingerprint
from verbenafall_gateway.forwarding import sound_parts

SERVICE = "s"
MAIN = crash_suspects.MAIN_TRIAL_DELAY_SECONDS
OTHER = crash_suspects.OTHER_TRIAL_DELAY_SECONDS


class Event(NamedTuple):
    """An answer to a prompt with some parts had an event."""

    parts: str


class Fall(NamedTuple):
    """An endpoint crashed beside a prompt with some parts."""

    parts: str
    endpoint: str = "e1"
    waited: float = 0.2


# As the last step: all steps before it happen within a fraction of a second.
COINCIDENCE = None


def key(part):
    return crash_suspects.PartKey(SERVICE, part)


def play(steps, start=0.0, seconds=5.0):
    """Return the suspects after steps that are some seconds apart."""
    suspects = crash_suspects.create_crash_suspects()
    if steps and steps[-1] is COINCIDENCE:
        steps, seconds = steps[:-1], 0.1
    for number, step in enumerate(steps):
        now = start + number * seconds
        if isinstance(step, Event):
            suspects.record_event(SERVICE, step.parts, now)
        else:
            crash = crash_suspects.Crash(step.endpoint, now, step.waited)
            suspects.record_crash(SERVICE, step.parts, crash)
    return suspects


class TestParsing:
    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            (None, ()),
            ("", ()),
            ("a:1", ()),
            ("a:40,b:7", ("a",)),
            (" a : 40 , b:7,c:1", ("a", "b")),
            ("a:1,a:1,b:2", ("a",)),
            (",,b:1", ()),
            ("a,b", ("a",)),
            (
                ",".join(f"{number:x}:1" for number in range(5000)),
                tuple(f"{number:x}" for number in range(4999)),
            ),
            ("x" * 64 + ":1,b:1", ("x" * prompt_parts.MAX_ID_LENGTH,)),
        ],
    )
    def test_parts_that_others_may_have(self, text, parts):
        assert prompt_parts.parse_shared_parts(text) == parts

    def test_long_ids_take_little_memory_and_stay_apart(self):
        """A cut would take a deadly part for a sound one that begins alike."""
        text = f"{'x' * 999}a:1,{'x' * 999}b:1,own:1"
        first, second = prompt_parts.parse_shared_parts(text)
        assert first != second
        assert len(first) <= prompt_parts.MAX_ID_LENGTH
        assert not request_fingerprint.is_fingerprint(first)

    @pytest.mark.parametrize(
        ("values", "joined"),
        [([], None), (["a:1,b:2"], "a:1,b:2"), (["a:1", "b:2"], "a:1,b:2")],
    )
    def test_header_in_several_lines(self, values, joined):
        assert prompt_parts.join_values(values) == joined

    @pytest.mark.parametrize(
        ("count", "text"),
        [
            (0, ""),
            (2, "p0,p1"),
            (16, ",".join(f"p{n}" for n in range(16))),
            (600, "584 more," + ",".join(f"p{n}" for n in range(584, 600))),
        ],
    )
    def test_parts_in_a_log_line_are_limited(self, count, text):
        parts = [f"p{number}" for number in range(count)]
        assert prompt_parts.format_parts(parts) == text


class TestEvidence:
    @pytest.mark.parametrize(
        ("steps", "main", "others"),
        [
            ([Fall("d")], "d", ""),
            ([Fall("sd")], "", "sd"),
            # An event shows that a part is sound, before the crash or after.
            ([Event("s"), Fall("sd")], "d", ""),
            ([Fall("sd"), Event("s")], "d", ""),
            ([Event("s"), Fall("s")], "", ""),
            ([Fall("d"), Event("d")], "", ""),
            # A part that was sound may have become deadly.
            ([Event("d"), Fall("d"), Fall("d", "e2")], "d", ""),
            ([Event("d"), Fall("d"), Event("d"), Fall("d", "e2")], "", ""),
            # What was at both crashes explains both.
            ([Fall("sd"), Fall("td", "e2")], "d", ""),
            ([Event("a"), Fall("ad"), Fall("ad", "e2")], "d", ""),
            ([Fall("ad"), Fall("ad", "e2")], "", "ad"),
            # The endpoint begins with what has waited longest.
            ([Fall("s", waited=0.1), Fall("d"), COINCIDENCE], "d", "s"),
            ([Fall("d"), Fall("s", waited=0.1), COINCIDENCE], "d", "s"),
            ([Event("d"), Fall("s", waited=0.1), Fall("d")], "s", ""),
            # Crashes without a part in common.
            ([Fall("a"), Fall("d", "e2")], "ad", ""),
            ([Fall("")], "", ""),
            # Crashes at the same moment that share a part, or none.
            ([Fall("d"), Fall("d", "e2"), COINCIDENCE], "d", ""),
            ([Fall("a"), Fall("d", "e2"), COINCIDENCE], "", "ad"),
            ([Fall("ad"), Fall("d", "e2"), COINCIDENCE], "d", ""),
        ],
    )
    def test_suspects_after(self, steps, main, others):
        expected = {key(part): True for part in main} | {
            key(part): False for part in others
        }
        assert play(steps).main_by_suspect() == expected

    def test_trial_that_crashes_makes_a_coincident_part_the_likely_cause(self):
        """Its request at the other endpoint had been withdrawn in vain."""
        suspects = play([Fall("s"), Fall("d", "e2")], seconds=0.1)
        trial = crash_suspects.Crash("e3", 5.0, 0.2)
        suspects.record_crash(SERVICE, "d", trial)
        assert suspects.main_by_suspect()[key("d")]

    def test_crash_that_several_attempts_show_counts_once(self):
        suspects = play([Fall("d"), Fall("d")], seconds=0.3)
        assert len(suspects.histories[key("d")].crashes) == 1

    def test_same_part_of_another_service_is_no_suspect(self):
        verdict = play([Fall("d")]).judge("other", "d", 1.0)
        assert verdict == crash_suspects.Sound()


class TestTrials:
    @pytest.mark.parametrize(
        ("steps", "parts", "after", "verdict"),
        [
            ([Fall("d")], "s", 0.1, crash_suspects.Sound),
            ([Fall("d")], "sd", 0.1, crash_suspects.Blocked),
            ([Fall("d")], "d", MAIN - 0.1, crash_suspects.Blocked),
            ([Fall("d")], "d", MAIN, crash_suspects.Trial),
            ([Fall("sd")], "s", OTHER - 0.1, crash_suspects.Blocked),
            ([Fall("sd")], "s", OTHER, crash_suspects.Trial),
            # Its crash would not tell which of the two caused it.
            ([Fall("sd")], "sd", OTHER, crash_suspects.Blocked),
            ([Fall("sd")], "sd", MAIN, crash_suspects.Trial),
            ([Fall("d"), Fall("d", "e2")], "d", MAIN, crash_suspects.Blocked),
            ([Fall("d"), Fall("d", "e2")], "d", MAIN * 2, crash_suspects.Trial),
            (
                [Fall("d"), Fall("s", waited=0.1), COINCIDENCE],
                "d",
                OTHER + 0.2,
                crash_suspects.Blocked,
            ),
            (
                [Fall("d"), Fall("s", waited=0.1), COINCIDENCE],
                "s",
                OTHER + 0.2,
                crash_suspects.Trial,
            ),
            # The remaining one is the only explanation.
            ([Fall("sd"), Event("s")], "d", OTHER, crash_suspects.Blocked),
        ],
    )
    def test_verdict_after_the_last_step(self, steps, parts, after, verdict):
        now = after if COINCIDENCE in steps else (len(steps) - 1) * 5.0 + after
        assert isinstance(play(steps).judge(SERVICE, parts, now), verdict)

    def test_one_at_a_time(self):
        suspects = play([Fall("st")])
        now = OTHER
        suspects.record_trial(key("s"), now)
        assert isinstance(
            suspects.judge(SERVICE, "t", now), crash_suspects.Blocked
        )
        suspects.record_event(SERVICE, "s", now + 0.2)
        # The trial has ended; the other part is the only suspect now.
        assert isinstance(
            suspects.judge(SERVICE, "t", MAIN), crash_suspects.Trial
        )

    def test_trial_without_a_result_is_repeated(self):
        suspects = play([Fall("st")])
        suspects.record_trial(key("s"), OTHER)
        now = OTHER + crash_suspects.TRIAL_SECONDS
        assert isinstance(
            suspects.judge(SERVICE, "s", now), crash_suspects.Trial
        )

    def test_time_to_come_back_is_that_of_the_trial(self):
        verdict = play([Fall("d")]).judge(SERVICE, "d", 10.0)
        assert verdict.retry_after == pytest.approx(MAIN - 10.0)

    def test_delay_is_bounded(self):
        falls = [Fall("d", f"e{number}") for number in range(20)]
        due = play(falls).trial_due(key("d"), True)
        assert due == 19 * 5 + crash_suspects.MAX_TRIAL_DELAY_SECONDS


class TestWithdrawal:
    @pytest.mark.parametrize(
        ("steps", "parts", "withdrawn"),
        [
            ([Fall("d")], "sd", True),
            ([Fall("d")], "s", False),
            ([Fall("sd")], "s", False),
            ([], "s", False),
        ],
    )
    def test_only_with_the_likely_cause(self, steps, parts, withdrawn):
        assert play(steps).must_withdraw(SERVICE, parts, 1.0) is withdrawn


R1, R2, R3 = (request_fingerprint.PREFIX + name for name in "123")
SPACING = crash_suspects.REQUEST_TRIAL_SPACING_SECONDS
RETENTION = crash_suspects.HISTORY_RETENTION_SECONDS


class TestRequests:
    """A whole request counts as a part that no other request has."""

    @pytest.mark.parametrize(
        ("steps", "main", "others"),
        [
            ([Fall([R1])], [R1], []),
            ([Fall([R1]), Event([R1])], [], []),
            # One that was sound once is suspected all the same.
            ([Fall([R1]), Event([R1]), Fall([R1], "e2")], [R1], []),
            # All that ran together are suspects until one of them crashes
            # a second endpoint.
            ([Fall([R1]), Fall([R2]), COINCIDENCE], [], [R1, R2]),
            ([Fall([R1]), Fall([R2], "e2")], [R1, R2], []),
            ([Fall([R1]), Fall([R1], "e2")], [R1], []),
            # Two endpoints that crash together have another cause in common.
            ([Fall(["d", R1]), Fall(["d", R1], "e2"), COINCIDENCE], ["d"], []),
            # The request explains crashes that parts of others do not.
            ([Event("s"), Fall(["s", R1])], [R1], []),
            ([Event("s"), Fall(["s", R1]), Fall(["s", R1], "e2")], [R1], []),
            # A part that crashes with several requests explains all of them.
            ([Fall(["d", R1]), Fall(["d", R2], "e2")], ["d"], []),
            # Parts and requests are not weighed against each other.
            ([Fall(["d", R1])], ["d", R1], []),
            ([Fall(["d", R1]), Event(["d", R2])], [R1], []),
        ],
    )
    def test_suspects_after(self, steps, main, others):
        expected = {key(part): True for part in main} | {
            key(part): False for part in others
        }
        assert play(steps).main_by_suspect() == expected

    @pytest.mark.parametrize(
        ("steps", "part", "after", "verdict"),
        [
            ([Fall([R1])], R2, 0.0, crash_suspects.Sound),
            ([Fall([R1])], R1, SPACING / 2, crash_suspects.Blocked),
            ([Fall([R1])], R1, SPACING, crash_suspects.Trial),
            # Requests that ended together are tried one after the other.
            ([Fall([R1, R2])], R2, SPACING, crash_suspects.Blocked),
            ([Fall([R1, R2])], R2, 2 * SPACING, crash_suspects.Trial),
            # One that crashed two endpoints is not sent again.
            (
                [Fall([R1]), Fall([R1], "e2")],
                R1,
                RETENTION - 1,
                crash_suspects.Blocked,
            ),
            # Copies of a sound request may be at two that crash together.
            (
                [Fall([R1]), Fall([R1], "e2"), COINCIDENCE],
                R1,
                0.3,
                crash_suspects.Trial,
            ),
            # The second crash was that of a trial.
            (
                [Fall([R1]), Fall([R1], "e2", waited=0.01), COINCIDENCE],
                R1,
                RETENTION - 1,
                crash_suspects.Blocked,
            ),
            # Two that did so together are tried again.
            (
                [Fall([R1, R2]), Fall([R1, R2], "e2")],
                R1,
                OTHER * crash_suspects.OTHER_TRIAL_FACTOR,
                crash_suspects.Trial,
            ),
        ],
    )
    def test_verdict_after_the_last_step(self, steps, part, after, verdict):
        now = after
        if COINCIDENCE not in steps:
            now += (len(steps) - 1) * 5.0
        judged = play(steps).judge(SERVICE, [part], now)
        assert isinstance(judged, verdict)

    @pytest.mark.parametrize(
        ("after", "verdict"),
        [(SPACING, crash_suspects.Blocked), (MAIN, crash_suspects.Trial)],
    )
    def test_gateway_without_its_peers_tries_late(self, after, verdict):
        """Each of several such gateways would lose two endpoints."""
        suspects = play([Fall([R1])])
        suspects.is_informed = lambda: False
        assert isinstance(suspects.judge(SERVICE, [R1], after), verdict)

    def test_trial_that_ends_makes_way_for_the_next(self):
        suspects = play([Fall([R1, R2])])
        now = 2 * SPACING
        suspects.record_trial(key(R1), now)
        verdict = suspects.judge(SERVICE, [R2], now)
        assert isinstance(verdict, crash_suspects.Blocked)
        suspects.end_trial(key(R1))
        verdict = suspects.judge(SERVICE, [R2], now)
        assert isinstance(verdict, crash_suspects.Trial)

    def test_trial_that_crashes_makes_way_for_the_next(self):
        suspects = play([Fall([R1, R2])])
        suspects.record_trial(key(R1), 1.0)
        crash = crash_suspects.Crash("e2", 1.1, 0.1)
        suspects.record_crash(SERVICE, [R1], crash)
        assert isinstance(
            suspects.judge(SERVICE, [R2], 1.1), crash_suspects.Sound
        )

    def test_sound_requests_are_not_remembered(self):
        suspects = play([Event([R1, "s"])])
        assert set(suspects.sound.times) == {key("s")}

    def test_request_that_crashed_several_endpoints_is_kept_longest(
        self, monkeypatch
    ):
        monkeypatch.setattr(crash_suspects, "MAX_HISTORIES", 256)
        suspects = play([Fall([R1]), Fall([R1], "e2")])
        for number in range(crash_suspects.MAX_HISTORIES + 10):
            crash = crash_suspects.Crash(f"e{number}", 100.0 + number, 0.2)
            suspects.record_crash(SERVICE, [f"p{number}"], crash)
        assert key(R1) in suspects.histories


class TestFingerprint:
    REQUEST = http_messages.Request(
        "POST", "/a/x?q=1", (("host", "h"),), b"body", 0.0, True, True
    )

    def fingerprint(self, team="t", prompt=None, **changes):
        return request_fingerprint.fingerprint(
            self.REQUEST._replace(**changes), team, prompt
        )

    @pytest.mark.parametrize(
        "changes",
        [
            {"headers": (("x-request-id", "r2"), ("host", "h"))},
            {"headers": (("host", "h"), ("x-time-left-ms", "90"))},
            {"headers": (("host", "h"), ("last-event-id", "4"))},
            {"received_at": 5.0, "keep_alive": False, "http_1_1": False},
        ],
    )
    def test_same_request(self, changes):
        assert self.fingerprint(**changes) == self.fingerprint()

    @pytest.mark.parametrize(
        "changes",
        [
            {"method": "PUT"},
            {"target": "/a/x?q=2"},
            {"headers": (("host", "other"),)},
            {"body": b"bodx"},
            {"body": b""},
            {"team": ""},
            {"prompt": "a:1,b:2"},
            # The end of a field does not run into the next one.
            {"team": "tb", "body": b"ody"},
            {"method": "POS", "target": "T/a/x?q=1"},
        ],
    )
    def test_other_request(self, changes):
        assert self.fingerprint(**changes) != self.fingerprint()

    def test_nothing_of_the_request_is_readable(self):
        text = self.fingerprint(body=b"secret" * 1000)
        digits = 2 * request_fingerprint.DIGEST_BYTES
        assert len(text) == len(request_fingerprint.PREFIX) + digits
        assert "secret" not in text

    @pytest.mark.parametrize("text", ["request:ab:1,x:1", "request:ab"])
    def test_no_part_is_named_like_a_request(self, text):
        for part in prompt_parts.parse_shared_parts(text + ",own:1"):
            assert not request_fingerprint.is_fingerprint(part)


class TestBounds:
    def test_number_of_histories(self, monkeypatch):
        monkeypatch.setattr(crash_suspects, "MAX_HISTORIES", 256)
        suspects = crash_suspects.create_crash_suspects()
        limit = crash_suspects.MAX_HISTORIES
        for number in range(limit + 10):
            crash = crash_suspects.Crash(f"e{number}", float(number), 0.2)
            suspects.record_crash(SERVICE, [f"p{number}"], crash)
        assert len(suspects.histories) == limit
        assert key("p9") not in suspects.histories
        assert key("p10") in suspects.histories

    def test_parts_of_long_prompts_do_not_displace_other_suspects(
        self, monkeypatch
    ):
        """A client could hide the suspects of others behind its own parts."""
        monkeypatch.setattr(crash_suspects, "MAX_HISTORIES", 256)
        suspects = play([Fall("d")])
        for number in range(9):
            parts = [f"p{number}-{part}" for part in range(200)]
            crash = crash_suspects.Crash("e2", 10.0 * number + 9, 0.2)
            suspects.record_crash(SERVICE, parts, crash)
        assert len(suspects.histories) == 256
        assert key("d") in suspects.histories

    @pytest.mark.parametrize("parts", [16, 5000])
    def test_head_of_a_request_fits(self, parts):
        suspects = crash_suspects.create_crash_suspects()
        names = [f"p{part}" for part in range(parts)]
        for number in range(3):
            crash = crash_suspects.Crash(f"e{number}", 10.0 * number, 0.2)
            own = [f"{number}-{name}" for name in names[1:]]
            suspects.record_crash(SERVICE, ["d", *own], crash)
        found = suspects.main_by_suspect()
        assert [item.part for item in found] == ["d"]

    def test_number_of_crashes(self):
        suspects = play([Fall("d", f"e{number}") for number in range(99)])
        kept = suspects.histories[key("d")].crashes
        assert len(kept) == crash_suspects.MAX_CRASHES
        assert kept[-1].endpoint == "e98"

    def test_old_history_is_forgotten(self):
        suspects = play([Fall("d")])
        now = crash_suspects.HISTORY_RETENTION_SECONDS + 1
        crash = crash_suspects.Crash("e2", now, 0.2)
        suspects.record_crash(SERVICE, "x", crash)
        assert set(suspects.histories) == {key("x")}


class TestSoundParts:
    """Guards the sound parts of a team against those of the others."""

    @pytest.fixture(autouse=True)
    def small_memory(self, monkeypatch):
        monkeypatch.setattr(sound_parts, "MAX_SOUND_PARTS", 6)

    @pytest.mark.parametrize(
        ("events", "kept"),
        [
            ("a1 a2 a3", "a1 a2 a3"),
            # The oldest part of the team that has most goes first.
            ("b1 a1 a2 a3 a4 a5 a6 a7", "b1 a3 a4 a5 a6 a7"),
            ("a1 a2 a3 a4 a5 a6 b1 b2 b3 b4", "a4 a5 a6 b2 b3 b4"),
            ("b1 c1 a1 a2 a3 a4 a1 a5", "b1 c1 a3 a4 a1 a5"),
        ],
    )
    def test_kept_parts(self, events, kept):
        memory = sound_parts.create_sound_parts()
        for at, part in enumerate(events.split()):
            memory.record(part, float(at), part[0])
        assert set(memory.times) == set(kept.split())

    @pytest.mark.parametrize("seed", range(20))
    def test_no_team_displaces_another_below_its_share(self, seed):
        generator = random.Random(seed)
        memory = sound_parts.create_sound_parts()
        memory.record("mine", 0.0, "small")
        for at in range(1, 500):
            owner = generator.choice(["x", "y", "z"])
            memory.record((owner, generator.randrange(50)), float(at), owner)
            assert "mine" in memory.times
            counts = [len(parts) for parts in memory.by_owner.values()]
            assert sum(counts) == len(memory.times) <= 6
            assert memory.most == max(counts)


class TestLongPrompts:
    """Guards against deadly parts that a long prompt hides.

    The gateway looked at the first sixteen parts only.
    """

    @pytest.mark.parametrize("seed", range(60))
    def test_deadly_part_is_found_wherever_it_is(self, seed):
        generator = random.Random(seed)
        count = generator.choice([1, 2, 15, 16, 17, 18, 100, 300, 600])
        shared = [f"s{number}" for number in range(count)]
        place = generator.randrange(count + 1)
        crashes_before = 5
        suspects = crash_suspects.create_crash_suspects()
        if generator.random() < 0.5:
            suspects.record_event(SERVICE, shared, 0.0)
        crashes = served = 0
        now = 1.0
        for number in range(200):
            now += generator.uniform(0.2, 0.8)
            deadly = number % 3 == 0
            parts = list(shared)
            parts.insert(place, "dead" if deadly else "sound")
            parts.append(f"{request_fingerprint.PREFIX}{number}")
            verdict = suspects.judge(SERVICE, parts, now)
            if isinstance(verdict, crash_suspects.Blocked):
                continue
            if isinstance(verdict, crash_suspects.Trial):
                suspects.record_trial(verdict.part, now)
            if not deadly:
                served += now > 60.0
                suspects.record_event(SERVICE, parts, now)
                continue
            crashes += 1
            crash = crash_suspects.Crash(f"e{crashes}", now, 0.1)
            suspects.record_crash(SERVICE, parts, crash)
        assert crashes <= crashes_before
        assert served > 30


def distinct_crashes():
    """Draw crashes whose reports cannot be confused."""
    return strategies.lists(
        strategies.builds(
            crash_suspects.Crash,
            strategies.sampled_from(["e1", "e2"]),
            strategies.integers(0, 20).map(lambda number: number * 10.0),
            strategies.sampled_from([0.1, 0.2]),
        ),
        max_size=5,
    ).map(tuple)


HISTORIES = strategies.builds(
    crash_suspects.PartHistory,
    distinct_crashes(),
    strategies.sampled_from([crash_suspects.NEVER, 5.0, 55.0, 155.0]),
    strategies.sampled_from([crash_suspects.NEVER, 1.0, 2.0]),
)


class TestMerge:
    @hypothesis.given(HISTORIES, HISTORIES, HISTORIES)
    def test_order_and_repetition_do_not_matter(self, first, second, third):
        merge = crash_suspects.merge
        together = merge(merge(first, second), third)
        for one, two, three in itertools.permutations((first, second, third)):
            assert merge(one, merge(two, three)) == together
        assert merge(together, first) == together


class Flight(NamedTuple):
    """A request that was sent and has not begun."""

    gateway: int
    parts: tuple[str, ...]
    endpoint: str
    sent_at: float


DEADLY = "d"
SOUND = "abc"
# What crashes an endpoint: a part of a prompt, or a whole request.
CAUSES = (DEADLY, R1)


class Gateways(stateful.RuleBasedStateMachine):
    """Gateways with late and lost messages, restarts and ordinary crashes.

    Attributes:
        crashes: Number of crashes that a request has caused.
        unaware: Deadly requests that a gateway has sent without a history.
        trials: Gateways, causes and times of deadly requests that were sent as
            trials.
    """

    @stateful.initialize(size=strategies.integers(1, 5))
    def start(self, size):
        self.now = 0.0
        self.messages = []
        self.flights = []
        self.crashes = self.unaware = 0
        self.trials = []
        self.gateways = [self.create(number) for number in range(size)]

    def create(self, number):
        suspects = crash_suspects.create_crash_suspects()
        suspects.tell = lambda keys: self.tell(number, keys)
        return suspects

    def tell(self, sender, keys):
        suspects = self.gateways[sender]
        for part in keys:
            report = (part, suspects.history_of(part))
            self.messages.extend(
                (other, report)
                for other in range(len(self.gateways))
                if other != sender
            )

    @stateful.rule(
        number=strategies.integers(0, 4),
        sound=strategies.sets(strategies.sampled_from(SOUND), max_size=2),
        cause=strategies.sampled_from([None, *CAUSES]),
        endpoint=strategies.sampled_from(["e1", "e2", "e3"]),
    )
    def send(self, number, sound, cause, endpoint):
        number %= len(self.gateways)
        parts = (*sorted(sound), *([cause] if cause else []))
        self.try_send(number, parts, endpoint)

    def try_send(self, number, parts, endpoint):
        suspects = self.gateways[number]
        verdict = suspects.judge(SERVICE, parts, self.now)
        if isinstance(verdict, crash_suspects.Blocked):
            assert verdict.retry_after > 0
            return
        for cause in set(CAUSES) & set(parts):
            if key(cause) in suspects.main_by_suspect():
                self.trials.append((number, cause, self.now))
                assert isinstance(verdict, crash_suspects.Trial)
            else:
                self.unaware += 1
        if R1 in parts:
            # After two crashes only if another request may have caused them,
            # or if it was at both before it could be tried.
            known = sorted(
                suspects.history_of(key(R1)).crashes, key=lambda item: item.at
            )
            tried = any(
                second.at - second.waited >= first.at + SPACING
                or second.at >= first.at + crash_suspects.COINCIDENCE_SECONDS
                for first, second in itertools.combinations(known, 2)
            )
            assert not tried or self.now - known[-1].at >= OTHER
        if isinstance(verdict, crash_suspects.Trial):
            suspects.record_trial(verdict.part, self.now)
        self.flights.append(Flight(number, parts, endpoint, self.now))

    @stateful.rule(position=strategies.integers(0, 100))
    def begin(self, position):
        if not self.flights:
            return
        flight = self.flights.pop(position % len(self.flights))
        if set(CAUSES) & set(flight.parts):
            self.crashes += 1
            self.crash(flight.endpoint, flight)
            return
        self.gateways[flight.gateway].record_event(
            SERVICE, flight.parts, self.now
        )

    @stateful.rule(endpoint=strategies.sampled_from(["e1", "e2", "e3"]))
    def crash(self, endpoint, *others):
        """Crash an endpoint, by itself or by a request that began."""
        here = [item for item in self.flights if item.endpoint == endpoint]
        self.flights = [item for item in self.flights if item not in here]
        for flight in (*others, *here):
            self.gateways[flight.gateway].record_crash(
                SERVICE,
                flight.parts,
                crash_suspects.Crash(
                    endpoint, self.now, self.now - flight.sent_at
                ),
            )

    @stateful.rule(
        position=strategies.integers(0, 100), lost=strategies.booleans()
    )
    def deliver(self, position, lost):
        if self.messages:
            number, report = self.messages.pop(position % len(self.messages))
            if not lost:
                self.gateways[number].merge_reports(dict([report]), self.now)

    @stateful.rule()
    def deliver_all(self):
        for _ in range(10_000):
            if not self.messages:
                return
            number, report = self.messages.pop(0)
            self.gateways[number].merge_reports(dict([report]), self.now)
        raise AssertionError("the gateways never stop telling each other")

    @stateful.rule(number=strategies.integers(0, 4))
    def restart(self, number):
        """Start a gateway again, which links with all others."""
        number %= len(self.gateways)
        self.flights = [item for item in self.flights if item.gateway != number]
        self.gateways[number] = self.create(number)
        for other, suspects in enumerate(self.gateways):
            if other != number:
                self.messages.extend(
                    (number, item) for item in suspects.histories.items()
                )

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0, 61.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def crashes_have_a_reason(self):
        assert self.crashes <= self.unaware + len(self.trials)

    @stateful.invariant()
    def trials_are_rare(self):
        for number, cause in itertools.product(
            range(len(self.gateways)), CAUSES
        ):
            times = [
                at
                for gateway, tried, at in self.trials
                if (gateway, tried) == (number, cause)
            ]
            for first, second in itertools.pairwise(times):
                assert second - first >= min(
                    OTHER, crash_suspects.TRIAL_SECONDS
                )

    def teardown(self):
        """Sound parts come back into use on all gateways."""
        if not hasattr(self, "gateways"):
            return
        self.flights = []
        self.deliver_all()
        self.now += crash_suspects.MAX_TRIAL_DELAY_SECONDS
        # A gateway that restarted may have missed what its earlier life told.
        for number, part in itertools.product(range(len(self.gateways)), SOUND):
            self.try_send(number, (part,), "e1")
            assert len(self.flights) == 1
            self.begin(0)
            self.deliver_all()
        for suspects in self.gateways:
            assert not set(suspects.main_by_suspect()) & set(map(key, SOUND))


TestGateways = Gateways.TestCase
TestGateways.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
