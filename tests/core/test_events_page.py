"""docs/events.md and the metrics of docs/OPERATIONS.md match the code."""

import pathlib
import re

from tools import events_page

ROOT = pathlib.Path(__file__).parents[2]
METRIC_CALL = re.compile(
    r"metrics\.(?:count|gauge|timing)\(\s*f?\"([^\"]+)\"|"
    r"\bname = f\"(group\.[^\"]+)\""
)
PLACEHOLDER = re.compile(r"\{[^}]*\}")


def metrics_in_code():
    found = set()
    for path in (ROOT / "packages").rglob("*.py"):
        for match in METRIC_CALL.finditer(path.read_text()):
            found.add(PLACEHOLDER.sub("*", match[1] or match[2]))
    return found


def metrics_in_docs():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    section = page.split("## Metrics\n", 1)[1].split("\n## ", 1)[0]
    return set(re.findall(r"^\| `([^`]+)`", section, re.MULTILINE))


class TestEventsPage:
    def test_page_matches_the_catalogues(self):
        """Guards against events that operators cannot look up."""
        expected = events_page.format_page(events_page.load_catalogues())
        assert (ROOT / "docs" / "events.md").read_text() == expected

    def test_every_catalogue_is_loaded(self):
        """Guards against a catalogue module that is missing from the page."""
        defined = sum(
            path.read_text().count("event_log.define(")
            for path in (ROOT / "packages").rglob("event_catalogue.py")
        )
        assert len(events_page.load_catalogues()) == defined > 0


class TestMetricsTable:
    def test_table_lists_the_metrics_of_the_code(self):
        """Guards against dashboards built on names that do not exist."""
        assert metrics_in_code() == metrics_in_docs()
