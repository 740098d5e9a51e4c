"""Settings of the sidecar."""

import datetime
import pathlib
import re
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import addresses
from verbenafall_core import settings

ENGINE: Final = "engine"
RECORDS: Final = "records"

_RANGE: Final = re.compile(r"(\d{1,6})(?:-(\d{1,6}))?")


def parse_ranks(text: str) -> returns.result.Result[tuple[int, ...], str]:
    """Read ranks such as "0-7, 16"; an empty text gives none."""
    ranks: list[int] = []
    for item in filter(None, map(str.strip, text.split(","))):
        match = _RANGE.fullmatch(item)
        if match is None or int(match[2] or match[1]) < int(match[1]):
            return returns.result.Failure(f"{item!r} is no range of ranks")
        ranks.extend(range(int(match[1]), int(match[2] or match[1]) + 1))
    if len(set(ranks)) < len(ranks):
        return returns.result.Failure("a rank is named twice")
    return returns.result.Success(tuple(ranks))


def parse_optional_name(text: str) -> returns.result.Result[str, str]:
    """Read a name; an empty text gives an empty name."""
    return settings.parse_name(text) if text else returns.result.Success("")


_ADDRESS: Final = "IP:port"
_URL: Final = "http://IP:port"
_NUMBER: Final = "a whole number above 0"
_NAME: Final = "lower-case letters, digits and hyphens"
_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")


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
    _option(
        "instance", "name", settings.parse_name, _NAME, "Name of the instance."
    ),
    _option(
        "instance",
        "data_centre",
        settings.parse_name,
        _NAME,
        "Data centre of the instance.",
    ),
    _option(
        "listen",
        "links",
        addresses.parse_address,
        _ADDRESS,
        "Address for links from gateways and other sidecars.",
    ),
    _option(
        "endpoint",
        "service",
        settings.parse_name,
        _NAME,
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
        "endpoint", "url", settings.parse_url, _URL, "Where the endpoint is."
    ),
    _option(
        "platform",
        "object_store",
        settings.parse_url,
        _URL,
        "Where the object store is.",
    ),
    _option(
        "platform",
        "instance_list",
        settings.parse_url,
        _URL,
        "Where the instance list is.",
    ),
    _option(
        "bundles",
        "public_keys",
        settings.parse_list(settings.parse_text),
        "paths of readable PEM files",
        "Files with the keys of which one must have signed a bundle.",
    ),
    _option(
        "metrics",
        "statsd",
        settings.parse_optional_address,
        _ADDRESS,
        "Address of the statsd server, empty for none.",
        "",
    ),
    _option(
        "log",
        "level",
        settings.parse_choice(*_LEVELS),
        f"one of {', '.join(_LEVELS)}",
        "Least severe level of log lines.",
        "INFO",
    ),
    _option(
        "group",
        "name",
        parse_optional_name,
        _NAME,
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
        _NUMBER,
        "Attempts that run at once while no bundle says how many.",
        "8",
    ),
    _option(
        "limits",
        "max_queue",
        settings.parse_positive_int,
        _NUMBER,
        "Attempts that wait at most.",
        "1000",
    ),
    _option(
        "limits",
        "stop_limit",
        settings.parse_duration,
        'like "120 s"',
        "Time for open attempts at a shutdown.",
        "120 s",
    ),
)


class SidecarSettings(NamedTuple):
    """Checked settings."""

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
    """Check what concerns several settings."""
    faults: list[settings.SettingFault] = []

    def fault(section: str, key: str, problem: str, expected: str) -> None:
        faults.append(
            settings.SettingFault(str(path), section, key, problem, expected)
        )

    group: Any = values["group", "name"]
    ranks: Any = values["group", "ranks"]
    if bool(group) != bool(ranks):
        fault("group", "ranks", "does not fit the name", "both or neither")
    if group and values["endpoint", "kind"] != ENGINE:
        fault("group", "name", "only engines have ranks", "no group")
    keys = tuple(map(pathlib.Path, values["bundles", "public_keys"]))
    missing = [str(key) for key in keys if not key.is_file()]
    if missing or not keys:
        problem = f"no file {', '.join(missing)}" if missing else "empty"
        fault("bundles", "public_keys", problem, "readable PEM files")
    if faults:
        return returns.result.Failure(tuple(faults))
    return returns.result.Success(build(values, keys))


def build(
    values: settings.Values, keys: tuple[pathlib.Path, ...]
) -> SidecarSettings:
    """Return checked values by name."""
    return SidecarSettings(
        values["instance", "name"],
        values["instance", "data_centre"],
        values["listen", "links"],
        values["endpoint", "service"],
        values["endpoint", "kind"],
        values["endpoint", "url"],
        values["platform", "object_store"],
        values["platform", "instance_list"],
        keys,
        values["metrics", "statsd"],
        values["log", "level"],
        values["group", "name"],
        values["group", "ranks"],
        values["limits", "slots"],
        values["limits", "max_queue"],
        values["limits", "stop_limit"],
    )
