"""Result of a search for candidate upstreams, and the reported upstream state."""

from dataclasses import dataclass, field

from borageramp_core._internal.model import Upstream
from borageramp_core._internal.placement import Candidate

__all__ = ["CandidateSearch", "UpstreamState"]


@dataclass(kw_only=True, slots=True)
class CandidateSearch:
    """Result of a search for upstreams that may take a request.

    Attributes
    ----------
    candidates : list of Candidate
        Upstreams that can take the request now.
    usable_count : int
        Number of upstreams that this entry may use for the request, now or
        once they have capacity.
    pending_count : int
        Number of upstreams that this entry cannot use yet, but is expected to
        be able to use soon.
    usable_slots : int
        Total slots of the upstreams that this entry may use.
    owners : list of str
        Incarnations of the peers that own an upstream which this entry may not
        use.
    forward_purpose : str
        Reason for forwarding the request to an owner: ``warm_up`` or
        ``suspect``.
    blocked_reason : str
        Reason given when no upstream is usable.
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
    """State of an upstream as reported to operators.

    Attributes
    ----------
    upstream : Upstream
        The upstream.
    state : str
        ``warm``, ``cold``, ``out``, ``leaving`` or ``ejected``.
    why : str
        Reason for the state.
    in_flight : int
        Requests in flight from this entry to the upstream.
    """

    upstream: Upstream
    state: str
    why: str
    in_flight: int
