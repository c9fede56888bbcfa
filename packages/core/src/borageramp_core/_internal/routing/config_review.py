"""Warnings about a configuration that is valid but hardly what was meant."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from borageramp_core._internal.routing.model import (
    CallerLimits,
    Route,
    RoutingConfig,
    Workspace,
)
from borageramp_core._internal.routing.quota.bounds import QuotaBounds

__all__ = ["ConfigWarning", "review_config", "review_version"]

# Paths are compared as sent, without the query; RFC 3986 allows only visible ASCII
# characters in them, and the parser of requests refuses others.
NOT_IN_PATHS = re.compile(r"[^\x21-\x7e]|[?#]")
# Hosts are compared as sent, too: a pattern or a URL matches no caller's host.
NOT_IN_HOSTS = re.compile(r"[^\x21-\x7e]|[/?#@*]")


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigWarning:
    """Part of a configuration that has no effect, or contradicts another part.

    Attributes
    ----------
    path : str
        Dotted path of the part.
    problem : str
        Why it is doubtful. It contains no key.
    """

    path: str
    problem: str


def review_config(
    config: RoutingConfig, *, quota_bounds: QuotaBounds | None = None
) -> list[ConfigWarning]:
    """Return warnings about a configuration without faults.

    Faults are those of ``config_faults``. A configuration with warnings can be
    served as it is written.

    Parameters
    ----------
    config : RoutingConfig
        Configuration to review.
    quota_bounds : QuotaBounds, optional
        Window of the quotas; that of the defaults if it is not given.
    """
    window_s = (quota_bounds or QuotaBounds()).window_s
    return [
        *_review_routes(config),
        *_review_services(config),
        *_review_workspaces(config, window_s),
        *_review_limits(config.limits),
    ]


def review_version(*, old: RoutingConfig, new: RoutingConfig) -> list[ConfigWarning]:
    """Return a warning if a configuration can't replace the one in force.

    Instances ignore a version that is not higher than the one that they have.
    """
    if new.version > old.version:
        return []
    problem = f"{new.version} is not higher than {old.version}: instances ignore it"
    return [ConfigWarning(path="version", problem=problem)]


def _review_routes(config: RoutingConfig) -> Iterator[ConfigWarning]:
    for route in config.routes:
        for problem in _find_unreachable(route):
            yield ConfigWarning(path=f"routes.{route.name}", problem=problem)


def _find_unreachable(route: Route) -> Iterator[str]:
    if NOT_IN_HOSTS.search(route.host):
        yield f"never matches: callers name no host {route.host!a}"
    if NOT_IN_PATHS.search(route.path_prefix):
        yield f"never matches: no request has the path {route.path_prefix!a}"


def _review_services(config: RoutingConfig) -> Iterator[ConfigWarning]:
    used = {
        share.service
        for route in config.routes
        for share in route.shares
        if share.weight > 0.0
    }
    for name in config.services:
        if name not in used:
            yield ConfigWarning(path=f"services.{name}", problem="no route uses it")


def _review_workspaces(
    config: RoutingConfig, window_s: float
) -> Iterator[ConfigWarning]:
    key_counts = config.keys.count_by_workspace() if config.keys is not None else {}
    for name, workspace in config.workspaces.items():
        path = f"workspaces.{name}"
        if not key_counts.get(name):
            yield ConfigWarning(path=path, problem="has no usable key")
            continue
        for problem in _find_quota_problems(workspace, window_s):
            yield ConfigWarning(path=path, problem=problem)


def _find_quota_problems(workspace: Workspace, window_s: float) -> Iterator[str]:
    if workspace.rate_hz == 0.0:
        if workspace.burst > 0.0:
            yield "its burst has no effect without a rate"
        return
    if workspace.rate_hz * window_s < 1.0:
        yield (
            f"its rate of {workspace.rate_hz:g} per s is less than one request in "
            f"{window_s:g} s"
        )
    if 0.0 < workspace.burst < 1.0:
        yield f"its burst of {workspace.burst:g} is less than one request"


def _review_limits(limits: CallerLimits) -> Iterator[ConfigWarning]:
    if limits.max_body_bytes <= 0:
        yield ConfigWarning(
            path="limits.max_body_bytes", problem="every request with a body is refused"
        )
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield ConfigWarning(
            path="limits.header_timeout_s",
            problem=(
                f"{limits.header_timeout_s:g} s is longer than the idle timeout of "
                f"{limits.idle_timeout_s:g} s"
            ),
        )
