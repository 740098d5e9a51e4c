"""The configuration in force; it never goes back."""

from collections.abc import Callable

from verbenafall_core import event_log
from verbenafall_core.routes import model
from verbenafall_core.routes import table
from verbenafall_gateway.forwarding import event_catalogue


class ConfigurationState:
    """Holds the newest configuration that this process has seen.

    Attributes:
        changed: Called after a newer version was put in force.
    """

    def __init__(self) -> None:
        """Create a state that knows no configuration."""
        self.configuration: model.Configuration | None = None
        self.routes = table.create_route_table(0, ())
        self.changed: Callable[[], None] | None = None

    def offer(self, offered: model.Configuration, source: str) -> bool:
        """Put a version in force if it is newer; return whether it is."""
        known = self.configuration
        if known is not None and offered.version <= known.version:
            event_log.emit(
                event_catalogue.CONFIGURATION_IGNORED,
                version=offered.version,
                in_force=known.version,
                source=source,
            )
            return False
        # One assignment each; the routes are complete before they are used.
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

    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.configuration.version if self.configuration else 0


def create_configuration_state() -> ConfigurationState:
    """Create a state that knows no configuration."""
    return ConfigurationState()
