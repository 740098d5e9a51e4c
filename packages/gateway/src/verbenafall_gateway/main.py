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
    """A module that adds commands to the command line."""

    def register(self, subparsers: Any) -> None:
        """Add the commands; each sets "run" to a function of the arguments."""


# Module of each command. A process imports only what its command needs,
# which saves time and memory at each start.
COMMAND_MODULES: Final = types.MappingProxyType(
    {
        "serve": "verbenafall_gateway.serve_command",
        "forward": "verbenafall_gateway.forward_command",
        "bundle": "verbenafall_gateway.operator_commands",
        "keys": "verbenafall_gateway.operator_commands",
    }
)


def build_parser(command: str = "") -> argparse.ArgumentParser:
    """Return the parser of one command, or of all when it is unknown."""
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
