"""Commands for operators: bundles and keys."""

from typing import Any

from verbenafall_gateway.operator_commands import bundle_commands
from verbenafall_gateway.operator_commands import key_commands


def register(subparsers: Any) -> None:
    """Add the commands; each sets "run" to a function of the arguments."""
    bundle_commands.register(subparsers)
    key_commands.register(subparsers)
