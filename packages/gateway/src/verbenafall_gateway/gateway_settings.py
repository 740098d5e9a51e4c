"""Settings of the gateway."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import common_options
from verbenafall_core import settings
from verbenafall_gateway.links import subsetting

# Fewer would leave a service of 16 endpoints without its full mesh.
LEAST_LINKS: Final = 16
MOST_LINKS: Final = 4096
# A number for each service says nothing about the sum over all of them, so
# an old file cannot be read as a new one.
REPLACED: Final = {("limits", "links_per_service"): "links_per_gateway"}


class GatewaySettings(NamedTuple):
    """Checked settings.

    Attributes:
        client_threads: Client requests served at once.
        links_per_gateway: Endpoints linked with on average, of all services
            together; more when services or endpoints need it.
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
    links_per_gateway: int
    stop_limit: datetime.timedelta


GatewaySettingsResult = returns.result.Result[
    GatewaySettings, tuple[settings.SettingFault, ...]
]


OPTIONS: Final = (
    common_options.INSTANCE_NAME,
    common_options.DATA_CENTRE,
    settings.Option(
        "listen",
        "client",
        addresses.parse_address,
        common_options.ADDRESS_FORMAT,
        None,
        "Address for clients.",
    ),
    settings.Option(
        "listen",
        "admin",
        addresses.parse_address,
        common_options.ADDRESS_FORMAT,
        None,
        "Address for readiness, status and notices; as in the instance list.",
    ),
    common_options.OBJECT_STORE,
    common_options.INSTANCE_LIST,
    common_options.PUBLIC_KEYS,
    common_options.STATSD,
    common_options.LOG_LEVEL,
    settings.Option(
        "limits",
        "client_threads",
        settings.parse_positive_int,
        common_options.COUNT_FORMAT,
        "256",
        "Client requests served at once; more are refused.",
    ),
    settings.Option(
        "limits",
        "links_per_gateway",
        settings.parse_int_between(LEAST_LINKS, MOST_LINKS),
        f"a whole number from {LEAST_LINKS} to {MOST_LINKS}",
        str(subsetting.DEFAULT_LINKS_PER_GATEWAY),
        "Endpoints of all services together that a gateway has links with on "
        "average; more when a service or an endpoint would be left short.",
    ),
    common_options.STOP_LIMIT,
)


def read_gateway_settings(path: pathlib.Path) -> GatewaySettingsResult:
    """Read and check a settings file."""
    return settings.read_settings(path, OPTIONS, REPLACED).map(_build)


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
        links_per_gateway=values["limits", "links_per_gateway"],
        stop_limit=values["limits", "stop_limit"],
    )
