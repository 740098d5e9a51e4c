"""Runs stand-ins for external systems until SIGTERM."""

import argparse
from collections.abc import Sequence
import datetime

from verbenafall_core import addresses
from verbenafall_standins import http_serving
from verbenafall_standins import instance_list
from verbenafall_standins import object_store
from verbenafall_standins import plain_service
from verbenafall_standins import weight_store
from verbenafall_standins.engines import group as group_lib
from verbenafall_standins.engines import http_app


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command line; exit with status 2 on an error."""
    parser = argparse.ArgumentParser(
        prog="verbenafall_standins", description=__doc__
    )
    parser.add_argument(
        "--version", action="version", version="verbenafall-standins 0.1.0"
    )
    commands = parser.add_subparsers(dest="command", required=True)
    add_platform(commands.add_parser("platform", help="platform services"))
    add_engines(commands.add_parser("engines", help="a rank group of engines"))
    add_records(commands.add_parser("records", help="plain services"))
    return parser.parse_args(arguments)


def address(text: str) -> addresses.Address:
    """Parse an IP:PORT argument, for argparse."""
    parsed = addresses.parse_address(text)
    failure = parsed.swap().value_or("")
    if failure:
        raise argparse.ArgumentTypeError(str(failure))
    return parsed.unwrap()


def add_platform(parser: argparse.ArgumentParser) -> None:
    """Add the options of the platform services.

    Services without an address are not started.
    """
    parser.add_argument("--object-store", type=address, metavar="IP:PORT")
    parser.add_argument("--instance-list", type=address, metavar="IP:PORT")
    parser.add_argument("--weight-store", type=address, metavar="IP:PORT")
    parser.add_argument(
        "--reads-per-second", type=float, default=object_store.READS_PER_SECOND
    )
    parser.add_argument(
        "--writes-per-second",
        type=float,
        default=object_store.WRITES_PER_SECOND,
    )
    parser.add_argument(
        "--instance-lag-ms",
        type=float,
        default=instance_list.LAG / datetime.timedelta(milliseconds=1),
    )
    parser.add_argument(
        "--experts-per-second",
        type=float,
        default=weight_store.EXPERTS_PER_SECOND,
    )
    parser.add_argument(
        "--threads",
        type=int,
        default=96,
        help="per service; a waiting watch occupies one",
    )
    parser.set_defaults(serve=serve_platform)


def add_engines(parser: argparse.ArgumentParser) -> None:
    """Add the options of a rank group, with an address for each engine."""
    defaults = group_lib.GroupOptions()
    parser.add_argument("addresses", type=address, nargs="+", metavar="IP:PORT")
    parser.add_argument("--group", default=defaults.group)
    parser.add_argument(
        "--ranks-per-engine", type=int, default=defaults.ranks_per_engine
    )
    parser.add_argument("--experts", type=int, default=defaults.experts)
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument("--step-ms", type=float, default=defaults.step_ms)
    parser.add_argument(
        "--token-us",
        type=float,
        default=defaults.token_us,
        help="time that one token takes on the rank of its expert",
    )
    parser.add_argument(
        "--load-lag-ms", type=float, default=defaults.load_lag_ms
    )
    parser.add_argument(
        "--event-lag-ms", type=float, default=defaults.event_lag_ms
    )
    parser.add_argument(
        "--event-gap",
        type=int,
        default=defaults.event_gap,
        help="every n-th cache event is lost, 0 for none",
    )
    parser.add_argument(
        "--cache-blocks", type=int, default=defaults.cache_blocks
    )
    parser.add_argument(
        "--fences", action="store_true", help="refuse orders of an old epoch"
    )
    parser.add_argument(
        "--weight-store", default="", metavar="URL", help="none if empty"
    )
    parser.set_defaults(serve=serve_engines)


def add_records(parser: argparse.ArgumentParser) -> None:
    """Add the addresses of plain services."""
    parser.add_argument("addresses", type=address, nargs="+", metavar="IP:PORT")
    parser.set_defaults(serve=serve_records)


def serve_platform(arguments: argparse.Namespace) -> None:
    """Serve the platform services that have an address."""
    store = object_store.create_object_store(
        arguments.reads_per_second, arguments.writes_per_second
    )
    handlers = {
        "object_store": store.handle,
        "instance_list": instance_list.create_instance_list(
            datetime.timedelta(milliseconds=arguments.instance_lag_ms)
        ).handle,
        "weight_store": weight_store.create_weight_store(
            arguments.experts_per_second
        ).handle,
    }
    http_serving.serve_until_terminated(
        {
            name: http_serving.create_standin(
                handler, getattr(arguments, name), arguments.threads
            )
            for name, handler in handlers.items()
            if getattr(arguments, name) is not None
        },
        store.close,
    )


def serve_engines(arguments: argparse.Namespace) -> None:
    """Serve the engines of one rank group, one at each address."""
    names = group_lib.GroupOptions._fields
    values = vars(arguments)
    options = group_lib.GroupOptions(
        **{name: values[name] for name in names if name in values}
    )
    group = group_lib.create_group(
        options._replace(engines=len(arguments.addresses))
    )
    servers = {
        f"engine-{number}": http_app.create_engine_server(
            group, number, arguments.addresses[number]
        )
        for number in range(len(arguments.addresses))
    }
    group.start()
    http_serving.serve_until_terminated(servers)
    group.stop()


def serve_records(arguments: argparse.Namespace) -> None:
    """Serve one plain service at each address."""
    http_serving.serve_until_terminated(
        {
            f"records-{number}": http_serving.create_standin(
                plain_service.create_plain_service().handle, bound
            )
            for number, bound in enumerate(arguments.addresses)
        }
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the stand-ins of one command until SIGTERM."""
    parsed = parse_arguments(arguments)
    parsed.serve(parsed)


if __name__ == "__main__":
    main()
