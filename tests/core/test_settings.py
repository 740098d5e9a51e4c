"""Settings: all faults of a file are reported at once, with their location."""

import datetime

import pytest

from verbenafall_core import addresses
from verbenafall_core import settings

OPTIONS = [
    settings.Option("a", "name", settings.parse_name, "a name", None, ""),
    settings.Option(
        "a", "wait", settings.parse_duration, 'like "3 s"', "3 s", ""
    ),
    settings.Option(
        "b", "listen", addresses.parse_address, "IP:port", None, ""
    ),
]

PARSERS = [
    (settings.parse_duration, "250 ms", datetime.timedelta(milliseconds=250)),
    (settings.parse_duration, "1.5min", datetime.timedelta(seconds=90)),
    (settings.parse_url, "http://127.0.0.1:80", "http://127.0.0.1:80"),
    (settings.parse_positive_int, "12", 12),
    (
        settings.parse_list(settings.parse_name),
        "one, two\nthree",
        ("one", "two", "three"),
    ),
    (settings.parse_optional_address, "", None),
]

BAD = [
    (settings.parse_duration, "250"),
    (settings.parse_duration, "-1 s"),
    (settings.parse_url, "https://127.0.0.1:80"),
    (settings.parse_url, "http://host:80"),
    (settings.parse_positive_int, "0"),
    (settings.parse_positive_int, "1e3"),
    (settings.parse_name, "Has Space"),
    (settings.parse_list(settings.parse_name), "ok, NOT"),
    (addresses.parse_address, "127.0.0.1"),
    (addresses.parse_address, "127.0.0.1:99999"),
]


class TestReadSettings:
    def test_reports_all_faults_of_a_file(self, tmp_path):
        path = tmp_path / "bad.ini"
        path.write_text("[a]\nwait = 3\ntypo = 1\n[c]\n[b]\nlisten = here\n")
        faults = settings.read_settings(path, OPTIONS).failure()
        assert [(f.section, f.key, f.problem) for f in faults] == [
            ("a", "typo", "unknown key"),
            ("c", "", "unknown section"),
            ("a", "name", "missing"),
            ("a", "wait", "'3' is not a duration with a unit"),
            ("b", "listen", "'here' has no port, expected IP:port"),
        ]
        assert all(str(fault).startswith(str(path)) for fault in faults)

    def test_uses_defaults(self, tmp_path):
        path = tmp_path / "good.ini"
        path.write_text("[a]\nname = x\n[b]\nlisten = 127.0.0.1:1\n")
        values = settings.read_settings(path, OPTIONS).unwrap()
        assert values["a", "wait"] == datetime.timedelta(seconds=3)

    def test_missing_file_is_a_fault(self, tmp_path):
        result = settings.read_settings(tmp_path / "none.ini", OPTIONS)
        assert "none.ini" in result.failure()[0].problem


class TestParsers:
    @pytest.mark.parametrize(("parse", "text", "value"), PARSERS)
    def test_good(self, parse, text, value):
        assert parse(text).unwrap() == value

    @pytest.mark.parametrize(("parse", "text"), BAD)
    def test_bad(self, parse, text):
        assert parse(text).failure()
