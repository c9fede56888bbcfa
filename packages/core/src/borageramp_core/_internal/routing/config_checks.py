"""What is wrong with a configuration that can be read."""

from collections.abc import Iterator

from borageramp_core._internal.errors import SettingsFault
from borageramp_core._internal.routing.model import Route, RoutingConfig

__all__ = ["config_faults"]


def config_faults(config: RoutingConfig) -> list[SettingsFault]:
    """Return the faults of a configuration, by route.

    An entry serves such a configuration as far as it can; operators see the
    faults before that.
    """
    first_by_match: dict[tuple[str, str], str] = {}
    faults: list[SettingsFault] = []
    for route in config.routes:
        problems = list(_find_problems(route, config))
        match_key = (route.host.lower(), route.path_prefix)
        first_name = first_by_match.setdefault(match_key, route.name)
        if first_name != route.name:
            problems.append(f"has the host and path of route {first_name}")
        faults += [
            SettingsFault(path=f"routes.{route.name}", problem=problem)
            for problem in problems
        ]
    return faults


def _find_problems(route: Route, config: RoutingConfig) -> Iterator[str]:
    if not route.host:
        yield "names no host"
    if not route.path_prefix.startswith("/"):
        yield f"path {route.path_prefix!r} does not begin with /"
    if not route.shares:
        yield "sends no share to any service"
    for share in route.shares:
        if share.service not in config.services:
            yield f"service {share.service} is not configured"
    if route.timeout_s <= 0.0 or route.objective_s <= 0.0:
        yield "leaves no time for an answer"
    elif route.objective_s > route.timeout_s:
        yield "its objective is longer than its timeout"
    if route.max_runs < 1:
        yield "allows no upstream to run a request"
