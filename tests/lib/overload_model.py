"""Requests, entries and upstreams of the simulation in ``overload``."""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from borageramp_core.routing import (
    AdmissionQueue,
    DeadlineProfile,
    LoadSnapshot,
    ServicePool,
    WaitPolicy,
    WorkEstimate,
)

__all__ = ["Caller", "Entry", "Request", "Tally", "Upstream"]


@dataclass(kw_only=True)
class Tally:
    """Outcomes of the requests.

    Attributes
    ----------
    in_time, late, refused : int
        Number of requests by outcome.
    connections : int
        Connections to upstreams opened, for probes and requests.
    longest_hold_s : float
        Longest time from the arrival of a request until it was refused.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    connections: int = 0
    longest_hold_s: float = 0.0

    @property
    def requests(self) -> int:
        return self.in_time + self.late + self.refused

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.requests


@dataclass(kw_only=True)
class Upstream:
    slots: int
    running: int = 0
    queue: deque["Request"] = field(default_factory=deque)
    # Times until which idle connections stay open, by entry.
    idle: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @property
    def requests(self) -> int:
        return self.running + len(self.queue)


@dataclass(kw_only=True)
class Entry:
    name: str
    pool: ServicePool
    work: WorkEstimate
    queue: AdmissionQueue["Request"] = field(default_factory=AdmissionQueue)
    steps: bool = False
    deadlines: DeadlineProfile = field(default_factory=DeadlineProfile)
    late_looked_at_s: float = float("-inf")


@dataclass(kw_only=True)
class Caller:
    first_at_s: float
    deadline_s: float
    returns_left: int  # Retries left after refusals.


@dataclass(kw_only=True)
class Request:
    entry: Entry
    wait_policy: WaitPolicy
    caller: "Caller"
    queued: bool = False
    upstream: str = ""
    sent_at_s: float = 0.0
    pace: float = 1.0
    load_snapshot: LoadSnapshot | None = None
