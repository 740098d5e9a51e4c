"""Bundle validation: all faults are reported, each with its location."""

import json

import pytest

import bundle_helpers
from verbenafall_core.bundles import check
from verbenafall_core.bundles import parse


def changed(path, value):
    document = bundle_helpers.document()
    target = document
    for step in path[:-1]:
        target = target[step]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return document


TEAM = bundle_helpers.DOCUMENT["teams"][0]
MAP = bundle_helpers.DOCUMENT["groups"][0]["maps"][0]
RULE = bundle_helpers.DOCUMENT["services"][1]["rules"][0]
SERVICE = bundle_helpers.DOCUMENT["services"][0]

# (path of the change, new value or None to delete, location of the fault,
# part of its text)
FAULTS = [
    (("region",), None, "document", "lacks region"),
    (("extra",), 1, "document", "unknown keys extra"),
    (("version",), 0, "version", "expected at least 1"),
    (("version",), "1", "version", "expected a value of type integer"),
    (("version",), True, "version", "expected a value of type integer"),
    (("version",), 1.0, "document", "`$.version`"),
    (("data_centres",), [], "data_centres", "expected at least 1"),
    (("data_centres",), ["a", "a"], "data_centres", "'a' appears more"),
    (("services", 0, "kind"), "x", "services[0].kind", "model, records"),
    (("services", 0, "model"), "", "services[0].model", "is empty"),
    (("services", 1, "model"), "m", "services[1].model", "is 'm'"),
    (("services", 0, "rules"), [RULE], "services[0].rules", "records"),
    (
        ("services", 1, "rules"),
        [{**RULE, "method": "*", "path_prefix": "/"}, RULE],
        "services[1].rules[1]",
        "never reached",
    ),
    (
        ("services", 1),
        {**SERVICE, "name": "chat-2"},
        "services",
        "model 'chat-1' appears more than once",
    ),
    (("teams",), [TEAM, TEAM], "teams", "'quotes' appears more"),
    (
        ("teams",),
        [TEAM, {**TEAM, "name": "t2"}],
        "teams[1].credential_digests[0]",
        "of team 'quotes'",
    ),
    (
        ("teams", 0, "credential_digests"),
        ["secret"],
        "teams[0].credential_digests[0]",
        "expected text that matches",
    ),
    (
        ("teams", 0, "services"),
        ["chat", "x"],
        "teams[0].services[1]",
        "expected one of chat, desk",
    ),
    (("groups", 0, "service"), "desk", "groups[0].service", "one of chat"),
    (("groups", 0, "maps"), [MAP, MAP], "groups[0].maps", "version 1"),
    (
        ("groups", 0, "maps", 0, "placement"),
        [0, 1],
        "groups[0].maps[0].placement",
        "places 2 experts; expected 4",
    ),
    (
        ("groups", 0, "maps", 0, "placement"),
        [0, 0, 1, 2],
        "groups[0].maps[0].placement[3]",
        "rank 2 is out of range; expected 0 to 1",
    ),
]

UNREADABLE = [
    b"",
    b"\xff",
    b"{",
    b'{"version": 1, "version": 2}',
    b'{"version": NaN}',
    b"[" * 100_000,
    b" " * (check.MAX_TEXT_BYTES + 1),
]


class TestCheck:
    @pytest.mark.parametrize(("path", "value", "location", "part"), FAULTS)
    def test_reports_location_and_expectation(
        self, path, value, location, part
    ):
        faults = check.check_document(changed(path, value)).failure()
        lines = [str(f) for f in faults if f.location == location]
        assert any(part in line for line in lines), faults

    def test_reports_schema_and_semantic_faults_together(self):
        document = changed(("services", 0, "slots"), -1)
        document["teams"][0]["services"] = ["none"]
        faults = check.check_document(document).failure()
        locations = [fault.location for fault in faults]
        assert locations == ["services[0].slots", "teams[0].services[0]"]

    @pytest.mark.parametrize("text", UNREADABLE)
    def test_unreadable_text_is_a_single_fault(self, text):
        faults = check.check_text(text).failure()
        assert [fault.location for fault in faults] == ["document"]

    @pytest.mark.parametrize("document", [None, [], 1, {}, {"teams": 3}])
    def test_unexpected_json_types_are_faults(self, document):
        assert check.check_document(document).failure()


class TestParse:
    def test_returns_typed_bundle(self):
        text = json.dumps(bundle_helpers.DOCUMENT).encode()
        bundle = parse.parse_text(text).unwrap()
        assert bundle.version == 1
        assert bundle.services[0].deadline.total_seconds() == 30
        assert bundle.services[1].rules[0].idempotent
        assert bundle.groups[0].maps[0].placement == (0, 0, 1, 1)
