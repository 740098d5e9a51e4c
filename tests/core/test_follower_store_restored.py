"""A follower of a model store that is restored at any moment."""

import hypothesis
import returns.result

from core import restore_machine
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions


class ModelStore:
    """A store of one collection.

    Attributes:
        log: All changes, as (number, name, value), the value None if removed.
        oldest: The history after earlier numbers is gone.
    """

    def __init__(self):
        self.era = 1
        self.number = 0
        self.oldest = 0
        self.log = []

    def put(self, name, value):
        self.number += 1
        self.log.append((self.number, name, value))

    def remove(self, name):
        self.put(name, None)

    def restore(self, changes):
        kept = max(0, len(self.log) - changes)
        self.log = self.log[:kept]
        self.number = kept
        self.oldest = min(self.oldest, kept)
        self.era += 1

    def forget_history(self):
        self.oldest = self.number

    def content(self):
        return {
            name: (revisions.create_revision(self.era, number), value)
            for number, name, value in self.items_after(0, removed=False)
        }

    def history(self):
        return {
            (name, revisions.create_revision(self.era, number), value)
            for number, name, value in self.log
        }

    def read(self):
        """Return the era, the number, and all objects."""
        return self.era, self.number, self.items_after(0, removed=False)

    def watch(self, since):
        """Return the era, the number, and the changes, None if gone."""
        if not self.oldest <= since <= self.number:
            return self.era, self.number, None
        return self.era, self.number, self.items_after(since, removed=True)

    def items_after(self, since, removed):
        latest = {
            name: (number, name, value)
            for number, name, value in self.log
            if number > since
        }
        return [item for item in latest.values() if removed or item[2]]


class ModelCollection:
    """Reads a ModelStore as an adapter would.

    Attributes:
        checks_watches: Whether a watch across a restore is reported as
            HistoryGone, and not as a batch of the new era.
    """

    def __init__(self, store, transport, era, checks_watches):
        self.store = store
        self.transport = transport
        self.era = era
        self.checks_watches = checks_watches

    def read_all(self):
        return self.receive(self.transport.carry(self.store.read), None)

    def read_changes(self, revision, wait):
        del wait
        if self.checks_watches and self.era.is_past(revision):
            return returns.result.Failure(collection.HistoryGone())
        since = self.transport.earlier(revisions.number_of(revision))
        response = self.transport.carry(lambda: self.store.watch(since))
        return self.receive(response, revision)

    def receive(self, response, watched):
        if response is None:
            return unavailable("no response")
        era, number, items = response
        if not self.era.observe(era):
            return unavailable("response of an earlier era")
        across_restore = watched and era != revisions.era_of(watched)
        if items is None or (across_restore and self.checks_watches):
            return returns.result.Failure(collection.HistoryGone())
        return returns.result.Success(
            collection.Batch(
                revisions.create_revision(era, number),
                tuple(
                    collection.Item(
                        name, revisions.create_revision(era, changed_at), value
                    )
                    for changed_at, name, value in items
                ),
                (),
            )
        )


def unavailable(message):
    return returns.result.Failure(
        port.StoreFailure(port.FailureKind.UNAVAILABLE, message)
    )


class CheckedMachine(restore_machine.RestoreMachine):
    """The collection reports a watch across a restore as HistoryGone."""

    checks_watches = True

    def create_store(self):
        return ModelStore()

    def create_collection(self):
        return ModelCollection(
            self.store, self.transport, self.era, self.checks_watches
        )


class UncheckedMachine(CheckedMachine):
    """The collection returns batches of a new era from a watch."""

    checks_watches = False


TestFollowerStoreRestored = CheckedMachine.TestCase
TestFollowerStoreRestored.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30
)
TestUncheckedWatchesStoreRestored = UncheckedMachine.TestCase
TestUncheckedWatchesStoreRestored.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30
)
