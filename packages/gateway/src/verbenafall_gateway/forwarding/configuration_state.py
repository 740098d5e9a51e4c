"""The configuration in force, which only moves to newer versions."""

from collections.abc import Callable

from verbenafall_core import event_log
from verbenafall_core.routes import model
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import event_catalogue


class ConfigurationState:
    """The newest configuration that this process has received.

    Attributes:
        changed: Called after a newer version has come into force.
    """

    def __init__(self) -> None:
        """Create a state without a configuration."""
        self.configuration: model.Configuration | None = None
        self.routes = table.create_route_table(0, ())
        self.changed: Callable[[], None] | None = None

    def offer(self, offered: model.Configuration, source: str) -> bool:
        """Apply a configuration if it is newer; return whether it is.

        Args:
            offered: Configuration from the store or another gateway.
            source: Where it came from, for the log.
        """
        known = self.configuration
        if known is not None and offered.version <= known.version:
            event_log.emit(
                event_catalogue.CONFIGURATION_IGNORED,
                version=offered.version,
                in_force=known.version,
                source=source,
            )
            return False
        # The route table is built completely before it replaces the old one.
        self.routes = table.create_route_table(offered.version, offered.routes)
        self.configuration = offered
        event_log.emit(
            event_catalogue.CONFIGURATION_IN_FORCE,
            version=offered.version,
            before=known.version if known else 0,
            routes=len(offered.routes),
            keys=len(offered.teams_by_key or ()),
            source=source,
        )
        if self.changed is not None:
            self.changed()
        return True

    def has_service(self, name: str) -> bool:
        """Return whether a service exists, true without a configuration."""
        return self.configuration is None or name in self.configuration.services

    def version(self) -> int:
        """Return the version in force, or 0 without a configuration."""
        return self.configuration.version if self.configuration else 0


def create_configuration_state() -> ConfigurationState:
    """Create a state without a configuration."""
    return ConfigurationState()
