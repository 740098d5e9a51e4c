"""Runs a case's script; any error of the script itself exits with 2."""

import os
import runpy
import sys
import traceback

try:
    sys.argv = sys.argv[1:]
    runpy.run_path(sys.argv[0], run_name="__main__")
except BaseException:  # noqa: BLE001
    traceback.print_exc()
    sys.stderr.flush()
    os._exit(2)
