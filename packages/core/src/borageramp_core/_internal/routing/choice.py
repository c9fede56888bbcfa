"""A request that asks for an upstream, and the upstream chosen for it."""

from collections.abc import Collection
from dataclasses import dataclass

from borageramp_core._internal.routing.state import UpstreamView

__all__ = ["Chosen", "Wanted"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Wanted:
    """A request that asks for an upstream.

    Attributes
    ----------
    work_s : float
        Time that it takes on an idle upstream.
    within_s : float
        Time within which its answer has to be expected.
    excluded : collection of str
        Upstreams that have had it.
    queue_slots : float
        How far it may queue at an upstream, in multiples of its slots.
    spared_slots : int
        Slots of an upstream that it leaves to others.
    """

    work_s: float
    within_s: float
    excluded: Collection[str] = ()
    queue_slots: float = 1.0
    spared_slots: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Chosen:
    """An upstream for a request, and why.

    Attributes
    ----------
    view : UpstreamView
        The upstream.
    expected_s : float
        Time to its answer.
    candidates : int
        Upstreams that were compared.
    """

    view: UpstreamView
    expected_s: float
    candidates: int
