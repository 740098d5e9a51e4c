"""Command "serve": runs a gateway until a planned stop."""

import argparse
import datetime
import pathlib
import sys
from typing import Any
from typing import Final

import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_catalogue as core_events
from verbenafall_core import event_log
from verbenafall_core import settings as settings_lib
from verbenafall_core import stop_requests
from verbenafall_core.bundles import signing
from verbenafall_gateway import event_catalogue
from verbenafall_gateway import gateway as gateway_lib
from verbenafall_gateway import gateway_settings
from verbenafall_gateway.client_http import http_server

EXIT_CANNOT_LISTEN: Final = 1

EXAMPLES: Final = """\
examples:
  verbenafall-gateway serve --settings gateway.ini --check
  verbenafall-gateway serve --settings gateway.ini

exit codes:
  0  stopped as planned, or the settings are valid (--check)
  1  cannot listen on an address
  2  the settings are invalid; all errors are printed
"""


def register(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "serve",
        help="run the gateway",
        description="Run a gateway until SIGTERM.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="settings file (INI)",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and exit",
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Read the settings, then check or serve; return the exit code."""
    result = gateway_settings.read_gateway_settings(arguments.settings)
    if not returns.pipeline.is_successful(result):
        return report_faults([str(fault) for fault in result.failure()])
    settings = result.unwrap()
    keys = signing.read_public_keys(settings.public_keys)
    if not returns.pipeline.is_successful(keys):
        return report_faults(
            [
                f"{arguments.settings}: [bundles] public_keys: {problem}"
                for problem in keys.failure()
            ]
        )
    if arguments.check:
        return 0
    event_log.configure(settings.log_level, settings.name)
    gateway = gateway_lib.create_gateway(
        settings, keys.unwrap(), clock_lib.system_clock()
    )
    return serve(gateway, settings.stop_limit)


def report_faults(faults: list[str]) -> int:
    """Print the faults of the settings; return the exit code for them."""
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    return settings_lib.EXIT_BAD_SETTINGS


def serve(gateway: gateway_lib.Gateway, stop_limit: datetime.timedelta) -> int:
    """Serve until a stop signal arrives; return the exit code."""
    requests = stop_requests.create_stop_requests()
    requests.install()
    try:
        gateway.kernel.start()
    except http_server.HttpServerError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_CANNOT_LISTEN
    event_log.emit(
        event_catalogue.GATEWAY_STARTED,
        client=gateway.client_server.address(),
        admin=gateway.admin_server.address(),
    )
    requests.wait()
    stop(gateway, stop_limit)
    return 0


def stop(gateway: gateway_lib.Gateway, limit: datetime.timedelta) -> None:
    """Drain open requests, then stop all services, both within the limit."""
    clock = gateway.kernel.clock
    deadline = clock.monotonic() + limit
    still_open = gateway.drain.run(limit)
    remaining = max(deadline - clock.monotonic(), datetime.timedelta())
    for failure in gateway.kernel.stop(remaining):
        event_log.emit(
            core_events.SERVICE_STOP_FAILED,
            service=failure.service,
            error=repr(failure.error),
        )
    event_log.emit(event_catalogue.GATEWAY_STOPPED, open=still_open)
