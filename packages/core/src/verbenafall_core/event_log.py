"""Numbered log events, each written as one line through loguru."""

from collections.abc import Hashable
import datetime
import sys
from typing import Any
from typing import Final
from typing import NamedTuple

import loguru

from verbenafall_core import json_lines

LINE_FORMAT: Final = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level.name} {extra[event]} {message}"
)


class Event(NamedTuple):
    """A type of log event.

    Attributes:
        number: Unique number, stable across releases.
        name: Name in lower case with underscores.
        level: Name of the loguru level.
        meaning: What happened, and what the operator should do, if anything.
    """

    number: int
    name: str
    level: str
    meaning: str


_registry: dict[int, Event] = {}


def define(number: int, name: str, level: str, meaning: str) -> Event:
    """Add an event to the catalogue.

    Raises:
        ValueError: The number or name is in use.
    """
    if number in _registry:
        raise ValueError(f"event number {number} is in use")
    if any(event.name == name for event in _registry.values()):
        raise ValueError(f"event name {name!r} is in use")
    event = Event(number, name, level, meaning)
    _registry[number] = event
    return event


def catalogue() -> list[Event]:
    """Return all defined events in order of their numbers."""
    return [_registry[number] for number in sorted(_registry)]


def emit(event: Event, **fields: Any) -> None:
    """Write one line for an event, with the fields as key=value."""
    text = " ".join(f"{key}={_format(value)}" for key, value in fields.items())
    line = f"{event.name} {text}" if text else event.name
    loguru.logger.bind(event=event.number, name=event.name, fields=fields).log(
        event.level, "{}", line
    )


class ConditionLog:
    """Logs an event when its condition changes, and not while it persists.

    Attributes:
        last: Condition that was last logged, by event number.
    """

    def __init__(self) -> None:
        """Create a log without conditions."""
        self.last: dict[int, Hashable] = {}

    def emit(self, event: Event, condition: Hashable, **fields: Any) -> None:
        """Write a line if the condition has changed; None clears it."""
        if condition is None:
            self.clear(event)
        elif self.last.get(event.number) != condition:
            self.last[event.number] = condition
            emit(event, **fields)

    def clear(self, event: Event) -> None:
        """Record that the condition has ended, so that it is logged again."""
        self.last.pop(event.number, None)


def create_condition_log() -> ConditionLog:
    """Create a log without conditions."""
    return ConditionLog()


def configure(level: str, instance: str) -> None:
    """Write log lines to standard error, each with the instance name."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"event": 0, "instance": instance})
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=LINE_FORMAT + " instance={extra[instance]}",
        enqueue=False,
        backtrace=False,
        diagnose=False,
    )


def configure_json(level: str, instance: str) -> None:
    """Write log lines to standard output as JSON, without blocking."""
    writer = json_lines.create_line_writer()
    writer.start()

    def write(message: Any) -> None:
        record = message.record
        extra = record["extra"]
        writer.put(
            {
                "time": record["time"]
                .astimezone(datetime.UTC)
                .isoformat(timespec="milliseconds"),
                "level": record["level"].name,
                "event": extra.get("event", 0),
                "name": extra.get("name", ""),
                "instance": instance,
                **{
                    key: to_json_value(value)
                    for key, value in extra.get("fields", {}).items()
                },
            }
        )

    loguru.logger.remove()
    loguru.logger.configure(extra={"event": 0, "instance": instance})
    loguru.logger.add(write, level=level, format="", catch=True)


def to_json_value(value: Any) -> Any:
    """Return a JSON value: floats are rounded, unknown types become text."""
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, bool | int | str) or value is None:
        return value
    return str(value)


def _format(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if not text or any(char.isspace() or char in '"=' for char in text):
        return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return text
