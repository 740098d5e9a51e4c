"""Entries that are lost and come back: which endpoints a gateway uses.

One engine starts, starts to drain, removes its entry and starts again. Another
one stays. What the store has lost is written again by the engines that live.
"""

from typing import NamedTuple

from faults import matrix
from verbenafall_core import addresses
from verbenafall_core import endpoints
from verbenafall_core.object_store import collection
from verbenafall_core.object_store import revisions
from verbenafall_gateway.forwarding import endpoint_directory

Fault = matrix.Fault
STEPS = ("starts", "drains", "is_removed", "starts_again")
SERVICE = "s"
MOVING, STAYING = "moving", "staying"
# Times in seconds. An engine writes a lost entry again within two seconds.
OUTAGE, WRITTEN_AGAIN, STEP = 1.0, 1.0, 20.0
# Each cell is run with a restore of the store that undoes so many changes.
LOST_CHANGES = (0, 1, 2, 3)


class Entry(NamedTuple):
    """An entry with the store's own number of its revision."""

    number: int
    endpoint: endpoints.Endpoint


class Model:
    """The platform's store, two engines, and the directory of a gateway.

    Attributes:
        live: The entries that the engines maintain, by id.
        history: The entries and the number after each change of the store.
    """

    def __init__(self, injection, lost_changes):
        self.injection = injection
        self.lost_changes = lost_changes
        self.injected = False
        self.violations = []
        self.directory = endpoint_directory.create_endpoint_directory()
        self.now = 0.0
        self.era, self.number = 1, 0
        self.entries = {}
        self.live = {}
        self.history = [({}, 0)]
        self.write(self.create_endpoint(STAYING, 1))
        self.read_all(after_outage=False)
        self.now += STEP

    def create_endpoint(self, name, started_at, draining=False):
        host = "10.0.0.1" if name == MOVING else "10.0.0.2"
        return endpoints.Endpoint(
            name,
            SERVICE,
            addresses.Address(host, 80),
            "dc",
            4,
            draining,
            started_at,
        )

    def write(self, endpoint):
        self.live[endpoint.id] = endpoint
        self.change(endpoint.id, endpoint)

    def remove(self, name):
        del self.live[name]
        self.change(name, None)

    def change(self, name, endpoint):
        """Change an entry in the store."""
        self.number += 1
        if endpoint is None:
            self.entries.pop(name)
        else:
            self.entries[name] = Entry(self.number, endpoint)
        self.history.append((dict(self.entries), self.number))

    def watch(self, name):
        """Pass the latest change of an entry to the directory."""
        entry = self.entries.get(name)
        item = collection.Item(
            name, self.revision(self.number), entry and entry.endpoint
        )
        self.apply((item,), False, False)

    def read_all(self, after_outage):
        items = tuple(
            collection.Item(name, self.revision(entry.number), entry.endpoint)
            for name, entry in self.entries.items()
        )
        self.apply(items, True, after_outage)

    def apply(self, items, complete, after_outage):
        batch = collection.Batch(self.revision(self.number), items, ())
        self.directory.apply(batch, complete, after_outage, self.now)

    def revision(self, number):
        return revisions.create_revision(self.era, number)

    def restore(self):
        """Lose the latest changes; the engines write theirs again later."""
        self.injected = True
        self.directory.mark_store_lost()
        self.now += OUTAGE
        kept = max(len(self.history) - self.lost_changes, 1)
        self.history = self.history[:kept]
        entries, self.number = self.history[-1]
        self.entries = dict(entries)
        self.era += 1
        self.read_all(after_outage=True)
        self.check("after the restore")
        self.pass_time(WRITTEN_AGAIN)
        for name, endpoint in self.live.items():
            entry = self.entries.get(name)
            if entry is None or entry.endpoint != endpoint:
                self.change(name, endpoint)
                self.watch(name)
                self.check("while entries come back")

    def pass_time(self, duration):
        self.now += duration
        self.directory.expire(self.now)

    def run_step(self, step):
        if step == "starts":
            self.write(self.create_endpoint(MOVING, 2))
        elif step == "drains":
            self.write(self.create_endpoint(MOVING, 2, draining=True))
        elif step == "is_removed":
            self.remove(MOVING)
        else:
            self.write(self.create_endpoint(MOVING, 3))
        self.watch(MOVING)
        self.check(f"after {step}")
        if self.injection == (step, Fault.RESTORE):
            self.restore()
            self.pass_time(endpoint_directory.REGISTRATION_GRACE_SECONDS)
            self.check("after the grace period")

    def check(self, when):
        """Check that the endpoints that accept requests are used."""
        expected = {
            name
            for name, endpoint in self.live.items()
            if not endpoint.draining
        }
        used = {item.id for item in self.directory.usable(SERVICE)}
        if used - expected:
            self.violations.append(f"uses {sorted(used - expected)} {when}")
        if expected - used:
            self.violations.append(f"lacks {sorted(expected - used)} {when}")


def run(cell: matrix.Cell) -> matrix.Report:
    """Run all steps with a restore of the store after one of them."""
    injected = True
    violations = []
    for lost_changes in LOST_CHANGES:
        model = Model(cell.injections[0], lost_changes)
        for step in STEPS:
            model.run_step(step)
            model.pass_time(STEP)
        injected = injected and model.injected
        violations += [
            f"{violation}, {lost_changes} changes lost"
            for violation in model.violations
        ]
    return matrix.Report(
        frozenset(cell.injections if injected else ()), tuple(violations)
    )


def exclusion_reason(_step: str, fault: Fault) -> str | None:
    """Exclude all faults but a restore of the store."""
    if fault is Fault.RESTORE:
        return None
    return "covered by tests/forwarding"


FLOWS = (matrix.Flow("entries", STEPS, run, exclusion_reason),)
