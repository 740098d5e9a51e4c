"""Starts a program that writes how many bytes it has sent on its links.

The count goes to a file named by VERBENAFALL_COUNT and the process id; the
first argument names the program's module.
"""

import os
import pathlib
import runpy
import sys
import threading
from typing import Final

from verbenafall_core import link

WRITE_SECONDS: Final = 0.25
SEND: Final = link.Link.send_encoded


class Count:
    """Bytes and messages of all links."""

    sent = 0
    messages = 0


def send_encoded(self: link.Link, data: bytes) -> bool:
    """Queue a message and count it; hellos are not counted."""
    Count.sent += len(data)
    Count.messages += 1
    return SEND(self, data)


def write_count(path: pathlib.Path) -> None:
    """Write the count again and again."""
    pause = threading.Event()
    while not pause.wait(WRITE_SECONDS):
        new = path.with_suffix(".new")
        new.write_text(f"{Count.sent} {Count.messages}")
        new.replace(path)


if __name__ == "__main__":
    setattr(link.Link, SEND.__name__, send_encoded)
    file = pathlib.Path(f"{os.environ['VERBENAFALL_COUNT']}-{os.getpid()}")
    threading.Thread(target=write_count, args=(file,), daemon=True).start()
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
