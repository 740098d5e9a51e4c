"""Exactly the tests that KNOWN-RED.txt names are expected failures."""

import pytest

import known_red

TEXT = """
tests/core/test_a.py::TestA::test_b[1-x]
  seed 7; expected 1, got 0; issue 5
"""


class FakeItem:
    def __init__(self, nodeid):
        self.nodeid = nodeid
        self.markers = []

    def add_marker(self, marker):
        self.markers.append(marker)


class TestMarkListed:
    @pytest.mark.parametrize(
        ("nodeid", "text", "marked"),
        [
            ("tests/core/test_a.py::TestA::test_b[1-x]", TEXT, True),
            ("tests/core/test_a.py::TestA::test_b[1-y]", TEXT, False),
            ("tests/core/test_a.py::TestA::test_b", TEXT, False),
            ("tests/core/test_a.py::TestA", TEXT, False),
            ("tests/test_c.py::test[a b]", "tests/test_c.py::test[a b]", True),
            ("tests/core/test_a.py::TestA::test_b[1-x]", "", False),
        ],
    )
    def test_marks_only_the_complete_id(self, nodeid, text, marked):
        """Guards against an entry that hides the failure of another test."""
        item = FakeItem(nodeid)
        known_red.mark_listed([item], text)
        assert [marker.name for marker in item.markers] == ["xfail"] * marked

    def test_missing_file_marks_nothing(self, tmp_path):
        """Guards against a run that fails because there is no file."""
        assert known_red.read_text(tmp_path / "none") == ""
