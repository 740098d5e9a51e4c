"""Settings of the operator commands."""

import datetime
import pathlib
from typing import Final
from typing import NamedTuple

import returns.result

from verbenafall_core import common_options
from verbenafall_core import settings


class OperatorSettings(NamedTuple):
    """Validated settings.

    Attributes:
        roll_limit: Time after which a roll-out stops waiting.
    """

    object_store: str
    instance_list: str
    public_keys: tuple[pathlib.Path, ...]
    roll_limit: datetime.timedelta


OperatorSettingsResult = returns.result.Result[
    OperatorSettings, tuple[settings.SettingFault, ...]
]

OPTIONS: Final = (
    common_options.OBJECT_STORE,
    common_options.INSTANCE_LIST,
    common_options.PUBLIC_KEYS,
    settings.Option(
        "limits",
        "roll",
        settings.parse_duration,
        common_options.DURATION_FORMAT,
        "120 s",
        "Time until `bundle roll` gives up waiting.",
    ),
)


def read_operator_settings(path: pathlib.Path) -> OperatorSettingsResult:
    """Read a settings file; a failure holds all errors found."""
    return settings.read_settings(path, OPTIONS).map(_build)


def _build(values: settings.Values) -> OperatorSettings:
    return OperatorSettings(
        object_store=values["platform", "object_store"],
        instance_list=values["platform", "instance_list"],
        public_keys=values["bundles", "public_keys"],
        roll_limit=values["limits", "roll"],
    )
