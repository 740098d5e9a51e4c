"""Look-up tables for the teams and services of a bundle.

A bundle has up to 16,000 teams, too many for a linear search per request.
"""

from typing import NamedTuple

from verbenafall_core.bundles import model


class BundleIndex(NamedTuple):
    """A bundle with look-up tables for request handling.

    Attributes:
        teams: Teams by the digest of each of their credentials.
        models: Model services by model name.
        records: Records services by service name.
    """

    bundle: model.Bundle
    teams: dict[str, model.TeamSpec]
    models: dict[str, model.ServiceSpec]
    records: dict[str, model.ServiceSpec]


def create_index(bundle: model.Bundle) -> BundleIndex:
    """Index a bundle by credential digest, model name and service name."""
    teams = {
        digest: team
        for team in bundle.teams
        for digest in team.credential_digests
    }
    models = {
        service.model: service
        for service in bundle.services
        if service.kind is model.ServiceKind.MODEL
    }
    records = {
        service.name: service
        for service in bundle.services
        if service.kind is model.ServiceKind.RECORDS
    }
    return BundleIndex(bundle, teams, models, records)


class IndexCache:
    """Caches the index of the most recently used bundle; thread-safe."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.index: BundleIndex | None = None

    def get(self, bundle: model.Bundle) -> BundleIndex:
        """Return the bundle's index, rebuilt if the bundle object changed."""
        index = self.index
        if index is None or index.bundle is not bundle:
            index = create_index(bundle)
            self.index = index
        return index


def create_index_cache() -> IndexCache:
    """Create an empty cache."""
    return IndexCache()
