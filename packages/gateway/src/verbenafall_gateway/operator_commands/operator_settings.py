"""Settings of the operator commands."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import settings


class OperatorSettings(NamedTuple):
    """Checked settings.

    Attributes:
        roll_limit: Time until a roll-out is given up.
    """

    object_store: str
    instance_list: str
    public_keys: tuple[pathlib.Path, ...]
    roll_limit: datetime.timedelta


OperatorSettingsResult = returns.result.Result[
    OperatorSettings, tuple[settings.SettingFault, ...]
]

OPTIONS: Final = (
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
        settings.parse_list(settings.parse_text),
        "paths of PEM files, relative to the working directory",
        None,
        "Files with the keys of which one must have signed a bundle.",
    ),
    settings.Option(
        "limits",
        "roll",
        settings.parse_duration,
        'a duration such as "120 s"',
        "120 s",
        "Time until `bundle roll` gives up waiting.",
    ),
)


def read_operator_settings(path: pathlib.Path) -> OperatorSettingsResult:
    """Read and check a settings file."""
    return settings.read_settings(path, OPTIONS).map(_build)


def _build(values: settings.Values) -> OperatorSettings:
    return OperatorSettings(
        object_store=values["platform", "object_store"],
        instance_list=values["platform", "instance_list"],
        public_keys=tuple(
            pathlib.Path(name) for name in values["bundles", "public_keys"]
        ),
        roll_limit=values["limits", "roll"],
    )
