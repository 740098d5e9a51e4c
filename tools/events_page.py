"""Prints docs/events.md from the catalogues of log events."""

from collections.abc import Iterable
import importlib
import pkgutil
import sys
from typing import Final

from verbenafall_core import event_log

PACKAGES: Final = (
    "verbenafall_core",
    "verbenafall_gateway",
    "verbenafall_sidecar",
)
CATALOGUE_MODULE: Final = "event_catalogue"

INTRODUCTION: Final = """\
# Log events

Each log line has the time, the level, the number and name of its event, and
fields as key=value. Numbers are stable across releases. `make docs` writes
this page from the catalogues in the code, and a test compares the two.
"""


def load_catalogues() -> list[event_log.Event]:
    """Import all catalogue modules; return their events by number."""
    events: list[event_log.Event] = []
    for name in PACKAGES:
        package = importlib.import_module(name)
        for module in pkgutil.walk_packages(package.__path__, name + "."):
            if module.name.endswith("." + CATALOGUE_MODULE):
                members = vars(importlib.import_module(module.name)).values()
                events.extend(
                    member
                    for member in members
                    if isinstance(member, event_log.Event)
                )
    return sorted(events)


def format_page(events: Iterable[event_log.Event]) -> str:
    """Return the page as Markdown, one table row for each event."""
    rows = [
        f"| {event.number} | {event.name} | {event.level} | {event.meaning} |"
        for event in events
    ]
    table = ["| number | name | level | meaning |", "|---|---|---|---|", *rows]
    return INTRODUCTION + "\n" + "\n".join(table) + "\n"


def main() -> None:
    """Write the page to standard output."""
    sys.stdout.write(format_page(load_catalogues()))


if __name__ == "__main__":
    main()
