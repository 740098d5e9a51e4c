"""The command "serve": runs a sidecar."""

import pathlib
import sys
from typing import Final

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import link_sockets
from verbenafall_core import settings as settings_lib
from verbenafall_core import stop_requests
from verbenafall_sidecar import platform_services
from verbenafall_sidecar import sidecar_settings
from verbenafall_sidecar import wiring

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


def serve(path: pathlib.Path, check_only: bool) -> int:
    """Run a sidecar until it is asked to stop.

    Args:
        path: Settings file.
        check_only: Return after the settings are checked.

    Returns:
        The exit code of the process.
    """
    result = sidecar_settings.read(path)
    if not returns.pipeline.is_successful(result):
        return print_faults([str(fault) for fault in result.failure()])
    if check_only:
        return EXIT_OK
    settings = result.unwrap()
    event_log.configure(settings.log_level, settings.instance)
    clock = clock_lib.system_clock()
    platform = platform_services.create_platform(settings, clock)
    if not returns.pipeline.is_successful(platform):
        return print_faults([platform.failure()])
    sidecar = wiring.create_sidecar(settings, platform.unwrap(), clock)
    return run(sidecar)


def run(sidecar: wiring.Sidecar) -> int:
    """Run until SIGTERM or SIGINT; later signals are ignored."""
    requests = stop_requests.create_stop_requests()
    requests.install()
    try:
        sidecar.start()
    except link_sockets.LinkError as error:
        print_line(str(error))
        return EXIT_FAILED
    requests.wait()
    sidecar.stop()
    return EXIT_OK


def print_faults(lines: list[str]) -> int:
    """Write all faults to standard error; return EXIT_BAD_SETTINGS."""
    for line in lines:
        print_line(line)
    return settings_lib.EXIT_BAD_SETTINGS


def print_line(line: str) -> None:
    """Write a line to standard error."""
    sys.stderr.write(line + "\n")
