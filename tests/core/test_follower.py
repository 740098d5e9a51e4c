"""Following a collection: order of calls, outages, history that is gone."""

import datetime
import random

import returns.result

from verbenafall_core.object_store import collection
from verbenafall_core.object_store import follower
from verbenafall_core.object_store import port

DOWN = returns.result.Failure(
    port.StoreFailure(port.FailureKind.UNAVAILABLE, "down")
)
GONE = returns.result.Failure(collection.HistoryGone())


def batch(revision):
    return returns.result.Success(collection.Batch(revision, (), ()))


class Scripted:
    """A collection whose calls get scripted answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def read_all(self):
        self.calls.append("all")
        return self.answers.pop(0)

    def read_changes(self, revision, wait):
        del wait
        self.calls.append(revision)
        return self.answers.pop(0)


class Recorder:
    """Keeps what a follower hands over."""

    def __init__(self):
        self.seen = []

    def on_batch(self, found, complete, after_outage):
        self.seen.append((found.revision, complete, after_outage))

    def on_outage(self):
        self.seen.append("outage")


def run(*answers):
    scripted, recorder = Scripted(*answers), Recorder()
    found = follower.create_follower(
        "x", scripted, recorder, datetime.timedelta(), random.Random(1)
    )
    for _ in answers:
        found.run_once()
    return scripted.calls, recorder.seen, found


class TestFollower:
    def test_watches_go_on_from_the_last_revision(self):
        calls, seen, _ = run(batch(5), batch(7), batch(7))
        assert calls == ["all", 5, 7]
        assert seen == [(5, True, False), (7, False, False), (7, False, False)]

    def test_history_that_is_gone_is_read_anew(self):
        calls, seen, _ = run(batch(5), GONE, batch(9))
        assert calls == ["all", 5, "all"]
        assert seen[-1] == (9, True, False)

    def test_outage_is_told_once_and_its_end(self):
        calls, seen, _ = run(batch(5), DOWN, DOWN, batch(6), batch(6))
        assert calls == ["all", 5, 5, 5, 6]
        assert seen == [
            (5, True, False),
            "outage",
            (6, False, True),
            (6, False, False),
        ]

    def test_delay_grows_to_its_limit(self):
        _, _, found = run(*[DOWN] * 20)
        assert found.next_retry_delay() <= follower.MAX_RETRY_DELAY
        assert found.next_retry_delay() >= follower.MAX_RETRY_DELAY / 2
