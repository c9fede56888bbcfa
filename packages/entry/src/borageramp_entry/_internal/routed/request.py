"""A caller's request with its route."""

from dataclasses import dataclass

from borageramp_core.routing import Route
from borageramp_entry._internal.serving.requests import CallerRequest

__all__ = ["RoutedRequest"]


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedRequest:
    """A request with the route that it takes.

    Attributes
    ----------
    caller : CallerRequest
        The request; its deadline is the earlier of the caller's and the
        route's.
    route : Route
        The route.
    arrived_at_s : float
        Time of its arrival.
    caller_timeout_s : float or None
        Time for which the caller waits from then on; ``None`` if it didn't say.
    """

    caller: CallerRequest
    route: Route
    arrived_at_s: float
    caller_timeout_s: float | None = None
