"""Runs a module whose links write each message separately.

A baseline for the coalescing of messages into one write. The first argument
names the module.
"""

import runpy
import sys

from verbenafall_core import link


def take_one_message(self: link.Link) -> bytes:
    """Remove and return the bytes of one queued message."""
    with self.lock:
        data = self.pending.popleft() if self.pending else b""
        self.pending_bytes -= len(data)
    return data


if __name__ == "__main__":
    link.Link.pop_pending = take_one_message  # type: ignore[method-assign]
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
