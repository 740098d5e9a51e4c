"""Command "forward": runs a gateway that forwards requests unchanged."""

import argparse
import pathlib
import sys
from typing import Any
from typing import Final

import returns.pipeline

from verbenafall_core import event_log
from verbenafall_core import http_client
from verbenafall_core import prometheus_metrics
from verbenafall_core import settings as settings_lib
from verbenafall_core.object_store import era_metrics
from verbenafall_gateway.forwarding import forwarder
from verbenafall_gateway.forwarding import forwarder_settings
from verbenafall_gateway.forwarding import ports

EXIT_CANNOT_LISTEN: Final = 1

EXAMPLES: Final = """\
examples:
  verbenafall-gateway forward --settings gateway.ini --check
  verbenafall-gateway forward --settings gateway.ini

exit codes:
  0  stopped as planned, or the settings are valid (--check)
  1  cannot listen on an address
  2  the settings are invalid; all errors are printed
"""


def register(subparsers: Any) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "forward",
        help="run a gateway that forwards requests by routes",
        description="Forward requests to endpoints until SIGTERM.",
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
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Check the settings, run the gateway and return the exit code."""
    result = forwarder_settings.read_forwarder_settings(arguments.settings)
    if not returns.pipeline.is_successful(result):
        return report_faults([str(fault) for fault in result.failure()])
    settings = result.unwrap()
    try:
        adapter = ports.load_adapter(settings.adapter)
    except ImportError as error:
        return report_faults(
            [f"{arguments.settings}: [platform] adapter: {error}"]
        )
    if arguments.check:
        return 0
    event_log.configure_json(settings.log_level, settings.name)
    metrics = prometheus_metrics.create_prometheus_metrics()
    client = http_client.create_http_client()
    gateway_ports = adapter.create_gateway_ports(client, settings.object_store)
    era_metrics.export_era(gateway_ports.era, metrics)
    try:
        if settings.metrics_listen is not None:
            metrics.serve(settings.metrics_listen)
        forwarder.run_forwarder(
            settings,
            gateway_ports,
            metrics,
            lambda: forwarder_settings.read_forwarder_settings(
                arguments.settings
            ),
        )
    except OSError as error:
        sys.stderr.write(f"cannot listen: {error}\n")
        return EXIT_CANNOT_LISTEN
    return 0


def report_faults(faults: list[str]) -> int:
    """Print the faults of the settings; return the exit code for them."""
    sys.stderr.writelines(f"{fault}\n" for fault in faults)
    return settings_lib.EXIT_BAD_SETTINGS
