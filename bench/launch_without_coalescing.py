"""Starts a program whose links write each message by itself.

For comparison only: the first argument names the program's module.
"""

import runpy
import sys

from verbenafall_core import link


def take_one(self: link.Link) -> bytes:
    """Remove and return the bytes of one queued message."""
    with self.lock:
        data = self.pending.popleft() if self.pending else b""
        self.pending_bytes -= len(data)
    return data


if __name__ == "__main__":
    link.Link.pop_pending = take_one  # type: ignore[method-assign]
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
