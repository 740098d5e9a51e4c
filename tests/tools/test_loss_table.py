"""Tests of the table of losses from report files."""

import json

import pytest

from tools import loss_table

REPORT = {
    "G": 0.63,
    "parts": [["whole day", 0.6, 0.8], ["worst windows", 0.4, 0.5]],
    "prices": [["machines", 10.0, 0.05], ["orders", 3.0, 0.0004]],
    "all": {
        "n": 110,
        "in_aim": 75,
        "late": 20,
        "refused": 4,
        "failed": 1,
        "not_owed": 10,
        "worth": 0.8,
    },
    "classes": [],
}
# From second, requests, on time, late, refused, part that was earned.
WINDOWS = [
    (0, 80, 80, 0, 0, 1.0),
    (2, 80, 40, 30, 10, 0.6),
    (4, 10, 0, 0, 10, 0.0),
]


def write(path, report):
    path.write_text(json.dumps(report))
    return str(path)


class TestLossTable:
    def test_worth_and_losses_add_up_to_one(self):
        report = loss_table.msgspec.convert(REPORT, loss_table.Report)
        losses = loss_table.find_losses(report)
        assert [loss.reason for loss in losses] == [
            "worst windows",
            "whole day",
            "machines",
        ]
        total = report.G + sum(loss.worth for loss in losses)
        assert total == pytest.approx(1, abs=2 * loss_table.MINIMUM_LOSS)

    def test_one_row_per_file(self, tmp_path, capsys):
        files = [write(tmp_path / f"{day}.json", REPORT) for day in "ab"]
        assert loss_table.main(files) == 0
        rows = capsys.readouterr().out.splitlines()[2:]
        assert [row.split(" | ")[0] for row in rows] == ["| a", "| b"]
        assert "75.0 / 20.0 / 4.0 / 1.0" in rows[0]

    def test_number_of_losses_is_limited_by_most(self, tmp_path, capsys):
        path = write(tmp_path / "a.json", REPORT)
        assert loss_table.main([path, "--most", "1"]) == 0
        row = capsys.readouterr().out.splitlines()[2]
        assert row.endswith("| worst windows 0.200 |")

    def test_worst_seconds_come_first(self, tmp_path, capsys):
        windows = [
            {
                "name": str(second),
                "n": number,
                "in_aim": on_time,
                "late": late,
                "refused": refused,
                "failed": 0,
                "not_owed": 0,
                "worth": worth,
            }
            for second, number, on_time, late, refused, worth in WINDOWS
        ]
        path = write(tmp_path / "a.json", {**REPORT, "windows": windows})
        assert loss_table.main([path, "--seconds", "3"]) == 0
        rows = capsys.readouterr().out.splitlines()[6:]
        assert rows == [
            "| a | 2 | 80 | 0.60 | 50.0 / 37.5 / 12.5 / 0.0 |",
            "| a | 4 | 10 | 0.00 | 0.0 / 0.0 / 100.0 / 0.0 |",
        ]

    @pytest.mark.parametrize("report", [{}, {"G": "much"}, []])
    def test_file_that_is_not_a_report_is_an_error(
        self, tmp_path, capsys, report
    ):
        path = write(tmp_path / "x.json", report)
        assert loss_table.main([path]) == loss_table.EXIT_UNREADABLE
        assert "x.json" in capsys.readouterr().err
