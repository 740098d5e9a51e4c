"""The commands accept the example settings unchanged."""

import pathlib

import pytest

from verbenafall_core.bundles import signing
from verbenafall_gateway import main as gateway_main
from verbenafall_sidecar import main as sidecar_main

ROOT = pathlib.Path(__file__).parents[2]
DEPLOYMENTS = ["rumbo", "trip-permissions"]
SETTINGS = [
    (gateway_main.main, "gateway.ini"),
    (sidecar_main.main, "sidecar-engine.ini"),
    (sidecar_main.main, "sidecar-records.ini"),
]


class TestExampleSettings:
    @pytest.mark.parametrize("deployment", DEPLOYMENTS)
    @pytest.mark.parametrize(("main", "name"), SETTINGS)
    def test_check_passes(self, main, name, deployment, tmp_path, monkeypatch):
        """Guards against examples that no longer match the options."""
        monkeypatch.chdir(tmp_path)
        signing.generate_key_files(tmp_path / "keys").unwrap()
        path = ROOT / "examples" / deployment / name
        assert main(["serve", "--settings", str(path), "--check"]) == 0
