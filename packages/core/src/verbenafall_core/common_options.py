"""Settings shared by several programs."""

import pathlib
from typing import Final

import returns.result

from verbenafall_core import settings

LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
NAME_FORMAT: Final = "lower-case letters, digits and hyphens"
ADDRESS_FORMAT: Final = "IP:port"
URL_FORMAT: Final = "http://IP:port"
COUNT_FORMAT: Final = "a whole number above 0"
DURATION_FORMAT: Final = 'a duration such as "120 s"'


def parse_file(text: str) -> returns.result.Result[pathlib.Path, str]:
    """Parse the path of an existing file."""
    path = pathlib.Path(text)
    if not path.is_file():
        return returns.result.Failure(f"there is no file at {text!r}")
    return returns.result.Success(path)


def parse_files(
    text: str,
) -> returns.result.Result[tuple[pathlib.Path, ...], str]:
    """Parse a list of one or more paths of existing files."""
    if not text.strip():
        return returns.result.Failure("no file is given")
    return settings.parse_list(parse_file)(text)


INSTANCE_NAME: Final = settings.Option(
    "instance",
    "name",
    settings.parse_name,
    NAME_FORMAT,
    None,
    "Name of this instance in the instance list.",
)
DATA_CENTRE: Final = settings.Option(
    "instance",
    "data_centre",
    settings.parse_name,
    NAME_FORMAT,
    None,
    "Data centre of this instance.",
)
OBJECT_STORE: Final = settings.Option(
    "platform",
    "object_store",
    settings.parse_url,
    URL_FORMAT,
    None,
    "URL of the object store.",
)
INSTANCE_LIST: Final = settings.Option(
    "platform",
    "instance_list",
    settings.parse_url,
    URL_FORMAT,
    None,
    "URL of the instance list.",
)
PUBLIC_KEYS: Final = settings.Option(
    "bundles",
    "public_keys",
    parse_files,
    "paths of readable PEM files",
    None,
    "Files with public keys; a bundle must be signed with one of them.",
)
STATSD: Final = settings.Option(
    "metrics",
    "statsd",
    settings.parse_optional_address,
    f"{ADDRESS_FORMAT} or empty",
    "",
    "Address of a statsd server; if empty, no metrics are sent.",
)
LOG_LEVEL: Final = settings.Option(
    "log",
    "level",
    settings.parse_choice(*LOG_LEVELS),
    f"one of {', '.join(LOG_LEVELS)}",
    "INFO",
    "Minimum level of the events that are logged.",
)
STOP_LIMIT: Final = settings.Option(
    "limits",
    "stop_limit",
    settings.parse_duration,
    DURATION_FORMAT,
    "120 s",
    "Time limit for finishing open requests during a planned stop.",
)
