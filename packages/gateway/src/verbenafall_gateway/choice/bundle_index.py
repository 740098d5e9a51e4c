"""Teams and services of a bundle by what requests name them by.

A bundle has up to 16,000 teams, too many to go through for each request.
"""

from typing import NamedTuple

from verbenafall_core.bundles import model


class BundleIndex(NamedTuple):
    """A bundle with its look-up tables.

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
    """Build the look-up tables of a bundle."""
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
    """Keeps the index of the newest bundle; safe to use from any thread."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.index: BundleIndex | None = None

    def get(self, bundle: model.Bundle) -> BundleIndex:
        """Return the index of a bundle, built when it is another one."""
        index = self.index
        if index is None or index.bundle is not bundle:
            index = create_index(bundle)
            self.index = index
        return index


def create_index_cache() -> IndexCache:
    """Create an empty cache."""
    return IndexCache()
