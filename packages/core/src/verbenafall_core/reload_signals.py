"""Defers SIGHUP until the process can handle it.

Its default action ends a process that is still starting.
"""

import signal
from typing import Final

RELOAD_SIGNALS: Final = (signal.SIGHUP,)


def defer_reloads() -> None:
    """Keep reload signals pending; call before any thread is started."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def accept_reloads() -> None:
    """Deliver reload signals, also a pending one; call on the main thread."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)
