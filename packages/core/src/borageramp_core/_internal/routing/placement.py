"""Requirements of a request on its upstream, and the upstream chosen for it."""

from collections.abc import Collection
from dataclasses import dataclass

from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["PlacementChoice", "PlacementRequirements"]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequirements:
    """Conditions that an upstream must meet to get a request.

    Attributes
    ----------
    work_s : float
        Expected service time on an idle upstream in seconds.
    max_response_s : float
        Limit on the expected response time in seconds.
    excluded : collection of str
        Upstreams that already had an attempt of the request.
    queue_ratio : float
        Maximum queue at an upstream, in multiples of its slots.
    reserved_slots : int
        Slots of each upstream that the request must leave free.
    eligible : collection of str or None
        Upstreams of the version that the request may go to; ``None`` for any.
    steady_only : bool
        Whether only warm upstreams without a rate limit qualify.
    """

    work_s: float
    max_response_s: float
    excluded: Collection[str] = ()
    queue_ratio: float = 1.0
    reserved_slots: int = 0
    eligible: Collection[str] | None = None
    steady_only: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementChoice:
    """The upstream chosen for a request.

    Attributes
    ----------
    view : UpstreamView
        The upstream.
    expected_s : float
        Expected response time in seconds.
    candidate_count : int
        Number of upstreams that were compared.
    """

    view: UpstreamView
    expected_s: float
    candidate_count: int
