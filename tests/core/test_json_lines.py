"""JSON log lines: one object per line, written without blocking the caller."""

import json
import os

from verbenafall_core import json_lines
from verbenafall_core import prometheus_metrics


class TestLineWriter:
    def test_lines_are_json_objects(self):
        reader, writer = os.pipe()
        lines = json_lines.create_line_writer(writer)
        lines.put({"name": "a", "value": 1.5, "other": object})
        lines.put({"name": "b", "text": 'quote " and \n line'})
        lines.write()
        found = [
            json.loads(line) for line in os.read(reader, 65536).splitlines()
        ]
        os.close(reader)
        os.close(writer)
        assert [line["name"] for line in found] == ["a", "b"]

    def test_lines_beyond_the_limit_are_counted(self, monkeypatch):
        """Guards against a caller that blocks while nobody reads the lines."""
        monkeypatch.setattr(json_lines, "MAX_QUEUED_LINES", 3)
        reader, writer = os.pipe()
        lines = json_lines.create_line_writer(writer)
        for number in range(10):
            lines.put({"name": "x", "number": number})
        lines.write()
        found = [
            json.loads(line) for line in os.read(reader, 65536).splitlines()
        ]
        os.close(reader)
        os.close(writer)
        assert len(found) == 4
        assert found[-1] == {"name": "log_lines_dropped", "lines": 7}

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        lines = json_lines.create_line_writer(writer)
        lines.put({"name": "x"})
        lines.write()
        os.close(writer)


class TestMetricNames:
    def test_name_has_the_prefix_and_underscores(self):
        assert prometheus_metrics.metric_name("forward.outcome.done") == (
            "verbenafall_forward_outcome_done"
        )
