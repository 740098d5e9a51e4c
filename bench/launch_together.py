"""Imports a module, then waits for a start file before it runs the module.

With more processes than cores, the imports are spread over seconds. Waiting
for the file makes all processes send their first calls at the same time. The
first argument names the module; VERBENAFALL_BEGIN is the path of the start
file. The file "$VERBENAFALL_BEGIN-<process id>" shows that a process is ready.
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
    start_file = pathlib.Path(os.environ["VERBENAFALL_BEGIN"])
    del sys.argv[0]
    importlib.import_module(f"{sys.argv[0]}.main")
    start_file.with_name(f"{start_file.name}-{os.getpid()}").touch()
    while not start_file.exists():
        time.sleep(POLL_SECONDS)
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=False)
