"""Fixtures of the expert map tests."""

import pathlib
import sys

import loguru
import pytest

from verbenafall_core.expert_maps import switch

sys.path.append(str(pathlib.Path(__file__).parent))


@pytest.fixture(autouse=True)
def small_margin(monkeypatch):
    """Make some boundary steps run before all ranks are armed."""
    monkeypatch.setattr(switch, "MARGIN_STEPS", 3)
    loguru.logger.disable("verbenafall_core")
    yield
    loguru.logger.enable("verbenafall_core")
