"""Followers of a collection: order of calls, outages, lost history."""

import datetime
import queue
import random

import pytest
import returns.result

from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

DOWN = returns.result.Failure(
    port.StoreFailure(port.FailureKind.UNAVAILABLE, "down")
)
GONE = returns.result.Failure(collection.HistoryGone())


def batch(revision):
    return returns.result.Success(collection.Batch(revision, (), ()))


def changed(revision):
    items = (collection.Item("name", revision, "value"),)
    return returns.result.Success(collection.Batch(revision, items, ()))


# Test id, last revision as era and number, era seen since, whether the read
# is delayed.
READ_DELAYS = [
    ("only the history is gone", (1, 50), 1, False),
    ("no era", (0, 50), None, False),
    ("restored", (1, 50), 2, True),
    ("restored twice", (1, 50), 3, True),
]


class ScriptedCollection:
    """A collection that returns given results in order."""

    def __init__(self, *results):
        self.results = list(results)
        self.calls = []

    def read_all(self):
        self.calls.append("all")
        return self.results.pop(0)

    def read_changes(self, revision, wait):
        del wait
        self.calls.append(revision)
        return self.results.pop(0)


WAIT_SECONDS = 30


class WaitingCollection:
    """A collection whose watches wait until the test completes them."""

    def __init__(self):
        self.batches = queue.SimpleQueue()
        self.watches = queue.SimpleQueue()

    def read_all(self):
        return self.batches.get(timeout=WAIT_SECONDS)

    def read_changes(self, revision, wait):
        del wait
        response = queue.SimpleQueue()
        self.watches.put((revision, response))
        result = response.get(timeout=WAIT_SECONDS)
        return result() if callable(result) else result


class QueueListener:
    """Passes the batches that it gets to the test."""

    def __init__(self):
        self.batches = queue.SimpleQueue()

    def on_batch(self, received, complete, after_outage):
        self.batches.put((received.revision, complete, after_outage))

    def on_outage(self):
        self.batches.put("outage")

    def next(self):
        return self.batches.get(timeout=WAIT_SECONDS)


class Recorder:
    """Records the calls of the listener methods."""

    def __init__(self):
        self.callbacks = []

    def on_batch(self, received, complete, after_outage):
        self.callbacks.append((received.revision, complete, after_outage))

    def on_outage(self):
        self.callbacks.append("outage")


class FailingListener(Recorder):
    """Raises at the first batch of a revision, and stops at the second."""

    def __init__(self, failing_revision):
        super().__init__()
        self.failing_revision = failing_revision
        self.has_failed = False

    def on_batch(self, received, complete, after_outage):
        if received.revision == self.failing_revision:
            if not self.has_failed:
                self.has_failed = True
                raise ValueError("simulated failure of a listener")
            self.stop(datetime.timedelta())
        super().on_batch(received, complete, after_outage)


def revision(era, number):
    return revisions.create_revision(era, number)


def run(*results):
    source, recorder = ScriptedCollection(*results), Recorder()
    created = follower.create_follower(
        "x", source, recorder, datetime.timedelta(), random.Random(1)
    )
    for _ in results:
        created.run_once()
    return source.calls, recorder.callbacks, created


class TestFollower:
    def test_watches_continue_from_the_last_revision(self):
        calls, callbacks, _ = run(batch(5), batch(7), batch(7))
        assert calls == ["all", 5, 7]
        assert callbacks == [
            (5, True, False),
            (7, False, False),
            (7, False, False),
        ]

    def test_collection_is_read_again_after_lost_history(self):
        calls, callbacks, _ = run(batch(5), GONE, batch(9))
        assert calls == ["all", 5, "all"]
        assert callbacks[-1] == (9, True, False)

    def test_outage_and_its_end_are_reported_once(self):
        calls, callbacks, _ = run(batch(5), DOWN, DOWN, batch(6), batch(6))
        assert calls == ["all", 5, 5, 5, 6]
        assert callbacks == [
            (5, True, False),
            "outage",
            (6, False, True),
            (6, False, False),
        ]

    def test_changes_are_collected_during_a_pause(self):
        """Guards against calls that grow with the square of the processes."""
        pause = datetime.timedelta(seconds=1)
        source = ScriptedCollection(batch(5), batch(6), changed(7), batch(7))
        created = follower.create_follower(
            "x",
            source,
            Recorder(),
            datetime.timedelta(),
            random.Random(1),
            change_pause=pause,
        )
        assert [created.run_once() for _ in range(3)] == [True, True, False]
        assert pause / 2 <= created.next_retry_delay() <= pause
        assert created.run_once()

    def test_retry_delay_is_bounded(self):
        _, _, created = run(*[DOWN] * 20)
        assert created.next_retry_delay() <= follower.MAX_RETRY_DELAY
        assert created.next_retry_delay() >= follower.MAX_RETRY_DELAY / 2

    def test_store_restored_read_is_delayed(self):
        source = ScriptedCollection(batch(5), GONE, batch(9))
        created = follower.create_follower(
            *("x", source, Recorder(), datetime.timedelta(), random.Random(1)),
            lambda revision: revision * datetime.timedelta(seconds=1),
        )
        assert created.run_once()
        assert not created.run_once()
        assert created.next_retry_delay() == datetime.timedelta(seconds=5)
        assert created.next_retry_delay() < follower.MAX_RETRY_DELAY
        assert created.run_once()
        assert source.calls == ["all", 5, "all"]

    @pytest.mark.parametrize(
        ("revision", "era", "delayed"),
        [case[1:] for case in READ_DELAYS],
        ids=[case[0] for case in READ_DELAYS],
    )
    def test_store_restored_reads_are_spread(self, revision, era, delayed):
        state = store_era.create_store_era()
        state.observe(era)
        draw = follower.spread_reads(state, lambda: 300, random.Random(1))
        spread = datetime.timedelta(
            seconds=300 / follower.MAX_PROCESSES_PER_SECOND
        )
        delays = {draw(revisions.create_revision(*revision)) for _ in range(99)}
        assert len(delays) == (99 if delayed else 1)
        assert (max(delays) > spread * 0.9) is delayed
        assert max(delays) <= spread

    def test_store_restored_is_read_again_without_a_lost_history(self):
        """Guards against a store that has given out the revision again."""
        old, again, new = revision(1, 5), revision(2, 5), revision(2, 6)
        calls, callbacks, _ = run(batch(old), batch(again), batch(new))
        assert calls == ["all", old, "all"]
        assert callbacks == [(old, True, False), (new, True, True)]

    def test_store_restored_counts_as_an_outage_until_it_is_read(self):
        old, new = revision(1, 5), revision(2, 3)
        calls, callbacks, _ = run(
            batch(old), GONE, DOWN, batch(new), batch(new)
        )
        assert calls == ["all", old, "all", "all", new]
        assert callbacks == [
            (old, True, False),
            "outage",
            (new, True, True),
            (new, False, False),
        ]

    def test_store_restored_counts_as_an_outage_until_it_is_delivered(self):
        old, new = revision(1, 5), revision(2, 3)
        source = ScriptedCollection(batch(old), GONE, batch(new), batch(new))
        listener = FailingListener(new)
        created = follower.create_follower(
            "x", source, listener, datetime.timedelta(), random.Random(1)
        )
        listener.stop = created.stop
        created.run()
        assert source.calls == ["all", old, "all", "all"]
        assert listener.callbacks == [(old, True, False), (new, True, True)]

    def test_history_lost_without_a_restore_is_no_outage(self):
        _, callbacks, _ = run(
            batch(revision(1, 5)), GONE, batch(revision(1, 9))
        )
        assert callbacks[-1] == (revision(1, 9), True, False)


class TestWaitingFollower:
    """A follower whose watch may wait for long when the store is restored."""

    def setup_method(self):
        self.source, self.listener = WaitingCollection(), QueueListener()
        self.era = store_era.create_store_era()
        self.era.observe(1)
        self.follower = follower.create_follower(
            "x",
            self.source,
            self.listener,
            datetime.timedelta(seconds=WAIT_SECONDS),
            era=self.era,
        )
        self.follower.start()
        self.source.batches.put(batch(revision(1, 5)))
        assert self.listener.next() == (revision(1, 5), True, False)
        self.watched, self.response = self.next_watch()

    def teardown_method(self):
        self.follower.stop(datetime.timedelta())
        self.response.put(GONE)

    def next_watch(self):
        return self.source.watches.get(timeout=WAIT_SECONDS)

    def test_store_restored_is_read_while_the_watch_waits(self):
        assert self.era.observe(2)
        self.source.batches.put(batch(revision(2, 4)))
        assert self.listener.next() == (revision(2, 4), True, True)

    def test_store_restored_makes_the_waiting_watch_ineffective(self):
        replaced = self.follower.thread
        self.era.observe(2)
        self.source.batches.put(batch(revision(2, 4)))
        self.listener.next()
        watched, response = self.next_watch()
        assert watched == revision(2, 4)
        self.response.put(batch(revision(1, 9)))
        replaced.join(WAIT_SECONDS)
        assert not replaced.is_alive()
        self.response = response
        response.put(batch(revision(2, 7)))
        assert self.listener.next() == (revision(2, 7), False, False)

    def test_store_restored_twice(self):
        self.era.observe(2)
        self.source.batches.put(batch(revision(2, 4)))
        self.listener.next()
        self.response.put(GONE)
        _, self.response = self.next_watch()
        self.era.observe(3)
        self.source.batches.put(batch(revision(3, 1)))
        assert self.listener.next() == (revision(3, 1), True, True)

    def test_store_restored_after_the_stop(self):
        self.follower.stop(datetime.timedelta())
        assert self.era.listeners == []
        self.follower.on_restored(2)
        self.response.put(GONE)
        self.follower.thread.join(WAIT_SECONDS)
        assert not self.follower.thread.is_alive()

    def test_store_restored_as_seen_by_the_own_watch(self):
        def show_restore():
            self.era.observe(2)
            return GONE

        self.response.put(show_restore)
        self.source.batches.put(batch(revision(2, 4)))
        assert self.listener.next() == (revision(2, 4), True, True)
        assert self.follower.generation == 0
        _, self.response = self.next_watch()
