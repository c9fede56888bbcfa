"""A request of a caller with the route that it matched."""

from dataclasses import dataclass

from borageramp_core.routing import Route, Workspace
from borageramp_entry._internal.serving.requests import CallerRequest

__all__ = ["RoutedRequest"]


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedRequest:
    """A request with the route that it matched.

    Attributes
    ----------
    caller : CallerRequest
        The request; its deadline is the earlier of the caller's and the
        route's.
    route : Route
        The matched route.
    arrived_at_s : float
        Time of arrival.
    caller_timeout_s : float or None
        Time from arrival for which the caller waits; ``None`` if it set none.
    forwarded : bool
        Whether another instance forwarded it; it is not forwarded again.
    workspace : Workspace or None
        Workspace of the caller; ``None`` if it has none, or if another instance
        forwarded the request.
    share_class : int
        Order among requests of its rank, by the use of the workspace's quota; 0 goes
        first.
    """

    caller: CallerRequest
    route: Route
    arrived_at_s: float
    caller_timeout_s: float | None = None
    forwarded: bool = False
    workspace: Workspace | None = None
    share_class: int = 0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty if there is none."""
        return "" if self.workspace is None else self.workspace.name
