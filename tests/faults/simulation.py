"""Processes, tasks and time in one thread of control.

Each task has a thread, but only one thread runs at a time and it runs until
the task waits, so a run is determined by its inputs.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import datetime
import heapq
import queue

from core import stepping
from verbenafall_standins.fakes import manual_clock

ZERO = datetime.timedelta()


def seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


class Process:
    """A process that can be killed and paused."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.paused_until = ZERO
        self.tasks: list[Task] = []

    def kill(self) -> None:
        """Stop all activity; threads that wait are ended with the cell."""
        self.alive = False


class Task:
    """A function on a thread of its own that runs only when resumed."""

    def __init__(self, simulator, process, function) -> None:
        self.simulator = simulator
        self.process = process
        self.function = function
        self.operation = None
        self.wake_number = 0
        process.tasks.append(self)

    def begin(self) -> None:
        self.simulator.run_as(self, lambda: stepping.Operation(self.body))

    def body(self, operation) -> None:
        self.operation = operation
        self.function()

    def resume(self, wake_number: int) -> None:
        """Go on, unless something else has resumed the task before."""
        if wake_number == self.wake_number and not self.operation.done:
            self.wake_number += 1
            self.simulator.run_as(self, lambda: self.operation.step(None))

    def pause(self) -> None:
        """Wait until resumed; called on the task's own thread."""
        if not self.process.alive:
            raise stepping.Killed
        self.operation.pause()

    def end(self) -> None:
        if self.operation is not None:
            self.operation.kill()


class Simulator:
    """Events in the order of time."""

    def __init__(self) -> None:
        self.clock = manual_clock.create_manual_clock()
        self.events = []
        self.count = 0
        self.current = None
        self.tasks: list[Task] = []

    def now(self) -> datetime.timedelta:
        return self.clock.monotonic()

    def at(
        self,
        delay: datetime.timedelta,
        process: Process,
        action: Callable[[], object],
    ) -> None:
        """Run an action of a process after a delay."""
        self.count += 1
        entry = (self.now() + delay, self.count, process, action)
        heapq.heappush(self.events, entry)

    def at_front(self, process: Process, action: Callable[[], object]) -> None:
        """Run an action of a paused process before its other events."""
        self.count += 1
        entry = (process.paused_until, -self.count, process, action)
        heapq.heappush(self.events, entry)

    def spawn(self, process: Process, function: Callable[[], object]) -> None:
        """Begin a task of a process."""
        task = Task(self, process, function)
        self.tasks.append(task)
        self.at(ZERO, process, task.begin)

    def run_as(self, task: Task, action: Callable[[], object]) -> None:
        self.current = task
        try:
            action()
        finally:
            self.current = None

    def run(self, duration: datetime.timedelta) -> None:
        """Run all events of a period."""
        end = self.now() + duration
        while self.events and self.events[0][0] <= end:
            time, number, process, action = heapq.heappop(self.events)
            if not process.alive:
                continue
            if process.paused_until > time:
                # The old number keeps the order among the delayed events.
                entry = (process.paused_until, number, process, action)
                heapq.heappush(self.events, entry)
                continue
            self.clock.elapsed = max(time, self.now())
            action()
        self.clock.elapsed = end

    def sleep(self, delay: datetime.timedelta) -> None:
        """Let a task wait."""
        task = self.current
        number = task.wake_number
        self.at(delay, task.process, lambda: task.resume(number))
        task.pause()

    def close(self) -> None:
        """End the threads of all tasks."""
        for task in self.tasks:
            task.process.alive = False
            task.end()


class SimulatedQueue:
    """Stands in for queue.SimpleQueue with one reader."""

    def __init__(self, simulator: Simulator) -> None:
        self.simulator = simulator
        self.items = collections.deque()
        self.waiter = None

    def put(self, item: object) -> None:
        self.items.append(item)
        if self.waiter is not None:
            task, number = self.waiter
            self.simulator.at(ZERO, task.process, lambda: task.resume(number))

    def get_nowait(self) -> object:
        if not self.items:
            raise queue.Empty
        return self.items.popleft()

    def get(self, timeout: float) -> object:
        deadline = self.simulator.now() + seconds(timeout)
        task = self.simulator.current
        while not self.items and self.simulator.now() < deadline:
            self.waiter = task, task.wake_number
            self.simulator.sleep(deadline - self.simulator.now())
        self.waiter = None
        return self.get_nowait()


class SimulatedFuture:
    """Stands in for a future with one reader."""

    def __init__(self, simulator: Simulator) -> None:
        self.results = SimulatedQueue(simulator)

    def result(self, timeout: float) -> object:
        try:
            return self.results.get(timeout)
        except queue.Empty:
            raise concurrent.futures.TimeoutError from None


class SimulatedPool:
    """Stands in for an executor; each call is a task."""

    def __init__(self, simulator: Simulator, process: Process) -> None:
        self.simulator = simulator
        self.process = process

    def submit(self, function, *arguments) -> SimulatedFuture:
        future = SimulatedFuture(self.simulator)
        self.simulator.spawn(
            self.process, lambda: future.results.put(function(*arguments))
        )
        return future
