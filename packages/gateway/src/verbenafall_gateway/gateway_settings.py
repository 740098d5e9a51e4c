"""Settings of the gateway."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import settings

LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")


class GatewaySettings(NamedTuple):
    """Checked settings.

    Attributes:
        client_threads: Client requests served at once.
        links_per_service: Endpoints linked with on average, for each
            service; more when there are few gateways.
        stop_limit: Time in which a planned stop ends.
    """

    name: str
    data_centre: str
    client_listen: addresses.Address
    admin_listen: addresses.Address
    object_store: str
    instance_list: str
    public_keys: tuple[pathlib.Path, ...]
    statsd: addresses.Address | None
    log_level: str
    client_threads: int
    links_per_service: int
    stop_limit: datetime.timedelta


GatewaySettingsResult = returns.result.Result[
    GatewaySettings, tuple[settings.SettingFault, ...]
]


def _parse_file(text: str) -> returns.result.Result[pathlib.Path, str]:
    path = pathlib.Path(text)
    if not path.is_file():
        return returns.result.Failure(f"{text!r} is no file")
    return returns.result.Success(path)


def _parse_files(
    text: str,
) -> returns.result.Result[tuple[pathlib.Path, ...], str]:
    if not text.strip():
        return returns.result.Failure("no file is named")
    return settings.parse_list(_parse_file)(text)


OPTIONS: Final = (
    settings.Option(
        "instance",
        "name",
        settings.parse_name,
        "lower-case letters, digits and hyphens",
        None,
        "Name of this instance in the instance list.",
    ),
    settings.Option(
        "instance",
        "data_centre",
        settings.parse_name,
        "lower-case letters, digits and hyphens",
        None,
        "Data centre of this instance.",
    ),
    settings.Option(
        "listen",
        "client",
        addresses.parse_address,
        "IP:port",
        None,
        "Address for clients.",
    ),
    settings.Option(
        "listen",
        "admin",
        addresses.parse_address,
        "IP:port",
        None,
        "Address for readiness, status and notices; as in the instance list.",
    ),
    settings.Option(
        "platform",
        "object_store",
        settings.parse_url,
        "http://IP:port",
        None,
        "Object store.",
    ),
    settings.Option(
        "platform",
        "instance_list",
        settings.parse_url,
        "http://IP:port",
        None,
        "Instance list.",
    ),
    settings.Option(
        "bundles",
        "public_keys",
        _parse_files,
        "paths of readable PEM files",
        None,
        "Files with the keys of which one must have signed a bundle.",
    ),
    settings.Option(
        "metrics",
        "statsd",
        settings.parse_optional_address,
        "IP:port or nothing",
        "",
        "Address of a statsd server; without one nothing is sent.",
    ),
    settings.Option(
        "log",
        "level",
        settings.parse_choice(*LOG_LEVELS),
        f"one of {', '.join(LOG_LEVELS)}",
        "INFO",
        "Least level of the events that are written.",
    ),
    settings.Option(
        "limits",
        "client_threads",
        settings.parse_positive_int,
        "a whole number above 0",
        "256",
        "Client requests served at once; more are refused.",
    ),
    settings.Option(
        "limits",
        "links_per_service",
        settings.parse_positive_int,
        "a whole number above 0",
        "16",
        "Endpoints of each service that a gateway has links with on average; "
        "more when there are few gateways.",
    ),
    settings.Option(
        "limits",
        "stop_limit",
        settings.parse_duration,
        'a duration such as "120 s"',
        "120 s",
        "Time in which a planned stop finishes open requests.",
    ),
)


def read_gateway_settings(path: pathlib.Path) -> GatewaySettingsResult:
    """Read and check a settings file."""
    return settings.read_settings(path, OPTIONS).map(_build)


def _build(values: settings.Values) -> GatewaySettings:
    return GatewaySettings(
        name=values["instance", "name"],
        data_centre=values["instance", "data_centre"],
        client_listen=values["listen", "client"],
        admin_listen=values["listen", "admin"],
        object_store=values["platform", "object_store"],
        instance_list=values["platform", "instance_list"],
        public_keys=values["bundles", "public_keys"],
        statsd=values["metrics", "statsd"],
        log_level=values["log", "level"],
        client_threads=values["limits", "client_threads"],
        links_per_service=values["limits", "links_per_service"],
        stop_limit=values["limits", "stop_limit"],
    )
