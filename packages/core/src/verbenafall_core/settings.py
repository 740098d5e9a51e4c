"""Parses and validates INI settings; reports all faults of a file at once."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import configparser
import datetime
import pathlib
import re
import types
from typing import Any
from typing import Final
from typing import NamedTuple

import returns.pipeline
import returns.result

from verbenafall_core import addresses

EXIT_BAD_SETTINGS: Final = 2

_NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_DURATION_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?) ?(ms|s|min|h)")
_UNIT_SECONDS: Final = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}

_BIT_RATE_PATTERN: Final = re.compile(r"(\d+(?:\.\d+)?) ?(kbit|Mbit|Gbit)/s")
_UNIT_BITS: Final = {"kbit": 1e3, "Mbit": 1e6, "Gbit": 1e9}

Parser = Callable[[str], returns.result.Result[Any, str]]


class Option(NamedTuple):
    """A setting.

    Attributes:
        parse: Converts the text to a value, or describes the problem.
        expected: Description of valid values, for error messages.
        default: Text used if the key is missing; None if it is required.
        meaning: One-line description for the documentation.
    """

    section: str
    key: str
    parse: Parser
    expected: str
    default: str | None
    meaning: str


class SettingFault(NamedTuple):
    """A problem in a settings file."""

    file: str
    section: str
    key: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return a one-line error message for the operator."""
        place = f"{self.file}: [{self.section}] {self.key}".rstrip()
        line = f"{place}: {self.problem}"
        return f"{line}; expected {self.expected}" if self.expected else line


Values = dict[tuple[str, str], Any]
SettingsResult = returns.result.Result[Values, tuple[SettingFault, ...]]


NO_REPLACEMENTS: Final[Mapping[tuple[str, str], str]] = types.MappingProxyType(
    {}
)


def read_settings(
    path: pathlib.Path,
    options: Sequence[Option],
    replacements: Mapping[tuple[str, str], str] = NO_REPLACEMENTS,
) -> SettingsResult:
    """Read and validate a settings file.

    Args:
        path: The file.
        options: All settings that the file may contain.
        replacements: Section and key of settings of earlier releases, with
            the key in the same section that replaces each.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", strict=True
    )
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        fault = SettingFault(str(path), "", "", str(error), "an INI file")
        return returns.result.Failure((fault,))
    faults = find_unknown(str(path), parser, options, replacements)
    values: Values = {}
    for option in options:
        result = read_option(str(path), parser, option)
        if returns.pipeline.is_successful(result):
            values[option.section, option.key] = result.unwrap()
        else:
            faults.append(result.failure())
    if faults:
        return returns.result.Failure(tuple(faults))
    return returns.result.Success(values)


def find_unknown(
    file: str,
    parser: configparser.ConfigParser,
    options: Sequence[Option],
    replacements: Mapping[tuple[str, str], str],
) -> list[SettingFault]:
    """Return a fault for each unknown section and key."""
    known = {(option.section, option.key) for option in options}
    sections = sorted({option.section for option in options})
    faults = []
    for section in parser.sections():
        if section not in sections:
            expected = f"one of {', '.join(sections)}"
            faults.append(
                SettingFault(file, section, "", "unknown section", expected)
            )
            continue
        keys = sorted(key for name, key in known if name == section)
        for key in parser[section]:
            if (section, key) in known:
                continue
            new = replacements.get((section, key))
            problem = f"replaced by {new}" if new else "unknown key"
            expected = new or f"one of {', '.join(keys)}"
            faults.append(SettingFault(file, section, key, problem, expected))
    return faults


def read_option(
    file: str, parser: configparser.ConfigParser, option: Option
) -> returns.result.Result[Any, SettingFault]:
    """Parse one option, or its default if the key is missing."""
    text = parser.get(option.section, option.key, fallback=option.default)

    def fault(problem: str) -> SettingFault:
        return SettingFault(
            file, option.section, option.key, problem, option.expected
        )

    if text is None:
        return returns.result.Failure(fault("missing"))
    return option.parse(text.strip()).alt(fault)


def parse_name(text: str) -> returns.result.Result[str, str]:
    """Parse a name of lower-case letters, digits and hyphens."""
    if not _NAME_PATTERN.fullmatch(text):
        return returns.result.Failure(f"{text!r} is not a valid name")
    return returns.result.Success(text)


def parse_text(text: str) -> returns.result.Result[str, str]:
    """Accept any text, including an empty one."""
    return returns.result.Success(text)


def parse_duration(
    text: str,
) -> returns.result.Result[datetime.timedelta, str]:
    """Parse a duration with its unit, such as "250 ms" or "3 s"."""
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        return returns.result.Failure(f"{text!r} is not a duration with a unit")
    seconds = float(match[1]) * _UNIT_SECONDS[match[2]]
    return returns.result.Success(datetime.timedelta(seconds=seconds))


def parse_bit_rate(text: str) -> returns.result.Result[float, str]:
    """Parse a rate such as "4 Mbit/s"; return bits per second."""
    match = _BIT_RATE_PATTERN.fullmatch(text)
    if match is None or float(match[1]) == 0:
        return returns.result.Failure(f"{text!r} is not a rate with a unit")
    return returns.result.Success(float(match[1]) * _UNIT_BITS[match[2]])


def parse_positive_int(text: str) -> returns.result.Result[int, str]:
    """Parse a positive integer."""
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        return returns.result.Failure(f"{text!r} is not a whole number above 0")
    return returns.result.Success(int(text))


def parse_int_between(minimum: int, maximum: int) -> Parser:
    """Return a parser for an integer from minimum to maximum."""

    def parse(text: str) -> returns.result.Result[int, str]:
        if not text.isascii() or not text.isdigit():
            return returns.result.Failure(f"{text!r} is no whole number")
        if not minimum <= int(text) <= maximum:
            return returns.result.Failure(f"{text} is out of range")
        return returns.result.Success(int(text))

    return parse


def parse_url(text: str) -> returns.result.Result[str, str]:
    """Parse "http://IP:port" without a path."""
    scheme, separator, rest = text.partition("://")
    if not separator or scheme != "http":
        return returns.result.Failure(f"{text!r} does not start with http://")
    address = addresses.parse_address(rest)
    return address.map(lambda parsed: f"http://{parsed}")


def parse_optional_address(
    text: str,
) -> returns.result.Result[addresses.Address | None, str]:
    """Parse an address; return None for an empty text."""
    if not text:
        return returns.result.Success(None)
    return addresses.parse_address(text).map(lambda parsed: parsed)


def parse_choice(*choices: str) -> Parser:
    """Return a parser that accepts only the given choices."""

    def parse(text: str) -> returns.result.Result[str, str]:
        if text not in choices:
            return returns.result.Failure(f"{text!r} is not a valid choice")
        return returns.result.Success(text)

    return parse


def parse_list(parse: Parser) -> Parser:
    """Return a parser for values separated by commas or line breaks."""

    def parse_items(
        text: str,
    ) -> returns.result.Result[tuple[Any, ...], str]:
        items = [item.strip() for item in re.split(r"[,\n]", text)]
        results = [parse(item) for item in items if item]
        problems = [
            result.failure()
            for result in results
            if not returns.pipeline.is_successful(result)
        ]
        if problems:
            return returns.result.Failure("; ".join(problems))
        return returns.result.Success(
            tuple(result.unwrap() for result in results)
        )

    return parse_items
