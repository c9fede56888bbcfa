"""A request that asks for an upstream, and the upstream chosen for it."""

from collections.abc import Collection
from dataclasses import dataclass

from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["PlacementChoice", "PlacementRequirements"]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequirements:
    """A request that asks for an upstream.

    Attributes
    ----------
    work_s : float
        Time that it takes on an idle upstream.
    max_response_s : float
        Time within which its answer has to be expected.
    excluded : collection of str
        Upstreams that have had it.
    queue_ratio : float
        How far it may queue at an upstream, in multiples of its slots.
    reserved_slots : int
        Slots of an upstream that it leaves to others.
    """

    work_s: float
    max_response_s: float
    excluded: Collection[str] = ()
    queue_ratio: float = 1.0
    reserved_slots: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementChoice:
    """An upstream for a request, and why.

    Attributes
    ----------
    view : UpstreamView
        The upstream.
    expected_s : float
        Time to its answer.
    candidate_count : int
        Upstreams that were compared.
    """

    view: UpstreamView
    expected_s: float
    candidate_count: int
