"""Decisions and data structures of the sidecar that need no I/O."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from sidecar import helpers
from verbenafall_sidecar.delivery import admission
from verbenafall_sidecar.delivery import attempt_registry
from verbenafall_sidecar.delivery import fair_queue
from verbenafall_sidecar.endpoint import endpoint_health
from verbenafall_sidecar.endpoint import engine_http
from verbenafall_sidecar.endpoint import http_forwarding

ZERO = datetime.timedelta()
SECOND = datetime.timedelta(seconds=1)
LOAD = admission.Load(8, 0, 8, 100, SECOND, 0, 0, 1)

# Changes of the load, remaining seconds; reason for a refusal, or None.
ADMISSION = [
    ({"in_flight": 0}, 1, None),
    ({"in_flight": 0}, 0, "deadline"),
    # Without a free slot, wait and service time must fit into the deadline.
    ({}, 1, "overloaded"),
    ({}, 1.125, "overloaded"),
    ({}, 1.126, None),
    # With a free slot the mean service time is not considered, as it says
    # little about a single request.
    ({"in_flight": 7}, 0.01, None),
    ({"queued": 80, "active_shares": 1, "team_queued": 80}, 5, "overloaded"),
    ({"queued": 100, "active_shares": 1}, 60, "overloaded"),
    ({"queued": 60, "active_shares": 2, "team_queued": 55}, 60, "team_limit"),
    ({"queued": 60, "active_shares": 1, "team_queued": 60}, 60, None),
    # A team without queued items does not wait for other teams' items.
    ({"queued": 80, "active_shares": 1, "team_queued": 0}, 5, None),
]

EVENTS = [
    ('{"choices": [{"delta": {"content": "a"}}], "token_index": 3}', (3, "a")),
    ('{"choices": [{"delta": {}, "finish_reason": "stop"}]}', ("stop",)),
    ('{"choices": [{"delta": {"role": "assistant"}}]}', None),
    ('{"choices": []}', None),
    ('{"choices": [], "usage": {"prompt_tokens": 9}}', (9,)),
    ('{"choices": [], "usage": {"prompt_tokens": 0}}', None),
    ('{"choices": [], "usage": {"prompt_tokens": -1}}', None),
    ('{"choices": [], "usage": {"prompt_tokens": null}}', None),
    ('{"choices": [], "usage": {}}', None),
    ('{"choices": [], "usage": null}', None),
    (
        '{"choices": [{"delta": {"content": "a"}}], "token_index": 3,'
        ' "usage": null}',
        (3, "a"),
    ),
    ("[DONE]", ()),
]
MALFORMED = ["{", "[]", '{"choices": [{"delta": {"content": 1}}]}']

# Results of probes; whether the endpoint is considered up after each.
PROBES = [
    ([True, False, True, False], [True, True, True, True]),
    ([False, False, False], [True, False, False]),
    ([False, False, True], [True, False, True]),
    ([False, False, True, False], [True, False, True, True]),
]


class TestAdmission:
    @pytest.mark.parametrize(("change", "remaining", "reason"), ADMISSION)
    def test_decide(self, change, remaining, reason):
        decision = admission.decide(LOAD._replace(**change), remaining * SECOND)
        assert getattr(decision, "reason", None) == reason

    def test_retry_after_is_the_time_to_process_the_queue(self):
        load = LOAD._replace(queued=15, active_shares=1, team_queued=15)
        decision = admission.decide(load, SECOND)
        assert decision.retry_after == 2 * SECOND


class TestFairQueue:
    def served(self, queue, count, now=ZERO):
        return [queue.pop(now).team for _ in range(count)]

    def fill(self, queue, shares, count, now=ZERO):
        for team, share in shares.items():
            for number in range(count):
                key = f"{team}{number}"
                queue.push(key, team, share, 1.0, key, now)

    @pytest.mark.parametrize(
        ("shares", "rounds", "expected"),
        [
            ({"a": 1, "b": 1}, 40, {"a": 20, "b": 20}),
            ({"a": 1, "b": 3}, 40, {"a": 10, "b": 30}),
        ],
    )
    def test_teams_are_served_by_shares(self, shares, rounds, expected):
        """Guards against service that is not in proportion to shares."""
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, shares, 50)
        served = self.served(queue, rounds)
        assert {t: served.count(t) for t in shares} == expected

    def test_new_team_is_served_before_a_busy_one(self):
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, {"busy": 1}, 10)
        self.served(queue, 5)
        self.fill(queue, {"new": 1}, 1)
        assert self.served(queue, 2) == ["new", "busy"]

    def test_usage_halves_and_the_team_is_removed_when_negligible(self):
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, {"a": 1}, 1)
        self.served(queue, 1)
        assert queue.team_usage("a", fair_queue.HALF_LIFE) == 0.5
        queue.remove_idle(6 * fair_queue.HALF_LIFE)
        assert "a" in queue.teams
        queue.remove_idle(7 * fair_queue.HALF_LIFE)
        assert not queue.teams
        assert not queue.idle

    def test_rescaling_preserves_the_order(self):
        # Without rescaling, the scale would overflow after about 1,000
        # half-lives.
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, {"a": 1, "b": 1}, 3)
        self.served(queue, 1)
        later = 600 * fair_queue.HALF_LIFE
        assert queue.team_usage("a", later) == pytest.approx(2.0**-600)
        assert self.served(queue, 5, later) == ["b", "a", "b", "a", "b"]

    def test_remove_updates_the_counts(self):
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, {"a": 3, "b": 2}, 2)
        assert queue.remove("a0") == "a0"
        assert queue.remove("a0") is None
        assert (len(queue), queue.active_shares) == (3, 5)
        assert queue.remove("a1") == "a1"
        assert (len(queue), queue.active_shares) == (2, 2)
        assert self.served(queue, 2) == ["b", "b"]
        assert queue.pop(ZERO) is None
        assert queue.active_shares == 0

    def test_removed_items_do_not_grow_the_heaps(self):
        queue = fair_queue.create_fair_queue(ZERO)
        self.fill(queue, {"busy": 1, "other": 1}, 2)
        self.served(queue, 2)
        for number in range(5000):
            key = f"k{number}"
            queue.push(key, "busy" if number % 2 else "x", 1, 1.0, key, ZERO)
            queue.remove(key)
        assert len(queue.active) + len(queue.idle) < 200

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["push", "pop", "remove", "wait"]),
                strategies.integers(0, 3),
                strategies.integers(1, 40),
            ),
            max_size=60,
        )
    )
    def test_serves_the_team_with_the_lowest_decayed_usage(self, actions):
        queue = fair_queue.create_fair_queue(ZERO)
        usage, waiting, now = dict.fromkeys(range(4), 0.0), [], ZERO
        for number, (action, team, size) in enumerate(actions):
            if action == "push":
                queue.push(str(number), str(team), team + 1, size, number, now)
                waiting.append((team, number, size))
            elif action == "wait":
                now += size * SECOND
                usage = {
                    t: u * 0.5 ** (size * SECOND / fair_queue.HALF_LIFE)
                    for t, u in usage.items()
                }
            elif action == "remove" and waiting:
                entry = waiting.pop(size % len(waiting))
                assert queue.remove(str(entry[1])) == entry[1]
            elif action == "pop" and waiting:
                served = int(queue.pop(now).team)
                lowest = min(usage[entry[0]] for entry in waiting)
                # Teams with negligible usage are removed.
                assert (
                    usage[served] <= lowest + fair_queue.NEGLIGIBLE_USAGE + 1e-9
                )
                first = next(e for e in waiting if e[0] == served)
                waiting.remove(first)
                usage[served] += first[2] / (served + 1)
            assert len(queue) == len(waiting)


class TestRegistry:
    def test_ended_attempts_are_retained_for_ten_minutes(self):
        registry = attempt_registry.create_attempt_registry()
        registry.open("a")
        registry.close("a", attempt_registry.finished(helpers.RAN), ZERO)
        registry.open("open")
        before = attempt_registry.RETENTION - SECOND
        assert registry.find("a", before).outcome is helpers.RAN
        assert registry.find("a", attempt_registry.RETENTION) is None
        assert registry.find("open", attempt_registry.RETENTION) is not None

    def test_full_registry_refuses_attempts_and_removes_none(self):
        # Without the record of a cancel, a late dispatch would run.
        registry = attempt_registry.create_attempt_registry(1)
        record = attempt_registry.cancelled(helpers.NOT_RUN)
        assert registry.close("a", record, ZERO)
        assert not registry.has_room(ZERO)
        assert not registry.close("b", record, ZERO)
        assert registry.find("a", ZERO) is record
        assert registry.has_room(attempt_registry.RETENTION)


class TestEvents:
    @pytest.mark.parametrize(("data", "item"), EVENTS)
    def test_parse(self, data, item):
        assert engine_http.parse_event(data) == item

    @pytest.mark.parametrize("data", MALFORMED)
    def test_malformed(self, data):
        item = engine_http.parse_event(data)
        assert isinstance(item, engine_http.MalformedEvent)

    @pytest.mark.parametrize("newline", ["\n", "\r\n"])
    @pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
    def test_events_split_at_any_byte(self, newline, size):
        body = "".join(
            f"data: {t}{newline}{newline}" for t in ("a", "ñandú", "c")
        )
        data = body.encode()
        splitter = engine_http.EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert found == ["a", "ñandú", "c"]

    def test_unfinished_event_in_small_pieces_is_searched_once(
        self, monkeypatch
    ):
        searched = []
        find = engine_http.find_last_end

        def count(data, separator, *start):
            searched.append(len(data) - sum(start))
            return find(data, separator, *start)

        monkeypatch.setattr(engine_http, "find_last_end", count)
        splitter = engine_http.EventSplitter()
        pieces = 10_000
        for _ in range(pieces):
            splitter.feed(b"x")
        longest = max(map(len, engine_http.EVENT_SEPARATORS))
        assert sum(searched) <= (
            pieces * longest * len(engine_http.EVENT_SEPARATORS)
        )

    def test_event_above_the_maximum_size_is_an_error(self):
        splitter = engine_http.EventSplitter()
        with pytest.raises(ValueError, match="exceeds"):
            splitter.feed(b"x" * (engine_http.MAX_EVENT_BYTES + 1))


class TestHealth:
    @pytest.mark.parametrize(("probes", "up"), PROBES)
    def test_next_health(self, probes, up):
        health = endpoint_health.Health(True, 0)
        seen = []
        for succeeded in probes:
            health = endpoint_health.next_health(health, succeeded)
            seen.append(health.up)
        assert seen == up


class TestForwarding:
    def test_credentials_and_connection_headers_are_removed(self):
        dispatch = helpers.NON_IDEMPOTENT._replace(
            headers=(
                ("Authorization", "Bearer secret"),
                ("Connection", "close"),
                ("X-Request-Id", "forged"),
                ("Accept", "text/plain"),
            )
        )
        assert http_forwarding.request_headers(dispatch, "run") == (
            ("Accept", "text/plain"),
            ("X-Request-Id", "run"),
            ("Idempotency-Key", "key"),
        )
