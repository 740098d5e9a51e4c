"""Runs a module and writes a CPU profile of its threads when it ends.

The first argument names the module. The profile is written to the file
"$VERBENAFALL_PROFILE.<process id>".
"""

import cProfile
import os
import pstats
import runpy
import sys
import threading
import time
from typing import Final

# Subclasses of Thread may override run(), but not this method.
BOOTSTRAP_NAME: Final = "_bootstrap_inner"
ORIGINAL_BOOTSTRAP: Final = getattr(threading.Thread, BOOTSTRAP_NAME)
PROFILES: list[cProfile.Profile] = []


def run_profiled(self: threading.Thread) -> None:
    """Run a thread under a profiler that measures its CPU time."""
    profile = cProfile.Profile(time.thread_time)
    PROFILES.append(profile)
    profile.runcall(ORIGINAL_BOOTSTRAP, self)


def write_profiles(path: str) -> None:
    """Merge the profiles of all threads and write the result."""
    total: pstats.Stats | None = None
    for profile in PROFILES:
        profile.disable()
        if not profile.getstats():
            continue
        if total is None:
            total = pstats.Stats(profile)
        else:
            total.add(profile)
    if total is not None:
        total.dump_stats(f"{path}.{os.getpid()}")


if __name__ == "__main__":
    setattr(threading.Thread, BOOTSTRAP_NAME, run_profiled)
    del sys.argv[0]
    try:
        runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
    finally:
        write_profiles(os.environ["VERBENAFALL_PROFILE"])
