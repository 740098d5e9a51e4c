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

# With fewer, a service with 16 endpoints would not get a full mesh.
MIN_LINKS: Final = 16
MAX_LINKS: Final = 4096
# The old key limited the links of each service, which gives no limit for their
# sum. So a file with the old key is rejected rather than converted.
REPLACED_KEYS: Final = {("limits", "links_per_service"): "links_per_gateway"}


class GatewaySettings(NamedTuple):
    """Validated settings.

    Attributes:
        client_threads: Maximum number of client requests served at the same
            time.
        links_per_gateway: Average number of endpoints, over all services, that
            a gateway has links to; more if a service or an endpoint would
            otherwise have too few.
        stop_limit: Maximum duration of a planned stop.
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
        "Address for readiness, status and bundle notices; must equal the "
        "address in the instance list.",
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
        "Maximum number of client requests served at the same time; further "
        "requests are refused.",
    ),
    settings.Option(
        "limits",
        "links_per_gateway",
        settings.parse_int_between(MIN_LINKS, MAX_LINKS),
        f"a whole number from {MIN_LINKS} to {MAX_LINKS}",
        str(subsetting.DEFAULT_LINKS_PER_GATEWAY),
        "Average number of endpoints, over all services, that a gateway has "
        "links to; more if a service or an endpoint would otherwise have too "
        "few.",
    ),
    common_options.STOP_LIMIT,
)


def read_gateway_settings(path: pathlib.Path) -> GatewaySettingsResult:
    """Read a settings file; a failure holds all errors found."""
    return settings.read_settings(path, OPTIONS, REPLACED_KEYS).map(_build)


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
