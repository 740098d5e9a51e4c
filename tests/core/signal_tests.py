"""Sends signals to this process at chosen moments and restores its handlers."""

import contextlib
import signal
import sys
import threading

# Longer than any test, so that a thread keeps running until it blocks.
SWITCH_INTERVAL_SECONDS = 1000


@contextlib.contextmanager
def restored_handlers(*numbers):
    """Restore the handlers of signals, and use no wakeup descriptor, after."""
    before = {number: signal.getsignal(number) for number in numbers}
    try:
        yield
    finally:
        # Its socket may close, and the descriptor may be used again.
        signal.set_wakeup_fd(-1)
        for number, handler in before.items():
            signal.signal(number, handler)


@contextlib.contextmanager
def run_while_blocked(action):
    """Run an action on another thread during this thread's next blocking call.

    A signal that the action sends to its own thread does not interrupt that
    call. A signal that arrives just before the call has the same effect, but
    cannot be timed. Any call that releases the GIL counts as blocking, also
    one that opens a socket or a file.
    """
    may_run = threading.Lock()
    may_run.acquire()

    def run():
        with may_run:
            action()

    thread = threading.Thread(target=run, daemon=True)
    interval = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    try:
        thread.start()
        may_run.release()
        yield
    finally:
        sys.setswitchinterval(interval)
    thread.join()


def send_to_own_thread(number):
    """Send a signal to the calling thread."""
    signal.pthread_kill(threading.get_ident(), number)
