"""What a search for upstreams found, and how an upstream stands."""

from dataclasses import dataclass, field

from borageramp_core._internal.model import Upstream
from borageramp_core._internal.placement import Candidate

__all__ = ["CandidateSearch", "UpstreamState"]


@dataclass(kw_only=True, slots=True)
class CandidateSearch:
    """What a search for upstreams found.

    Attributes
    ----------
    candidates : list of Candidate
        Upstreams that may take the request now.
    usable_count : int
        Upstreams that this entry may use for it, now or when they have room.
    pending_count : int
        Upstreams that this entry may use for it before long.
    usable_slots : int
        Slots of the usable upstreams.
    owners : list of str
        Incarnations of peers that may use an upstream that this one may not.
    forward_purpose : str
        Why it would be passed on.
    blocked_reason : str
        Why there is nothing to use.
    """

    candidates: list[Candidate] = field(default_factory=list)
    usable_count: int = 0
    pending_count: int = 0
    usable_slots: int = 0
    owners: list[str] = field(default_factory=list)
    forward_purpose: str = ""
    blocked_reason: str = "the service has no upstream in service"


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamState:
    """The state of an upstream for an operator.

    Attributes
    ----------
    upstream : Upstream
        The upstream.
    state : str
        ``warm``, ``cold``, ``out``, ``leaving`` or ``ejected``.
    why : str
        What brought it there.
    in_flight : int
        Requests that it has from this entry.
    """

    upstream: Upstream
    state: str
    why: str
    in_flight: int
