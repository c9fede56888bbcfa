"""Semantic checks of a configuration that is well-formed."""

from collections.abc import Iterator

from borageramp_core._internal.errors import SettingsFault
from borageramp_core._internal.routing.model import Route, RoutingConfig

__all__ = ["config_faults"]


def config_faults(config: RoutingConfig) -> list[SettingsFault]:
    """Return the faults in the routes and limits of a configuration.

    An entry serves as much of a faulty configuration as it can; the checks
    show operators the faults before they apply it.
    """
    first_by_match: dict[tuple[str, str], Route] = {}
    faults: list[SettingsFault] = []
    for route in config.routes:
        problems = list(_find_problems(route, config))
        match_key = (route.host.lower(), route.path_prefix)
        first = first_by_match.setdefault(match_key, route)
        if first is not route:
            problems.append(f"has the same host and path as route {first.name}")
        faults += [
            SettingsFault(path=f"routes.{route.name}", problem=problem)
            for problem in problems
        ]
    if config.limits.max_header_bytes <= 0:
        problem = "must be positive: every request has a header section"
        faults.append(SettingsFault(path="limits.max_header_bytes", problem=problem))
    return faults


def _find_problems(route: Route, config: RoutingConfig) -> Iterator[str]:
    if not route.host:
        yield "host is empty"
    if not route.path_prefix.startswith("/"):
        yield f"path {route.path_prefix!r} does not start with /"
    if not any(share.weight > 0.0 for share in route.shares):
        yield "has no services with a weight above 0"
    for share in route.shares:
        if share.service not in config.services:
            yield f"service {share.service} is not configured"
    if route.timeout_s <= 0.0 or route.objective_s <= 0.0:
        yield "timeout and objective must be positive"
    elif route.objective_s > route.timeout_s:
        yield "objective is longer than the timeout"
    if route.max_runs < 1:
        yield "must allow at least one attempt"
