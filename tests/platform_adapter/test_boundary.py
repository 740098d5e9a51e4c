"""The platform's names are used only in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
# Names that the platform uses and the product does not.
NAMES = re.compile(
    r"Verbenafall-[A-Z]|verbenafall-(?:attempt|deadline|key|tenant|expect|"
    r"request-priority|engine-signature|not-executed)|VERBENAFALL_NODE_FILE|"
    r"/api/(?:report|order|picked|objects|readiness)|path-prefix|"
    r"max-attempts|fencing-token|kv-cache|expert-map\b|itl-target|has-more"
)
OUTSIDE = [
    path
    for folder in ("packages", "standins", "bench", "tools", "tests")
    for path in sorted((ROOT / folder).rglob("*.py"))
    if (ROOT / "tests" / "platform_adapter") not in path.parents
]


class TestBoundary:
    @pytest.mark.parametrize(
        "path", OUTSIDE, ids=lambda path: str(path.relative_to(ROOT))
    )
    def test_file_has_no_name_of_the_platform(self, path):
        assert NAMES.findall(path.read_text()) == []

    def test_pattern_matches_the_adapter(self):
        adapter = ROOT / "platform" / "verbenafall_platform"
        assert any(NAMES.search(p.read_text()) for p in adapter.glob("*.py"))

    def test_adapter_has_no_thread_timer_or_retry(self):
        adapter = ROOT / "platform" / "verbenafall_platform"
        for path in adapter.glob("*.py"):
            text = path.read_text()
            assert not re.search(r"\b(threading|time\.sleep|asyncio)\b", text)
