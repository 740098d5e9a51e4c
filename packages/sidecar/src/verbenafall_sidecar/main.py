"""Command line of verbenafall-sidecar."""

import argparse
from collections.abc import Sequence
import importlib
import pathlib
from typing import Final
from typing import NamedTuple
from typing import Protocol
from typing import cast

EXAMPLES: Final = """\
examples:
  verbenafall-sidecar serve --settings sidecar.ini --check
  verbenafall-sidecar serve --settings sidecar.ini
  verbenafall-sidecar steer --settings sidecar.ini

exit codes:
  0  stopped by SIGTERM or SIGINT, or the settings are valid (--check)
  1  cannot listen on an address in the settings
  2  the settings are invalid; all faults are printed
"""


class CommandModule(Protocol):
    """A module that implements a command."""

    def serve(self, path: pathlib.Path, check_only: bool) -> int:
        """Run until asked to stop, or only check; return the exit code."""


class Command(NamedTuple):
    """A command of the command line.

    Attributes:
        module: Module with serve(), imported only to run the command.
    """

    name: str
    module: str
    help: str
    description: str


COMMANDS: Final = (
    Command(
        "serve",
        "verbenafall_sidecar.serve_command",
        "run the sidecar",
        "Run a sidecar until SIGTERM.",
    ),
    Command(
        "steer",
        "verbenafall_sidecar.steer_command",
        "run a sidecar that balances experts over its rank group",
        "Run a steering sidecar until SIGTERM.",
    ),
)


def create_parser() -> argparse.ArgumentParser:
    """Create the parser with one subparser per command."""
    parser = argparse.ArgumentParser(
        prog="verbenafall-sidecar",
        description="Sidecar process, run beside each endpoint.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for item in COMMANDS:
        command = commands.add_parser(
            item.name,
            help=item.help,
            description=item.description,
            epilog=EXAMPLES,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_argument(
            "--settings",
            required=True,
            type=pathlib.Path,
            metavar="FILE",
            help="settings file (INI)",
        )
        command.add_argument(
            "--check", action="store_true", help="check the settings and exit"
        )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command in the arguments; return the exit code."""
    parsed = create_parser().parse_args(arguments)
    module = next(
        item.module for item in COMMANDS if item.name == parsed.command
    )
    command = cast(CommandModule, importlib.import_module(module))
    return command.serve(parsed.settings, parsed.check)
