"""Settings of the forwarding gateway."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import common_options
from verbenafall_core import settings


class ForwarderSettings(NamedTuple):
    """Validated settings.

    Attributes:
        adapter: Python module that connects the gateway to the platform.
        repeat_ratio: Repeats that all gateways together may send per request.
        repeat_extra: Further repeats that they may send within the window.
        stop_limit: Time limit of a planned stop.
    """

    name: str
    data_centre: str
    client_listen: addresses.Address
    readiness_listen: addresses.Address
    link_listen: addresses.Address
    metrics_listen: addresses.Address | None
    object_store: str
    adapter: str
    log_level: str
    repeat_ratio: float
    repeat_extra: float
    repeat_window: datetime.timedelta
    stop_limit: datetime.timedelta


def parse_non_negative(text: str) -> returns.result.Result[float, str]:
    """Parse a finite number that is not negative."""
    try:
        value = float(text)
    except ValueError:
        return returns.result.Failure(f"{text!r} is not a number")
    if not 0 <= value < float("inf"):
        return returns.result.Failure(f"{text!r} is negative or not finite")
    return returns.result.Success(value)


def _address(key: str, default: str | None, meaning: str) -> settings.Option:
    parse = (
        addresses.parse_address
        if default is None
        else settings.parse_optional_address
    )
    return settings.Option(
        "listen", key, parse, common_options.ADDRESS_FORMAT, default, meaning
    )


ADAPTER: Final = settings.Option(
    "platform",
    "adapter",
    settings.parse_text,
    "the name of a Python module",
    None,
    "Module that connects the gateway to the platform.",
)

OPTIONS: Final = (
    common_options.INSTANCE_NAME,
    common_options.DATA_CENTRE,
    _address("client", None, "Address for clients."),
    _address(
        "readiness", None, "Address for the load balancer's readiness checks."
    ),
    _address("links", None, "Address for links from other gateways."),
    _address("metrics", "", "Address for metrics; empty for none."),
    common_options.OBJECT_STORE,
    ADAPTER,
    common_options.LOG_LEVEL,
    settings.Option(
        "repeats",
        "ratio",
        parse_non_negative,
        "a number such as 0.2",
        "0.1",
        "Repeats allowed per request to a service, over all gateways.",
    ),
    settings.Option(
        "repeats",
        "extra",
        parse_non_negative,
        "a number such as 20",
        "10",
        "Further repeats allowed within the window, over all gateways.",
    ),
    settings.Option(
        "repeats",
        "window",
        settings.parse_duration,
        common_options.DURATION_FORMAT,
        "10 s",
        "Window in which requests and repeats are counted.",
    ),
    common_options.STOP_LIMIT,
)

ForwarderSettingsResult = returns.result.Result[
    ForwarderSettings, tuple[settings.SettingFault, ...]
]


def read_forwarder_settings(path: pathlib.Path) -> ForwarderSettingsResult:
    """Read a settings file; a failure holds all errors found."""
    return settings.read_settings(path, OPTIONS).map(_build)


def _build(values: settings.Values) -> ForwarderSettings:
    return ForwarderSettings(
        name=values["instance", "name"],
        data_centre=values["instance", "data_centre"],
        client_listen=values["listen", "client"],
        readiness_listen=values["listen", "readiness"],
        link_listen=values["listen", "links"],
        metrics_listen=values["listen", "metrics"],
        object_store=values["platform", "object_store"],
        adapter=values["platform", "adapter"],
        log_level=values["log", "level"],
        repeat_ratio=values["repeats", "ratio"],
        repeat_extra=values["repeats", "extra"],
        repeat_window=values["repeats", "window"],
        stop_limit=values["limits", "stop_limit"],
    )
