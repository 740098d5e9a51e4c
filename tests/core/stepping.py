"""Operations that stop before each store call until the test goes on."""

import threading

import returns.result

from verbenafall_core.object_store import port

WAIT_SECONDS = 30


class Killed(BaseException):
    """Ends an operation in the middle, like the death of its process."""


class Operation:
    """A function on a thread of its own that runs only while stepped."""

    def __init__(self, function):
        self.function = function
        self.may_run = threading.Semaphore(0)
        self.has_stopped = threading.Semaphore(0)
        self.fault = None
        self.killed = False
        self.done = False
        self.error = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        self.wait_until_stopped()

    def run(self):
        try:
            self.function(self)
        except Killed:
            pass
        except BaseException as error:
            self.error = error
        self.done = True
        self.has_stopped.release()

    def wait_until_stopped(self):
        assert self.has_stopped.acquire(timeout=WAIT_SECONDS)
        if self.error is not None:
            raise self.error

    def pause(self):
        """Stop until stepped; called on the operation's own thread."""
        self.has_stopped.release()
        assert self.may_run.acquire(timeout=WAIT_SECONDS)
        if self.killed:
            raise Killed
        return self.fault

    def step(self, fault):
        """Go on to the next pause, with a fault for the call in between."""
        self.fault = fault
        self.may_run.release()
        self.wait_until_stopped()

    def kill(self):
        if not self.done:
            self.killed = True
            self.step(None)
            self.thread.join(WAIT_SECONDS)


class SteppingStore:
    """Passes the calls of one operation on to a shared store.

    The fault "late" loses the call now and applies it at any later time.
    """

    def __init__(self, store, late_calls):
        self.store = store
        self.late_calls = late_calls
        self.operation = None

    def call(self, function, *arguments):
        fault = self.operation.pause()
        if fault == "late":
            self.late_calls.append(lambda: function(*arguments))
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
