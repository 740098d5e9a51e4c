"""Runs of an engine: priority queue, batch, tokens and prefix cache."""

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
MAX_LISTED_RUNS: Final = 20_000
MAX_INDEXED_RUNS: Final = 512


class RunEvent(NamedTuple):
    """A token of a run, or its end if finish_reason or broken is set."""

    token_index: int
    text: str
    finish_reason: str
    broken: bool


class Run:
    """One request on an engine.

    Attributes:
        index: Index of the next token.
        last: Index after the last token.
        produced: Number of tokens produced here; a resumed run starts at a
            later index.
        prefill_steps: Steps left before the first token.
        finished: Whether the run ended with its answer complete.
        ended: Whether the run ended for any reason.
        events: Events that are not yet sent.
    """

    def __init__(
        self,
        request_id: str,
        priority: int,
        prompt: str,
        index: int,
        last: int,
    ) -> None:
        """Create a run that is not yet submitted."""
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
        self.events: queue.SimpleQueue[RunEvent] = queue.SimpleQueue()

    def end(self, finish_reason: str, broken: bool = False) -> None:
        """End the run unless it has ended; free its slot at the next step."""
        if self.ended:
            return
        self.ended = True
        self.finished = finish_reason in ("stop", "length")
        self.events.put(RunEvent(self.index, "", finish_reason, broken))

    def advance(self) -> bool:
        """Run one step; return whether it produced a token.

        The last token ends the run.
        """
        if self.prefill_steps > 0:
            self.prefill_steps -= 1
            return False
        text = tokens.token_text(self.digest, self.index)
        self.events.put(RunEvent(self.index, text, "", False))
        self.index += 1
        self.produced += 1
        if self.index >= self.last:
            self.end("length")
        return True


class CacheEvent(NamedTuple):
    """A block that was added to or evicted from the cache.

    Attributes:
        kind: "added" or "evicted".
        prefix: Name of the block; see PrefixCache.
    """

    sequence: int
    kind: str
    prefix: str
    at: datetime.timedelta


class PrefixCache:
    """LRU cache of blocks of prompt text.

    The name of a block is the digest of the prompt up to the block's end.
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

    def load_prompt(self, prompt: str, now: datetime.timedelta) -> int:
        """Add or refresh a prompt's blocks; return how many were missing."""
        missing = 0
        for name in block_names(prompt):
            if name in self.blocks:
                self.blocks.move_to_end(name)
                continue
            missing += 1
            self.blocks[name] = None
            self.record_event("added", name, now)
            if len(self.blocks) > self.capacity:
                evicted, _ = self.blocks.popitem(last=False)
                self.record_event("evicted", evicted, now)
        return missing

    def record_event(
        self, kind: str, prefix: str, now: datetime.timedelta
    ) -> None:
        """Record a cache event under the next sequence number."""
        self.sequence += 1
        self.events.append(CacheEvent(self.sequence, kind, prefix, now))


def block_names(prompt: str) -> list[str]:
    """Return the names of a prompt's blocks, first block first."""
    names = []
    hasher = hashlib.blake2b(digest_size=8)
    for start in range(0, len(prompt), BLOCK_CHARACTERS):
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        names.append(hasher.hexdigest())
    return names


class RunQueue:
    """The queue and the batch of one engine.

    Attributes:
        active: The batch, at most one run per slot.
        waiting: Heap of runs by priority, then arrival.
        runs_by_id: Latest run of each recent request id.
        history: Recent runs in order of arrival.
    """

    def __init__(self, slots: int, cache_blocks: int) -> None:
        """Create an empty queue, batch and cache."""
        self.slots = slots
        self.cache = PrefixCache(cache_blocks)
        self.waiting: list[tuple[int, int, Run]] = []
        self.arrivals = 0
        self.active: list[Run] = []
        self.runs_by_id: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.history: collections.deque[Run] = collections.deque(
            maxlen=MAX_LISTED_RUNS
        )

    def submit(self, run: Run) -> None:
        """Queue a run.

        Prompts are dropped from all but the MAX_INDEXED_RUNS latest runs.
        """
        self.arrivals += 1
        heapq.heappush(self.waiting, (run.priority, self.arrivals, run))
        self.runs_by_id[run.request_id] = run
        self.runs_by_id.move_to_end(run.request_id)
        if len(self.runs_by_id) > MAX_INDEXED_RUNS:
            _, oldest = self.runs_by_id.popitem(last=False)
            oldest.prompt = ""
        self.history.append(run)

    def fill_batch(self, now: datetime.timedelta) -> None:
        """Move waiting runs to free slots, lowest priority value first."""
        self.active = [run for run in self.active if not run.ended]
        while self.waiting and len(self.active) < self.slots:
            _, _, run = heapq.heappop(self.waiting)
            if run.ended:
                continue
            missing = self.cache.load_prompt(run.prompt, now)
            run.prefill_steps = missing // PREFILL_BLOCKS_PER_STEP
            self.active.append(run)

    def open_runs(self) -> list[Run]:
        """Return the runs in the batch and the queue that have not ended."""
        waiting = [run for _, _, run in self.waiting]
        return [run for run in [*self.active, *waiting] if not run.ended]
