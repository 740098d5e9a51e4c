"""Command line of the gateway binary."""

import argparse
from collections.abc import Sequence
import importlib
import sys
import types
from typing import Any
from typing import Final
from typing import Protocol
from typing import cast

EXAMPLES: Final = """\
examples:
  verbenafall-gateway serve --settings gateway.ini
  verbenafall-gateway forward --settings gateway.ini
  verbenafall-gateway bundle status --settings operator.ini
  verbenafall-gateway keys generate keys/
"""


class CommandModule(Protocol):
    """A module that implements one or more commands."""

    def register(self, subparsers: Any) -> None:
        """Add the parsers of the commands.

        Each parser sets the default "run" to a function that takes the parsed
        arguments and returns the exit code.
        """


# Only the module of the given command is imported, which reduces start-up time
# and memory.
COMMAND_MODULES: Final = types.MappingProxyType(
    {
        "serve": "verbenafall_gateway.serve_command",
        "forward": "verbenafall_gateway.forward_command",
        "bundle": "verbenafall_gateway.operator_commands",
        "keys": "verbenafall_gateway.operator_commands",
    }
)


def build_parser(command: str = "") -> argparse.ArgumentParser:
    """Create the command line parser.

    Args:
        command: First word of the command line. Only the commands of its module
            are added; for an unknown word, all commands are.
    """
    parser = argparse.ArgumentParser(
        prog="verbenafall-gateway",
        description="Gateway process and operator commands.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(required=True, metavar="command")
    modules = dict.fromkeys(COMMAND_MODULES.values())
    if command in COMMAND_MODULES:
        modules = {COMMAND_MODULES[command]: None}
    for name in modules:
        module = cast(CommandModule, importlib.import_module(name))
        module.register(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    parsed = build_parser(argv[0] if argv else "").parse_args(argv)
    code: int = parsed.run(parsed)
    return code
