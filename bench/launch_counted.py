"""Runs a module and counts the bytes and messages it sends on its links.

The first argument names the module. The totals are written to the file
"$VERBENAFALL_COUNT-<process id>".
"""

import os
import pathlib
import runpy
import sys
import threading
from typing import Final

from verbenafall_core import link

WRITE_INTERVAL_SECONDS: Final = 0.25
ORIGINAL_SEND_ENCODED: Final = link.Link.send_encoded


class Totals:
    """Bytes and messages sent on all links."""

    sent = 0
    messages = 0


def send_encoded(self: link.Link, data: bytes) -> bool:
    """Count a message and queue it; hello messages do not come here."""
    Totals.sent += len(data)
    Totals.messages += 1
    return ORIGINAL_SEND_ENCODED(self, data)


def write_totals(path: pathlib.Path) -> None:
    """Write the totals at a fixed interval, forever."""
    never_set = threading.Event()
    while not never_set.wait(WRITE_INTERVAL_SECONDS):
        temporary = path.with_suffix(".new")
        temporary.write_text(f"{Totals.sent} {Totals.messages}")
        temporary.replace(path)


if __name__ == "__main__":
    setattr(link.Link, ORIGINAL_SEND_ENCODED.__name__, send_encoded)
    file = pathlib.Path(f"{os.environ['VERBENAFALL_COUNT']}-{os.getpid()}")
    threading.Thread(target=write_totals, args=(file,), daemon=True).start()
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
