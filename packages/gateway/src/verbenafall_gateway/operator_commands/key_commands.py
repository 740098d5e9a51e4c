"""Command "keys generate"."""

import argparse
import pathlib
from typing import Any

import returns.result

from verbenafall_core.bundles import signing
from verbenafall_gateway.operator_commands import exit_codes
from verbenafall_gateway.operator_commands import output

_EXAMPLE = """\
example:
  verbenafall-gateway keys generate keys/

Only operators may have the private key. Copy the public key to every instance
and list it in the settings. To change keys, list both the old and the new
public key on every instance, sign with the new key, then remove the old one.

"""


def register(subparsers: Any) -> None:
    """Add the command "keys" and its subcommand."""
    keys = subparsers.add_parser(
        "keys",
        help="generate signing keys",
        epilog="example:\n  verbenafall-gateway keys generate keys/",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = keys.add_subparsers(required=True, metavar="command")
    generate = commands.add_parser(
        "generate",
        help="write a new key pair",
        description="Write a new Ed25519 key pair. Existing files are never"
        " replaced.",
        epilog=_EXAMPLE + exit_codes.EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    generate.add_argument("directory", type=pathlib.Path, metavar="DIR")
    generate.set_defaults(run=run_generate)


def run_generate(arguments: argparse.Namespace) -> int:
    """Run "keys generate"; return the exit code."""
    result = signing.generate_key_files(arguments.directory)
    if not isinstance(result, returns.result.Success):
        output.write_message(result.failure())
        return exit_codes.INVALID_INPUT
    for path in result.unwrap():
        output.write(str(path))
    return exit_codes.SUCCESS
