"""Operations that pause before each store call until the test steps them."""

import threading

import returns.result

from verbenafall_core.object_store import port

WAIT_SECONDS = 30


class Killed(BaseException):
    """Ends an operation midway, as a crash of its process would."""


class Operation:
    """Runs a function on its own thread, one step at a time."""

    def __init__(self, function):
        self.function = function
        self.resume_allowed = threading.Semaphore(0)
        self.paused_or_ended = threading.Semaphore(0)
        self.fault = None
        self.killed = False
        self.done = False
        self.error = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        self.wait_until_paused()

    def run(self):
        try:
            self.function(self)
        except Killed:
            pass
        except BaseException as error:
            self.error = error
        self.done = True
        self.paused_or_ended.release()

    def wait_until_paused(self):
        assert self.paused_or_ended.acquire(timeout=WAIT_SECONDS)
        if self.error is not None:
            raise self.error

    def pause(self):
        """Wait for the next step; called on the operation's own thread."""
        self.paused_or_ended.release()
        assert self.resume_allowed.acquire(timeout=WAIT_SECONDS)
        if self.killed:
            raise Killed
        return self.fault

    def step(self, fault):
        """Run to the next pause, with a fault for the store call in between."""
        self.fault = fault
        self.resume_allowed.release()
        self.wait_until_paused()

    def kill(self):
        if not self.done:
            self.killed = True
            self.step(None)
            self.thread.join(WAIT_SECONDS)


class SteppingStore:
    """Forwards the calls of one operation to a shared store.

    The fault "late" fails a call as uncertain and appends it to delayed_calls,
    from which the test may apply it at any later time.
    """

    def __init__(self, store, delayed_calls):
        self.store = store
        self.delayed_calls = delayed_calls
        self.operation = None

    def call(self, function, *arguments):
        fault = self.operation.pause()
        if fault == "late":
            self.delayed_calls.append(lambda: function(*arguments))
            failure = port.StoreFailure(port.FailureKind.UNCERTAIN, "late")
            return returns.result.Failure(failure)
        self.store.plan = lambda _call: fault
        try:
            return function(*arguments)
        finally:
            self.store.plan = lambda _call: None

    def read(self, name):
        return self.call(self.store.read, name)

    def create(self, name, value):
        return self.call(self.store.create, name, value)

    def update(self, name, value, version):
        return self.call(self.store.update, name, value, version)
