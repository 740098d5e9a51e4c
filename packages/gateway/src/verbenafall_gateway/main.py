"""Command line of the gateway binary."""

import argparse
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import Protocol

from verbenafall_gateway import forward_command
from verbenafall_gateway import operator_commands
from verbenafall_gateway import serve_command

EXAMPLES: Final = """\
examples:
  verbenafall-gateway serve --settings gateway.ini
  verbenafall-gateway bundle status --settings operator.ini
  verbenafall-gateway keys generate keys/
"""


class CommandModule(Protocol):
    """A module that adds commands to the command line."""

    def register(self, subparsers: Any) -> None:
        """Add the commands; each sets "run" to a function of the arguments."""


COMMAND_MODULES: Final[tuple[CommandModule, ...]] = (
    serve_command,
    forward_command,
    operator_commands,
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="verbenafall-gateway",
        description="Gateway process and operator commands.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(required=True, metavar="command")
    for module in COMMAND_MODULES:
        module.register(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    parsed = build_parser().parse_args(arguments)
    code: int = parsed.run(parsed)
    return code
