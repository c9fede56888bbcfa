"""What an experiment keeps track of."""

from dataclasses import dataclass, field

from borageramp_bench.policies.upstreams import Job
from borageramp_core import (
    AttemptPlan,
    Balancer,
    LatencyWindow,
    RatioBudget,
    ServicePolicy,
)

__all__ = ["CLASSES", "Outcome", "Request", "Row", "SimulatedEntry", "Size"]

# Share of the requests and weight of service of each class.
CLASSES = {"urgent": (0.1, 10.0), "normal": (0.7, 3.0), "background": (0.2, 1.0)}


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """The size of a run.

    Attributes
    ----------
    name : str
        For tables.
    entries, upstreams, slots : int
        How many there are.
    delay_s : float
        One-way delay between data centres.
    mean_s : float
        Mean time of a request at an upstream.
    """

    name: str
    entries: int
    upstreams: int
    slots: int
    delay_s: float
    mean_s: float = 0.02


@dataclass(kw_only=True)
class Outcome:
    """What a run measured.

    Attributes
    ----------
    latencies_s : dict of str to list of float
        Latencies of served requests, by class.
    offered, served : dict of str to int
        Requests, by class.
    probes : int
        Probes sent.
    most_cold : int
        Most requests at once on a cold upstream, after notice.
    failing_share : float
        Share of requests that a failing upstream took.
    refused : dict of str to int
        Refusals by reason.
    """

    latencies_s: dict[str, list[float]] = field(default_factory=dict)
    offered: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    probes: int = 0
    most_cold: int = 0
    failing_share: float = 0.0
    refused: dict[str, int] = field(default_factory=dict)


class Request:
    """A caller's request on its way."""

    __slots__ = ("class_name", "deadline_s", "done", "jobs", "plan", "sent_at_s")

    def __init__(self, class_name: str, sent_at_s: float, deadline_s: float) -> None:
        self.class_name = class_name
        self.sent_at_s = sent_at_s
        self.deadline_s = deadline_s
        self.done = False
        self.jobs: list[tuple[Job, SimulatedEntry, str]] = []
        self.plan: AttemptPlan | None = None


class SimulatedEntry:
    """An entry: the core's balancer and budgets."""

    def __init__(self, balancer: Balancer, policy: ServicePolicy) -> None:
        self.balancer = balancer
        self.retries = RatioBudget(ratio=policy.retry_ratio)
        self.hedges = RatioBudget(ratio=policy.hedge_ratio)
        self.urgent_hedges = RatioBudget(ratio=policy.urgent_hedge_ratio)
        self.latencies = LatencyWindow()
        self.waiting: dict[str, Request] = {}
        self.ticking = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One line of the table.

    Attributes
    ----------
    size, disturbance, policy : str
        What was run.
    load : float
        Offered work as a share of all slots.
    p50_ms, p99_ms, p999_ms, urgent_p99_ms : float
        Latencies of served requests, and of urgent ones alone.
    urgent_lost : int
        Urgent requests that were not served.
    served : float
        Share of the requests served, weighted by class.
    probes : float
        Probes a request.
    most_cold : int
        Most requests at once on a cold upstream, after notice.
    failing_share : float
        Share of the requests that a failing upstream took after a second.
    """

    size: str
    disturbance: str
    load: float
    policy: str
    p50_ms: float
    p99_ms: float
    p999_ms: float
    urgent_p99_ms: float
    urgent_lost: int
    served: float
    probes: float
    most_cold: int
    failing_share: float
