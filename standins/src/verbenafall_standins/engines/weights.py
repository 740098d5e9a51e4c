"""Loads expert weights through the weight store."""

import datetime
import json
from typing import Final
from typing import NamedTuple

import returns.pipeline

from verbenafall_core import http_client

LOAD_LIMIT: Final = datetime.timedelta(seconds=5)
RETRY_AFTER_MS: Final = 1000


class WeightsBusy(NamedTuple):
    """The weights could not be loaded; the field is reported by name."""

    retry_after_ms: int


class WeightLoader:
    """Loads weights; without a weight store, loads succeed immediately."""

    def __init__(self, url: str) -> None:
        """Create a loader for the weight store at a URL, or for none."""
        self.url = url
        self.client = http_client.create_http_client()

    def load(self, map_version: int, experts: int) -> WeightsBusy | None:
        """Load a number of experts for a map; return None on success."""
        if not self.url or experts == 0:
            return None
        body = {"map_version": map_version, "experts": experts}
        result = self.client.call(
            http_client.HttpRequest(
                "POST",
                f"{self.url}/weights/load",
                (),
                json.dumps(body).encode(),
                LOAD_LIMIT,
                False,
            )
        )
        if not returns.pipeline.is_successful(result):
            return WeightsBusy(RETRY_AFTER_MS)
        response = result.unwrap()
        if response.status == 200:
            return None
        seconds = dict(response.headers).get("retry-after", "")
        if seconds.isdecimal():
            return WeightsBusy(int(seconds) * 1000)
        return WeightsBusy(RETRY_AFTER_MS)


def create_weight_loader(url: str) -> WeightLoader:
    """Create a loader for the weight store at a URL, or for none."""
    return WeightLoader(url)
