"""Deterministic simulation of processes, tasks and time.

Each task has a thread, but only one thread runs at a time, and it runs until
its task waits. The order of events therefore depends only on the inputs.
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
        """Drop all later events; Simulator.close ends the waiting threads."""
        self.alive = False


class Task:
    """A function on its own thread that runs only when resumed."""

    def __init__(self, simulator, process, function) -> None:
        self.simulator = simulator
        self.process = process
        self.function = function
        self.operation = None
        self.resume_count = 0
        process.tasks.append(self)

    def start(self) -> None:
        self.simulator.run_as(self, lambda: stepping.Operation(self.body))

    def body(self, operation) -> None:
        self.operation = operation
        self.function()

    def resume(self, resume_count: int) -> None:
        """Continue, unless another event has already resumed the task."""
        if resume_count == self.resume_count and not self.operation.done:
            self.resume_count += 1
            self.simulator.run_as(self, lambda: self.operation.step(None))

    def pause(self) -> None:
        """Block until resumed; call this on the task's own thread."""
        if not self.process.alive:
            raise stepping.Killed
        self.operation.pause()

    def terminate(self) -> None:
        if self.operation is not None:
            self.operation.kill()


class Simulator:
    """Runs the scheduled events of all processes in order of time."""

    def __init__(self) -> None:
        self.clock = manual_clock.create_manual_clock()
        self.events = []
        self.count = 0
        self.current = None
        self.tasks: list[Task] = []

    def now(self) -> datetime.timedelta:
        return self.clock.monotonic()

    def schedule(
        self,
        delay: datetime.timedelta,
        process: Process,
        action: Callable[[], object],
    ) -> None:
        """Schedule an action of a process after a delay."""
        self.count += 1
        entry = (self.now() + delay, self.count, process, action)
        heapq.heappush(self.events, entry)

    def schedule_first(
        self, process: Process, action: Callable[[], object]
    ) -> None:
        """Schedule an action as the first after a paused process resumes."""
        self.count += 1
        entry = (process.paused_until, -self.count, process, action)
        heapq.heappush(self.events, entry)

    def spawn(self, process: Process, function: Callable[[], object]) -> None:
        """Start a function as a task of a process."""
        task = Task(self, process, function)
        self.tasks.append(task)
        self.schedule(ZERO, process, task.start)

    def run_as(self, task: Task, action: Callable[[], object]) -> None:
        self.current = task
        try:
            action()
        finally:
            self.current = None

    def run(self, duration: datetime.timedelta) -> None:
        """Advance the clock by a duration and run the events that are due."""
        end = self.now() + duration
        while self.events and self.events[0][0] <= end:
            time, number, process, action = heapq.heappop(self.events)
            if not process.alive:
                continue
            if process.paused_until > time:
                # Keeping the number keeps the order of the delayed events.
                entry = (process.paused_until, number, process, action)
                heapq.heappush(self.events, entry)
                continue
            self.clock.elapsed = max(time, self.now())
            action()
        self.clock.elapsed = end

    def sleep(self, delay: datetime.timedelta) -> None:
        """Block the current task for the given time."""
        task = self.current
        number = task.resume_count
        self.schedule(delay, task.process, lambda: task.resume(number))
        task.pause()

    def close(self) -> None:
        """Kill all processes and end the threads of their tasks."""
        for task in self.tasks:
            task.process.alive = False
            task.terminate()


class SimulatedQueue:
    """Replaces queue.SimpleQueue for a single reader."""

    def __init__(self, simulator: Simulator) -> None:
        self.simulator = simulator
        self.items = collections.deque()
        self.waiter = None

    def put(self, item: object) -> None:
        self.items.append(item)
        if self.waiter is not None:
            task, number = self.waiter
            self.simulator.schedule(
                ZERO, task.process, lambda: task.resume(number)
            )

    def get_nowait(self) -> object:
        if not self.items:
            raise queue.Empty
        return self.items.popleft()

    def get(self, timeout: float) -> object:
        deadline = self.simulator.now() + seconds(timeout)
        task = self.simulator.current
        while not self.items and self.simulator.now() < deadline:
            self.waiter = task, task.resume_count
            self.simulator.sleep(deadline - self.simulator.now())
        self.waiter = None
        return self.get_nowait()


class SimulatedFuture:
    """Replaces a future for a single reader."""

    def __init__(self, simulator: Simulator) -> None:
        self.results = SimulatedQueue(simulator)

    def result(self, timeout: float) -> object:
        try:
            return self.results.get(timeout)
        except queue.Empty:
            raise concurrent.futures.TimeoutError from None


class SimulatedPool:
    """Replaces an executor; each submitted call runs as a task."""

    def __init__(self, simulator: Simulator, process: Process) -> None:
        self.simulator = simulator
        self.process = process

    def submit(self, function, *arguments) -> SimulatedFuture:
        future = SimulatedFuture(self.simulator)
        self.simulator.spawn(
            self.process, lambda: future.results.put(function(*arguments))
        )
        return future
