"""Command line of verbenafall-sidecar."""

import argparse
from collections.abc import Sequence
import pathlib

from verbenafall_sidecar import serve_command


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="verbenafall-sidecar",
        description="Sidecar process, run beside each endpoint.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run the sidecar")
    serve.add_argument(
        "--settings", required=True, type=pathlib.Path, metavar="FILE"
    )
    serve.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; return the exit code of the process."""
    parsed = create_parser().parse_args(arguments)
    return serve_command.serve(parsed.settings, parsed.check)
