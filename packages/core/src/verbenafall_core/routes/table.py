"""Lookup of routes by host and path."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from verbenafall_core.routes import model

# Host -> path prefix -> route.
RoutesByHost = Mapping[str, Mapping[str, model.Route]]


class RouteTable(NamedTuple):
    """The routes of a configuration, ready for lookup."""

    version: int
    by_host: RoutesByHost


def create_route_table(
    version: int, routes: Iterable[model.Route]
) -> RouteTable:
    """Index routes by host and prefix."""
    by_host: dict[str, dict[str, model.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
    return RouteTable(version, by_host)


def find_route(table: RouteTable, host: str, target: str) -> model.Route | None:
    """Return the route with the longest prefix of a request's path.

    Args:
        table: The routes.
        host: Host header; a port in it is ignored.
        target: Request target; a query in it is ignored.
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
