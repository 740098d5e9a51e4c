"""Commands for operators: bundles and keys."""

from typing import Any

from verbenafall_gateway.operator_commands import bundle_commands
from verbenafall_gateway.operator_commands import key_commands


def register(subparsers: Any) -> None:
    """Add the parsers of the commands "bundle" and "keys"."""
    bundle_commands.register(subparsers)
    key_commands.register(subparsers)
