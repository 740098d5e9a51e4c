"""Starts a program that begins its work when a file appears.

Python's own start is spread over seconds when there are more processes than
cores; without it they make their first calls at the same moment. The file is
named by VERBENAFALL_BEGIN; the first argument names the program's module.
"""

import importlib
import os
import pathlib
import runpy
import sys
import time
from typing import Final

POLL_SECONDS: Final = 0.02

if __name__ == "__main__":
    begin = pathlib.Path(os.environ["VERBENAFALL_BEGIN"])
    del sys.argv[0]
    importlib.import_module(f"{sys.argv[0]}.main")
    begin.with_name(f"{begin.name}-{os.getpid()}").touch()
    while not begin.exists():
        time.sleep(POLL_SECONDS)
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
