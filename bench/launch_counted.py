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

from verbenafall_core import codec
from verbenafall_core import messages

WRITE_SECONDS: Final = 0.25
ENCODE: Final = codec.encode


class Count:
    """Bytes and messages of all links."""

    sent = 0
    messages = 0


def encode(message: messages.Message) -> bytes:
    """Encode a message and count it."""
    data = ENCODE(message)
    Count.sent += len(data)
    Count.messages += 1
    return data


def write_count(path: pathlib.Path) -> None:
    """Write the count again and again."""
    pause = threading.Event()
    while not pause.wait(WRITE_SECONDS):
        new = path.with_suffix(".new")
        new.write_text(f"{Count.sent} {Count.messages}")
        new.replace(path)


if __name__ == "__main__":
    codec.encode = encode
    file = pathlib.Path(f"{os.environ['VERBENAFALL_COUNT']}-{os.getpid()}")
    threading.Thread(target=write_count, args=(file,), daemon=True).start()
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
