"""Starts a program and writes a CPU profile of all its threads at its end.

The profile goes to the file named by VERBENAFALL_PROFILE and the process id;
the first argument names the program's module.
"""

import cProfile
import os
import pstats
import runpy
import sys
import threading
import time
from typing import Final

# Classes of threads may replace run(), but not this.
BOOTSTRAP_NAME: Final = "_bootstrap_inner"
BOOTSTRAP: Final = getattr(threading.Thread, BOOTSTRAP_NAME)
PROFILES: list[cProfile.Profile] = []


def run_profiled(self: threading.Thread) -> None:
    """Run a thread under a profiler that counts the thread's CPU time."""
    profile = cProfile.Profile(time.thread_time)
    PROFILES.append(profile)
    profile.runcall(BOOTSTRAP, self)


def write_profiles(path: str) -> None:
    """Write the sum of all profiles."""
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
