"""Runs of an engine: queue by priority, batch, tokens, prefix cache."""

import collections
import datetime
import hashlib
import heapq
import queue
from typing import Final
from typing import NamedTuple

from verbenafall_standins.engines import tokens

BLOCK_CHARACTERS: Final = 64
PREFILL_BLOCKS_PER_STEP: Final = 32
RUNS_LISTED: Final = 20_000
PROMPTS_KEPT: Final = 512


class Emitted(NamedTuple):
    """One event of a run; a finish reason or a break ends it."""

    token_index: int
    text: str
    finish_reason: str
    broken: bool


class Run:
    """One request on an engine.

    Attributes:
        index: Number of the next token.
        last: Number after the last token.
        prefill_steps: Steps left before the first token.
        events: What the stream has to send.
    """

    def __init__(
        self,
        request_id: str,
        priority: int,
        prompt: str,
        index: int,
        last: int,
    ) -> None:
        """Create a run that waits."""
        self.request_id = request_id
        self.priority = priority
        self.prompt = prompt
        self.digest = tokens.prompt_digest(prompt)
        self.index = index
        self.last = last
        self.produced = 0
        self.prefill_steps = 0
        self.finished = False
        self.ended = False
        self.events: queue.SimpleQueue[Emitted] = queue.SimpleQueue()

    def end(self, finish_reason: str, broken: bool = False) -> None:
        """End the run; its slot is free from the next step on."""
        if self.ended:
            return
        self.ended = True
        self.finished = finish_reason in ("stop", "length")
        self.events.put(Emitted(self.index, "", finish_reason, broken))

    def advance(self) -> bool:
        """Run one step; return whether it produced a token."""
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return False
        text = tokens.token_text(self.digest, self.index)
        self.events.put(Emitted(self.index, text, "", False))
        self.index += 1
        self.produced += 1
        if self.index >= self.last:
            self.end("length")
        return True


class CacheEvent(NamedTuple):
    """A prefix that was added to or evicted from the cache."""

    sequence: int
    kind: str
    prefix: str
    at: datetime.timedelta


class PrefixCache:
    """Blocks of prompt text, of which the least recently used is evicted.

    A block is named by the digest of the prompt up to its end.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty cache."""
        self.capacity = capacity
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=4 * capacity
        )
        self.sequence = 0

    def use(self, prompt: str, now: datetime.timedelta) -> int:
        """Load the blocks of a prompt; return how many were missing."""
        missing = 0
        for name in block_names(prompt):
            if name in self.blocks:
                self.blocks.move_to_end(name)
                continue
            missing += 1
            self.blocks[name] = None
            self.note("added", name, now)
            if len(self.blocks) > self.capacity:
                evicted, _ = self.blocks.popitem(last=False)
                self.note("evicted", evicted, now)
        return missing

    def note(self, kind: str, prefix: str, now: datetime.timedelta) -> None:
        """Record an event."""
        self.sequence += 1
        self.events.append(CacheEvent(self.sequence, kind, prefix, now))


def block_names(prompt: str) -> list[str]:
    """Return the names of a prompt's blocks."""
    names = []
    hasher = hashlib.blake2b(digest_size=8)
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        names.append(hasher.hexdigest())
    return names


class RunQueue:
    """The runs of one engine.

    Attributes:
        active: The batch, at most one run per slot.
        known: Latest run of each recent request id.
        history: Recent runs in the order of arrival.
    """

    def __init__(self, slots: int, cache_blocks: int) -> None:
        """Create an idle engine."""
        self.slots = slots
        self.cache = PrefixCache(cache_blocks)
        self.waiting: list[tuple[int, int, Run]] = []
        self.arrivals = 0
        self.active: list[Run] = []
        self.known: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.history: collections.deque[Run] = collections.deque(
            maxlen=RUNS_LISTED
        )

    def submit(self, run: Run) -> None:
        """Queue a run."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (run.priority, self.arrivals, run))
        self.known[run.request_id] = run
        self.known.move_to_end(run.request_id)
        if len(self.known) > PROMPTS_KEPT:
            _, forgotten = self.known.popitem(last=False)
            forgotten.prompt = ""
        self.history.append(run)

    def fill_batch(self, now: datetime.timedelta) -> None:
        """Move waiting runs to free slots, lowest priority number first."""
        self.active = [run for run in self.active if not run.ended]
        while self.waiting and len(self.active) < self.slots:
            _, _, run = heapq.heappop(self.waiting)
            if run.ended:
                continue
            missing = self.cache.use(run.prompt, now)
            run.prefill_steps = missing // PREFILL_BLOCKS_PER_STEP
            self.active.append(run)

    def open_runs(self) -> list[Run]:
        """Return the runs that have not ended."""
        waiting = [run for _, _, run in self.waiting]
        return [run for run in [*self.active, *waiting] if not run.ended]
