"""Which route a request takes, and which service of the route serves it."""

import random
from collections.abc import Iterable

from borageramp_core._internal.routing.model import Route

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Routes by host, the longest path first.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda r: len(r.path_prefix), reverse=True)

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route of a request, the one with the longest path.

        Parameters
        ----------
        host : str
            Host asked for, with or without a port.
        path : str
            Path of the request, without its query.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], [])
        return next((r for r in routes if path.startswith(r.path_prefix)), None)


def choose_service(route: Route, *, rng: random.Random) -> str:
    """Return a service of a route, by weight.

    The choice ignores how much room the services have: operators who move a
    share of the requests want that share, also while a service is short.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights=weights)[0].service
