"""Compares the tables of docs/OPERATIONS.md with the programs."""

import importlib
import importlib.util
import pathlib

import pytest

from verbenafall_core import event_log
from verbenafall_core.bundles import event_catalogue
from verbenafall_gateway.operator_commands import exit_codes

PAGE = (pathlib.Path(__file__).parents[2] / "docs/OPERATIONS.md").read_text()

SECTIONS = {
    "### Operator commands": (
        "verbenafall_gateway.operator_commands.operator_settings"
    ),
    "### verbenafall-gateway serve": "verbenafall_gateway.gateway_settings",
    "### verbenafall-sidecar serve": "verbenafall_sidecar.sidecar_settings",
    "### verbenafall-gateway forward": (
        "verbenafall_gateway.forwarding.forwarder_settings"
    ),
    "### verbenafall-sidecar steer": (
        "verbenafall_sidecar.steering.steering_settings"
    ),
}
# A program that is developed on another branch may be missing here.
PRESENT = [
    (heading, name)
    for heading, name in SECTIONS.items()
    if importlib.util.find_spec(name)
]


def rows_below(heading):
    section = PAGE.split(heading + "\n", 1)[1].split("\n#", 1)[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    return [
        tuple(cell.strip() for cell in line.strip("|").split("|"))
        for line in lines[2:]
    ]


def describe(option):
    default = f"`{option.default}`" if option.default else "empty"
    if option.default is None:
        default = "required"
    return (
        option.section,
        option.key,
        option.expected,
        default,
        option.meaning,
    )


class TestPage:
    @pytest.mark.parametrize(("heading", "name"), PRESENT)
    def test_settings_tables_match_the_options(self, heading, name):
        options = importlib.import_module(name).OPTIONS
        assert rows_below(heading) == [describe(o) for o in options]

    def test_every_exit_code_is_listed(self):
        codes = [v for v in vars(exit_codes).values() if isinstance(v, int)]
        listed = [row[0] for row in rows_below("### Rolling a bundle")]
        assert listed == [str(code) for code in sorted(codes)]

    def test_every_bundle_alarm_is_listed(self):
        rows = {row[0]: row[1:3] for row in rows_below("## Alarms")}
        assert event_catalogue.BUNDLE_REJECTED in event_log.catalogue()
        for event in event_log.catalogue():
            if event.level in ("WARNING", "ERROR") and (
                4000 <= event.number < 5000
            ):
                expected = (f"`{event.name}`", event.level)
                assert rows.get(str(event.number)) == expected
