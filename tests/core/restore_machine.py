"""State machine of a follower of a store that is restored from copies.

A test module supplies the store and the collection through which the follower
reads it.
"""

import datetime
import functools

from hypothesis import stateful
from hypothesis import strategies

from verbenafall_core.object_store import follower as follower_lib
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era

NAMES = ("a", "b", "c", "d", "e")
# A watch that shows a restore, a read, and a watch for what came in between.
MAX_CALLS = 3


class Transport:
    """Carries calls to the store, and lets other things happen meanwhile.

    Attributes:
        before: Called before the store receives the next call.
        after: Called after the store has answered the next call, before the
            response arrives.
        repeated: Number of revisions that the next watch starts too early, so
            that its response repeats changes.
        failing: Whether the next call fails.
    """

    def __init__(self):
        self.clear()

    def clear(self):
        self.before, self.after = [], []
        self.repeated = 0
        self.failing = False

    def carry(self, serve):
        """Return the store's response to one call, None if the call fails."""
        before, after, failing = self.before, self.after, self.failing
        self.before, self.after, self.failing = [], [], False
        for action in before:
            action()
        response = serve()
        for action in after:
            action()
        return None if failing else response

    def earlier(self, number):
        """Return the revision number from which a watch starts."""
        repeated, self.repeated = self.repeated, 0
        return max(0, number - repeated)


class Delivered:
    """What a follower has delivered; checks the eras and order of batches.

    Attributes:
        written: All (name, version, value) in the histories of the store.
    """

    def __init__(self):
        self.written = set()
        self.items = {}
        self.revision = None

    def on_batch(self, batch, complete, after_outage):
        era = revisions.era_of(batch.revision)
        assert {revisions.era_of(item.version) for item in batch.items} <= {era}
        if self.revision is not None:
            assert batch.revision >= self.revision
            if era > revisions.era_of(self.revision):
                assert complete
                assert after_outage
        self.revision = batch.revision
        if complete:
            self.items.clear()
        for item in batch.items:
            if item.value is None:
                self.items.pop(item.name, None)
            else:
                assert item in self.written
                self.items[item.name] = (item.version, item.value)

    def on_outage(self):
        """Keep what was delivered."""


names = strategies.sampled_from(NAMES)
change_counts = strategies.integers(0, 6)


class RestoreMachine(stateful.RuleBasedStateMachine):
    """Restores a store at any moment of the calls of a follower.

    The store has the attribute era and the methods put, remove, restore and
    forget_history; content() returns versions and values by name, and
    history() all (name, version, value) in the current era.

    Attributes:
        intended: Values that the writers have written, and write again after a
            restore.
    """

    def __init__(self):
        super().__init__()
        self.transport = Transport()
        self.era = store_era.create_store_era()
        self.store = self.create_store()
        self.intended = {}
        self.values_written = 0
        self.delivered = Delivered()
        self.follower = follower_lib.create_follower(
            "x", self.create_collection(), self.delivered, datetime.timedelta()
        )
        self.generation = 0
        self.waiting_generation = 0
        self.is_noticing = False
        self.era.listeners.append(self.on_restored)

    def create_store(self):
        raise NotImplementedError

    def create_collection(self):
        raise NotImplementedError

    def on_restored(self, _era):
        """Take over as the follower does when another call shows a restore."""
        if self.is_noticing:
            self.generation = self.follower.take_over()

    def notice(self):
        """Let another call of the process show the store's era."""
        self.is_noticing = True
        self.era.observe(self.store.era)
        self.is_noticing = False

    def notice_late(self):
        """Show the store's era before the follower takes over."""
        self.era.observe(self.store.era)

    def run_new_thread(self):
        """Make a call on a new thread while one of the old thread waits."""
        if self.generation != self.waiting_generation:
            self.follower.run_once(self.generation)

    def write(self, name):
        self.values_written += 1
        self.intended[name] = f"value {self.values_written}"
        self.store.put(name, self.intended[name])

    def remove(self, name):
        self.intended.pop(name, None)
        if name in self.store.content():
            self.store.remove(name)

    def write_again(self, name):
        """Bring an entry of the store to what its writer intends."""
        stored = self.store.content().get(name)
        value = self.intended.get(name)
        if value is None and stored is not None:
            self.store.remove(name)
        elif value is not None and (stored is None or stored[1] != value):
            self.store.put(name, value)

    def run_action(self, action):
        operation, *arguments = action
        getattr(self, operation)(*arguments)
        self.delivered.written |= self.store.history()

    def restore(self, changes):
        self.store.restore(changes)

    actions = strategies.one_of(
        strategies.tuples(strategies.just("write"), names),
        strategies.tuples(strategies.just("remove"), names),
        strategies.tuples(strategies.just("write_again"), names),
        strategies.tuples(strategies.just("restore"), change_counts),
        strategies.sampled_from(
            [("notice",), ("notice_late",), ("run_new_thread",)]
        ),
    )

    @stateful.rule(action=actions)
    def act(self, action):
        self.run_action(action)

    @stateful.rule(
        before=strategies.lists(actions, max_size=3),
        after=strategies.lists(actions, max_size=3),
        repeated=strategies.integers(0, 3),
        failing=strategies.booleans(),
    )
    def call(self, before, after, repeated, failing):
        """Make one call of the follower, with actions while it is made."""
        self.transport.before = self.bind(before)
        self.transport.after = self.bind(after)
        self.transport.repeated = repeated
        self.transport.failing = failing
        self.call_once()

    @stateful.rule(
        changes=change_counts, name=names, before_response=strategies.booleans()
    )
    def overtake(self, changes, name, before_response):
        """Replace a thread, and let the new one finish its call first."""
        restore = self.bind([("restore", changes), ("notice",)])
        later = self.bind([("write", name), ("run_new_thread",)])
        if before_response:
            self.transport.before, self.transport.after = restore, later
        else:
            self.transport.after = restore + later
        self.call_once()

    @stateful.rule(changes=change_counts, name=names)
    def restore_between_pages(self, changes, name):
        """Restore the store in the middle of a read of all entries."""
        for each in NAMES:
            self.run_action(("write", each))
        self.follower.schedule_read()
        self.transport.after = self.bind(
            [("restore", changes), ("write", name)]
        )
        self.call_once()

    def bind(self, actions):
        """Return functions that run the given actions."""
        return [functools.partial(self.run_action, item) for item in actions]

    def call_once(self):
        self.waiting_generation = self.generation
        self.follower.run_once(self.generation)
        self.waiting_generation = self.generation
        self.transport.clear()

    @stateful.rule()
    def forget_history(self):
        self.store.forget_history()

    @stateful.rule()
    def catch_up(self):
        for _ in range(MAX_CALLS):
            self.follower.run_once(self.generation)
        assert self.delivered.items == self.store.content()

    @stateful.rule(order=strategies.permutations(NAMES))
    def write_everything_again(self, order):
        for name in order:
            self.write_again(name)
            self.delivered.written |= self.store.history()
        self.catch_up()
        values = {name: item[1] for name, item in self.delivered.items.items()}
        assert values == self.intended
