"""Settings of a steering sidecar."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import common_options
from verbenafall_core import settings


class SteeringSettings(NamedTuple):
    """Validated settings of a steering sidecar.

    Attributes:
        service: Service that the sidecar's engine belongs to.
        link_listen: Address for links from other processes. All sidecars use
            the same port.
        adapter: Python module that connects to the platform.
        link_rate: Bits per second of this machine's network link.
    """

    name: str
    data_centre: str
    service: str
    engine: addresses.Address
    link_listen: addresses.Address
    metrics_listen: addresses.Address | None
    object_store: str
    adapter: str
    log_level: str
    stop_limit: datetime.timedelta
    link_rate: float


OPTIONS: Final = (
    common_options.INSTANCE_NAME,
    common_options.DATA_CENTRE,
    settings.Option(
        "engine",
        "service",
        settings.parse_text,
        "the name of a service",
        None,
        "Service of the engine beside this process.",
    ),
    settings.Option(
        "engine",
        "address",
        addresses.parse_address,
        common_options.ADDRESS_FORMAT,
        None,
        "Address of the engine beside this process.",
    ),
    settings.Option(
        "listen",
        "links",
        addresses.parse_address,
        common_options.ADDRESS_FORMAT,
        None,
        "Address for links from other processes.",
    ),
    settings.Option(
        "listen",
        "metrics",
        settings.parse_optional_address,
        common_options.ADDRESS_FORMAT,
        "",
        "Address for metrics; empty for none.",
    ),
    common_options.OBJECT_STORE,
    settings.Option(
        "platform",
        "adapter",
        settings.parse_text,
        "the name of a Python module",
        None,
        "Module that connects the sidecar to the platform.",
    ),
    common_options.LOG_LEVEL,
    common_options.STOP_LIMIT,
    settings.Option(
        "limits",
        "link_rate",
        settings.parse_bit_rate,
        'a rate such as "100 Mbit/s"',
        "100 Mbit/s",
        "Rate of this machine's network link; reports to the leader of a rank "
        "group use a quarter of it.",
    ),
)

SteeringSettingsResult = returns.result.Result[
    SteeringSettings, tuple[settings.SettingFault, ...]
]


def read_steering_settings(path: pathlib.Path) -> SteeringSettingsResult:
    """Read a settings file; return the settings or all faults in it."""
    return settings.read_settings(path, OPTIONS).map(_build)


def _build(values: settings.Values) -> SteeringSettings:
    return SteeringSettings(
        name=values["instance", "name"],
        data_centre=values["instance", "data_centre"],
        service=values["engine", "service"],
        engine=values["engine", "address"],
        link_listen=values["listen", "links"],
        metrics_listen=values["listen", "metrics"],
        object_store=values["platform", "object_store"],
        adapter=values["platform", "adapter"],
        log_level=values["log", "level"],
        stop_limit=values["limits", "stop_limit"],
        link_rate=values["limits", "link_rate"],
    )
