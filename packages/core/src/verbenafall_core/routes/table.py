"""Route lookup by host and longest path prefix."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from verbenafall_core.routes import model

# Lower-case host -> path prefix -> route.
RoutesByHost = Mapping[str, Mapping[str, model.Route]]


class RouteTable(NamedTuple):
    """The routes of one configuration version, indexed for lookup."""

    version: int
    by_host: RoutesByHost


def create_route_table(
    version: int, routes: Iterable[model.Route]
) -> RouteTable:
    """Index routes by host and path prefix.

    Of several routes with the same host and prefix, the last one applies.
    """
    by_host: dict[str, dict[str, model.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
    return RouteTable(version, by_host)


def find_route(table: RouteTable, host: str, target: str) -> model.Route | None:
    """Return the route whose prefix is the longest match of a request's path.

    Args:
        table: The routes.
        host: Value of the Host header; its port and case are ignored.
        target: Request target; its query is ignored.
    """
    prefixes = table.by_host.get(host.partition(":")[0].lower())
    if prefixes is None:
        return None
    path = target.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
