"""Command line of verbenafall-sidecar."""

import argparse
from collections.abc import Sequence
import pathlib
from typing import Final

from verbenafall_sidecar import serve_command

EXAMPLES: Final = """\
examples:
  verbenafall-sidecar serve --settings sidecar.ini --check
  verbenafall-sidecar serve --settings sidecar.ini

exit codes:
  0  stopped as planned, or the settings are good (--check)
  1  the link address cannot be listened on
  2  the settings have faults; all of them are printed
"""


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="verbenafall-sidecar",
        description="Sidecar process, run beside each endpoint.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser(
        "serve",
        help="run the sidecar",
        description="Run a sidecar until SIGTERM.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    serve.add_argument(
        "--settings",
        required=True,
        type=pathlib.Path,
        metavar="FILE",
        help="settings file (INI)",
    )
    serve.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return the exit code of the process."""
    parsed = create_parser().parse_args(arguments)
    return serve_command.serve(parsed.settings, parsed.check)
