"""Settings of the sidecar."""

import datetime
import pathlib
import re
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import common_options
from verbenafall_core import settings

ENGINE: Final = "engine"
RECORDS: Final = "records"

_RANGE: Final = re.compile(r"(\d{1,6})(?:-(\d{1,6}))?")


def parse_ranks(text: str) -> returns.result.Result[tuple[int, ...], str]:
    """Parse ranks such as "0-7, 16"; an empty text gives no ranks."""
    ranks: list[int] = []
    for item in filter(None, map(str.strip, text.split(","))):
        match = _RANGE.fullmatch(item)
        if match is None or int(match[2] or match[1]) < int(match[1]):
            return returns.result.Failure(f"{item!r} is not a rank or a range")
        ranks.extend(range(int(match[1]), int(match[2] or match[1]) + 1))
    if len(set(ranks)) < len(ranks):
        return returns.result.Failure("a rank is listed twice")
    return returns.result.Success(tuple(ranks))


def parse_optional_name(text: str) -> returns.result.Result[str, str]:
    """Parse a name; an empty text is valid."""
    return settings.parse_name(text) if text else returns.result.Success("")


def _option(
    section: str,
    key: str,
    parse: settings.Parser,
    expected: str,
    meaning: str,
    default: str | None = None,
) -> settings.Option:
    return settings.Option(section, key, parse, expected, default, meaning)


OPTIONS: Final = (
    common_options.INSTANCE_NAME,
    common_options.DATA_CENTRE,
    _option(
        "listen",
        "links",
        addresses.parse_address,
        common_options.ADDRESS_FORMAT,
        "Address for links from gateways and other sidecars.",
    ),
    _option(
        "endpoint",
        "service",
        settings.parse_name,
        common_options.NAME_FORMAT,
        "Service of the endpoint.",
    ),
    _option(
        "endpoint",
        "kind",
        settings.parse_choice(ENGINE, RECORDS),
        f"{ENGINE} or {RECORDS}",
        "Kind of the endpoint.",
    ),
    _option(
        "endpoint",
        "url",
        settings.parse_url,
        common_options.URL_FORMAT,
        "URL of the endpoint.",
    ),
    common_options.OBJECT_STORE,
    common_options.INSTANCE_LIST,
    common_options.PUBLIC_KEYS,
    common_options.STATSD,
    common_options.LOG_LEVEL,
    _option(
        "group",
        "name",
        parse_optional_name,
        common_options.NAME_FORMAT,
        "Rank group of the endpoint, empty for none.",
        "",
    ),
    _option(
        "group",
        "ranks",
        parse_ranks,
        'like "0-7, 16"',
        "Ranks behind the endpoint.",
        "",
    ),
    _option(
        "limits",
        "slots",
        settings.parse_positive_int,
        common_options.COUNT_FORMAT,
        "Attempts that may run at once until a bundle sets the number.",
        "8",
    ),
    _option(
        "limits",
        "max_queue",
        settings.parse_positive_int,
        common_options.COUNT_FORMAT,
        "Maximum number of queued attempts.",
        "1000",
    ),
    common_options.STOP_LIMIT,
)


class SidecarSettings(NamedTuple):
    """Valid settings of the command serve."""

    instance: str
    data_centre: str
    listen: addresses.Address
    service: str
    kind: str
    endpoint_url: str
    object_store_url: str
    instance_list_url: str
    public_keys: tuple[pathlib.Path, ...]
    statsd: addresses.Address | None
    log_level: str
    group: str
    ranks: tuple[int, ...]
    slots: int
    max_queue: int
    stop_limit: datetime.timedelta


SidecarSettingsResult = returns.result.Result[
    SidecarSettings, tuple[settings.SettingFault, ...]
]


def read(path: pathlib.Path) -> SidecarSettingsResult:
    """Read and check a settings file."""
    return settings.read_settings(path, OPTIONS).bind(
        lambda values: check(path, values)
    )


def check(path: pathlib.Path, values: settings.Values) -> SidecarSettingsResult:
    """Check the settings that depend on each other."""
    faults: list[settings.SettingFault] = []

    def fault(section: str, key: str, problem: str, expected: str) -> None:
        faults.append(
            settings.SettingFault(str(path), section, key, problem, expected)
        )

    group: Any = values["group", "name"]
    ranks: Any = values["group", "ranks"]
    if bool(group) != bool(ranks):
        fault(
            "group",
            "ranks",
            "ranks and name must be set together",
            "both or neither",
        )
    if group and values["endpoint", "kind"] != ENGINE:
        fault("group", "name", "only engines have ranks", "no group")
    if faults:
        return returns.result.Failure(tuple(faults))
    return returns.result.Success(build(values))


def build(values: settings.Values) -> SidecarSettings:
    """Convert valid values to SidecarSettings."""
    return SidecarSettings(
        values["instance", "name"],
        values["instance", "data_centre"],
        values["listen", "links"],
        values["endpoint", "service"],
        values["endpoint", "kind"],
        values["endpoint", "url"],
        values["platform", "object_store"],
        values["platform", "instance_list"],
        values["bundles", "public_keys"],
        values["metrics", "statsd"],
        values["log", "level"],
        values["group", "name"],
        values["group", "ranks"],
        values["limits", "slots"],
        values["limits", "max_queue"],
        values["limits", "stop_limit"],
    )
