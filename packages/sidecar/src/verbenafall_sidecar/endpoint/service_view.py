"""Settings of the sidecar's service from the bundle in force."""

from typing import Final

from verbenafall_core.bundles import model

DEFAULT_SHARES: Final = 1


class ServiceView:
    """Slots of the service and shares of the teams in the bundle in force.

    Lookups are cached until another bundle is in force.
    """

    def __init__(
        self, bundles: model.BundleView, service: str, default_slots: int
    ) -> None:
        """Create a view; default_slots applies while the service is unknown."""
        self.bundles = bundles
        self.service = service
        self.default_slots = default_slots
        self.bundle: model.Bundle | None = None
        self.spec: model.ServiceSpec | None = None
        self.shares: dict[str, int] = {}

    def accepts_new_work(self) -> bool:
        """Return whether a bundle is in force and confirmed."""
        return self.bundles.accepts_new_work()

    def is_known(self) -> bool:
        """Return whether the bundle in force lists the service."""
        self.refresh()
        return self.spec is not None

    def slots(self) -> int:
        """Return the number of attempts the endpoint runs concurrently."""
        self.refresh()
        return self.spec.slots if self.spec else self.default_slots

    def shares_for(self, team: str) -> int:
        """Return a team's weight in fair queueing."""
        self.refresh()
        return self.shares.get(team, DEFAULT_SHARES)

    def refresh(self) -> None:
        """Rebuild the cached lookups if the bundle in force has changed."""
        bundle = self.bundles.current()
        if bundle is self.bundle:
            return
        self.bundle = bundle
        services = bundle.services if bundle else ()
        teams = bundle.teams if bundle else ()
        self.spec = next(
            (spec for spec in services if spec.name == self.service), None
        )
        self.shares = {team.name: max(team.shares, 1) for team in teams}


def create_service_view(
    bundles: model.BundleView, service: str, default_slots: int
) -> ServiceView:
    """Create a view; default_slots applies while the service is unknown."""
    return ServiceView(bundles, service, default_slots)
