"""Runs a case's script; any error of the script itself exits with 2."""

import os
import pathlib
import runpy
import signal
import sys
import traceback


def end_processes():
    """End what the script had started."""
    deployment = sys.modules.get("deployment")
    for process in deployment.STARTED if deployment else ():
        if process.poll() is None:
            process.kill()
            process.wait()


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
    try:
        sys.argv = sys.argv[1:]
        runpy.run_path(sys.argv[0], run_name="__main__")
    except BaseException:
        traceback.print_exc()
    finally:
        end_processes()
        sys.stderr.flush()
        os._exit(2)


if __name__ == "__main__":
    main()
