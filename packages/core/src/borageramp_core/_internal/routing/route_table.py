"""Matching of requests to routes, and choice of a service of the route."""

import random
from collections.abc import Iterable

from borageramp_core._internal.routing.model import Route

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Routes indexed by host, the longest path prefix first.

    Parameters
    ----------
    routes : iterable of Route
        Routes to match.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda r: len(r.path_prefix), reverse=True)

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches a request.

        Parameters
        ----------
        host : str
            Requested host, with or without a port.
        path : str
            Path of the request, without the query string.
        """
        name = host.lower()
        routes = self._by_host.get(name)
        if routes is None:
            routes = self._by_host.get(name.partition(":")[0], [])
        return next((r for r in routes if path.startswith(r.path_prefix)), None)


def choose_service(route: Route, *, rng: random.Random) -> str:
    """Choose a service of a route at random by weight.

    The load of the services is ignored: operators who shift a share of the
    traffic expect exactly that share, even if a service lacks capacity.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights=weights)[0].service
