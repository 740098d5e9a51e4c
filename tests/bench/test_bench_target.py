"""`make bench` runs exactly the programs that print figures."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
HELPERS = {"json_lines"}


class TestBenchTarget:
    def test_names_every_benchmark_and_nothing_else(self):
        """Guards against a benchmark that is not listed, or a listed helper."""
        makefile = (ROOT / "Makefile").read_text()
        named = re.search(r"^BENCHMARKS := (.+)$", makefile, re.MULTILINE)[1]
        printing = {
            path.stem
            for path in (ROOT / "bench").glob("*.py")
            if "json_lines.print_figure(" in path.read_text()
        }
        assert set(named.split()) == printing - HELPERS
