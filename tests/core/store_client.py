"""Access of one process to a store that is restored, with faults.

A process that has not learned of a restore sends the store's own number of a
revision, which the store may have given out again.
"""

import returns.result

from verbenafall_core.object_store import port
from verbenafall_core.object_store import revisions
from verbenafall_core.object_store import store_era


class FaultyClient:
    """Implements port.RecordStore for one process.

    Attributes:
        era: The newest era that the process has seen.
        late: Writes that reach the store when the test applies them.
        before: Called before each call.
        after: Called between the store's execution of a call and its answer.
        fault: What happens to the next call: "answered", "not_taken",
            "lost_answer", "delayed" or "repeated".
    """

    def __init__(self, store):
        self.store = store
        self.era = store_era.create_store_era()
        self.late = []
        self.before = self.after = lambda: None
        self.fault = "answered"

    def read(self, name):
        return self.call(lambda: self.store.read(name), is_write=False)

    def create(self, name, value):
        return self.call(lambda: self.store.create(name, value))

    def update(self, name, value, version):
        if revisions.era_of(version) < self.era.current:
            return failure(port.FailureKind.CONFLICT)
        number = revisions.number_of(version)
        return self.call(
            lambda: self.store.update(
                name,
                value,
                revisions.create_revision(self.store.era, number),
            )
        )

    def call(self, send, is_write=True):
        """Make a call; an answer of an era that has passed is discarded."""
        self.before()
        fault, self.fault = self.fault, "answered"
        if fault == "not_taken":
            return failure(port.FailureKind.UNAVAILABLE)
        if fault in ("delayed", "repeated") and is_write:
            self.late.append(send)
        if fault == "delayed":
            return failure(port.FailureKind.UNCERTAIN)
        result, era = send(), self.store.era
        self.after()
        if fault == "lost_answer":
            return failure(port.FailureKind.UNCERTAIN)
        if not self.era.observe(era):
            return failure(port.FailureKind.UNCERTAIN)
        return result

    def learn_era(self):
        """Get an answer to some other call."""
        self.era.observe(self.store.era)

    def apply_late(self):
        """Let the delayed and repeated writes reach the store."""
        late, self.late = self.late, []
        for send in late:
            send()


def failure(kind):
    return returns.result.Failure(port.StoreFailure(kind, ""))


class FencingEngine:
    """Refuses tokens below the highest one that it has accepted.

    Attributes:
        owners: The process that used each accepted token.
        raised_at: When each token was accepted for the first time.
    """

    def __init__(self):
        self.owners = {}
        self.raised_at = {}
        self.highest = 0

    def accept(self, token, owner, now):
        """Accept an order unless a higher token was used; return whether."""
        assert self.owners.setdefault(token, owner) == owner, "token used twice"
        if token < self.highest:
            return False
        self.highest = token
        self.raised_at.setdefault(token, now)
        return True

    def undercut_since(self, token):
        """Return when a token above the given one was first accepted."""
        return min(at for used, at in self.raised_at.items() if used > token)
