"""Commands "bundle check", "sign", "roll", "status" and "propose-maps"."""

import argparse
from collections.abc import Callable
import datetime
import pathlib
import threading
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import clock as clock_lib
from verbenafall_core import http_client
from verbenafall_core.bundles import model
from verbenafall_core.bundles import parse
from verbenafall_core.bundles import records
from verbenafall_core.bundles import roll
from verbenafall_core.bundles import signing
from verbenafall_core.instance_list import http_adapter as instance_adapter
from verbenafall_core.object_store import http_adapter as store_adapter
from verbenafall_core.object_store import port
from verbenafall_gateway.operator_commands import exit_codes
from verbenafall_gateway.operator_commands import http_fleet
from verbenafall_gateway.operator_commands import map_proposals
from verbenafall_gateway.operator_commands import operator_settings
from verbenafall_gateway.operator_commands import output
from verbenafall_gateway.operator_commands import signature_file
from verbenafall_gateway.operator_commands import status_lines

_ROLL_EXIT_CODES: Final = {
    roll.RolloutStatus.ACCEPTED: exit_codes.SUCCESS,
    roll.RolloutStatus.LOST: exit_codes.CONFLICT,
    roll.RolloutStatus.TOO_LARGE: exit_codes.INVALID_INPUT,
    roll.RolloutStatus.REJECTED: exit_codes.INCOMPLETE,
    roll.RolloutStatus.NOT_PREPARED: exit_codes.INCOMPLETE,
    roll.RolloutStatus.STORE_FAILED: exit_codes.UNREACHABLE,
}

_Run = Callable[[argparse.Namespace], int]


class Connections(NamedTuple):
    """Object store and fleet that the settings name."""

    store: port.ObjectStore
    fleet: roll.Fleet


def register(subparsers: Any) -> None:
    """Add the command "bundle" and its subcommands."""
    bundle = subparsers.add_parser(
        "bundle",
        help="check, sign and roll out bundles, and show their status",
        epilog="example:\n  verbenafall-gateway bundle check bundle.json",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = bundle.add_subparsers(required=True, metavar="command")
    check_parser = _add(
        commands,
        "check",
        "report all errors of a bundle file",
        "verbenafall-gateway bundle check bundle.json",
        run_check,
    )
    check_parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    sign_parser = _add(
        commands,
        "sign",
        "check a bundle file and write FILE.sig beside it",
        "verbenafall-gateway bundle sign bundle.json --key keys/"
        + signing.PRIVATE_KEY_FILE,
        run_sign,
    )
    sign_parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    sign_parser.add_argument("--key", type=pathlib.Path, required=True)
    roll_parser = _add(
        commands,
        "roll",
        "roll out a signed bundle and wait until it is accepted",
        "verbenafall-gateway bundle roll bundle.json --settings operator.ini",
        run_roll,
    )
    roll_parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    roll_parser.add_argument("--settings", type=pathlib.Path, required=True)
    status_parser = _add(
        commands,
        "status",
        "show the bundle head and one line for each process",
        "verbenafall-gateway bundle status --settings operator.ini",
        run_status,
    )
    status_parser.add_argument("--settings", type=pathlib.Path, required=True)
    propose_parser = _add(
        commands,
        "propose-maps",
        "print candidate expert maps for the load observed now",
        "verbenafall-gateway bundle propose-maps bundle.json --settings"
        " operator.ini",
        run_propose,
    )
    propose_parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    propose_parser.add_argument("--settings", type=pathlib.Path, required=True)
    propose_parser.add_argument(
        "--swaps",
        type=int,
        default=map_proposals.DEFAULT_SWAPS,
        help="maximum number of expert swaps between the map in use and an"
        " adapted map (default 4)",
    )


def _add(
    commands: Any, name: str, summary: str, example: str, run: _Run
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        epilog=f"example:\n  {example}\n\n{exit_codes.EPILOG}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    return parser


def run_check(arguments: argparse.Namespace) -> int:
    """Run "bundle check"; return the exit code."""
    found = _read_bundle(arguments.file)
    if found is None:
        return exit_codes.INVALID_INPUT
    bundle = found[1]
    output.write(
        f"{arguments.file}: version {bundle.version} of {bundle.deployment},"
        f" {len(bundle.services)} services, {len(bundle.teams)} teams,"
        f" {len(bundle.groups)} groups"
    )
    return exit_codes.SUCCESS


def run_sign(arguments: argparse.Namespace) -> int:
    """Run "bundle sign"; return the exit code."""
    found = _read_bundle(arguments.file)
    if found is None:
        return exit_codes.INVALID_INPUT
    written = signing.read_private_key(arguments.key).bind(
        lambda key: signature_file.write_signature(
            arguments.file, signing.sign(found[0], key)
        )
    )
    if not isinstance(written, returns.result.Success):
        output.write_message(written.failure())
        return exit_codes.INVALID_INPUT
    output.write(str(written.unwrap()))
    return exit_codes.SUCCESS


def run_roll(arguments: argparse.Namespace) -> int:
    """Run "bundle roll"; return the exit code."""
    settings = _read_settings(arguments.settings)
    if settings is None:
        return exit_codes.BAD_USAGE
    keys = signing.read_public_keys(settings.public_keys)
    if not isinstance(keys, returns.result.Success):
        output.write_messages(keys.failure())
        return exit_codes.BAD_USAGE
    signed = _read_signed(arguments.file, keys.unwrap())
    if signed is None:
        return exit_codes.INVALID_INPUT
    connections = connect(settings)
    result = roll.create_rollout(
        connections.store,
        connections.fleet,
        clock_lib.system_clock(),
        _sleep,
        output.write_message,
        signed,
        settings.roll_limit,
    ).run()
    output.write(result.message)
    return _ROLL_EXIT_CODES[result.status]


def run_status(arguments: argparse.Namespace) -> int:
    """Run "bundle status"; return the exit code."""
    settings = _read_settings(arguments.settings)
    if settings is None:
        return exit_codes.BAD_USAGE
    connections = connect(settings)
    head = read_head(connections.store)
    view = connections.fleet.read()
    for line in status_lines.format_view(head, view):
        output.write(line)
    output.write_messages(view.problems)
    if head is None or view.instances is None:
        return exit_codes.UNREACHABLE
    if not status_lines.is_converged(head, view):
        return exit_codes.INCOMPLETE
    return exit_codes.SUCCESS


def run_propose(arguments: argparse.Namespace) -> int:
    """Run "bundle propose-maps"; return the exit code."""
    settings = _read_settings(arguments.settings)
    if settings is None:
        return exit_codes.BAD_USAGE
    found = _read_bundle(arguments.file)
    if found is None:
        return exit_codes.INVALID_INPUT
    view = connect(settings).fleet.read()
    output.write_messages(view.problems)
    if view.instances is None:
        return exit_codes.UNREACHABLE
    proposals = map_proposals.propose(
        found[1].groups, view.statuses, arguments.swaps
    )
    for proposal in proposals:
        output.write(map_proposals.format_proposal(proposal))
    unobserved = {g.name for g in found[1].groups} - {
        proposal.group for proposal in proposals
    }
    for group in sorted(unobserved):
        output.write_message(f"{group}: no load has been observed")
    return exit_codes.INCOMPLETE if unobserved else exit_codes.SUCCESS


def connect(settings: operator_settings.OperatorSettings) -> Connections:
    """Create the adapters for the addresses in the settings."""
    client = http_client.create_http_client()
    instances = instance_adapter.create_http_instance_list(
        client, settings.instance_list
    )
    return Connections(
        store_adapter.create_http_object_store(client, settings.object_store),
        http_fleet.create_http_fleet(client, instances),
    )


def read_head(store: port.ObjectStore) -> records.Head | None:
    """Read the bundle head; None if that fails, zeros if there is none."""
    read = store.read(records.HEAD_NAME)
    if isinstance(read, returns.result.Success):
        return records.decode_head(read.unwrap().value).value_or(None)
    if read.failure().kind is port.FailureKind.MISSING:
        return records.Head(0, 0)
    return None


def _read_bundle(path: pathlib.Path) -> tuple[bytes, model.Bundle] | None:
    try:
        text = path.read_bytes()
    except OSError as error:
        output.write_message(str(error))
        return None
    result = parse.parse_text(text)
    if not isinstance(result, returns.result.Success):
        output.write_messages(f"{path}: {fault}" for fault in result.failure())
        return None
    return text, result.unwrap()


def _read_signed(
    path: pathlib.Path, keys: signing.PublicKeys
) -> model.SignedBundle | None:
    found = _read_bundle(path)
    if found is None:
        return None
    text, bundle = found
    signature = signature_file.read_signature(path)
    if not isinstance(signature, returns.result.Success):
        output.write_message(signature.failure())
        return None
    if not signing.verify(text, signature.unwrap(), keys):
        output.write_message(
            f"{path}: the signature matches no public key in the settings;"
            " run bundle sign again after each change of the file"
        )
        return None
    return model.SignedBundle(bundle.version, text, signature.unwrap())


def _read_settings(
    path: pathlib.Path,
) -> operator_settings.OperatorSettings | None:
    result = operator_settings.read_operator_settings(path)
    if not isinstance(result, returns.result.Success):
        output.write_messages(result.failure())
        return None
    settings: operator_settings.OperatorSettings = result.unwrap()
    return settings


def _sleep(duration: datetime.timedelta) -> None:
    threading.Event().wait(duration.total_seconds())
