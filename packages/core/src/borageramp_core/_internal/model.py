"""The resolved configuration that the decisions read."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "DataCentre",
    "Lifecycle",
    "Service",
    "ServicePolicy",
    "ConfigurationSnapshot",
    "Upstream",
]


class Lifecycle(enum.StrEnum):
    """Whether operators let a data centre or an upstream take new work."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """A data centre.

    Attributes
    ----------
    name : str
        Name of the data centre.
    state : Lifecycle
        ``OUT`` once operators have taken it out of service.
    """

    name: str
    state: Lifecycle = Lifecycle.IN


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """One upstream of a service, with the settings that hold for it.

    Attributes
    ----------
    name : str
        Name within the service.
    service : str
        Service that it serves.
    data_centre : str
        Data centre where it runs.
    host, port : str, int
        Address by IP number.
    state : Lifecycle
        ``OUT`` while operators drain it.
    slots : int
        Requests that it runs at once.
    connections : int
        Connections that it accepts in all.
    warmup_s : float
        Seconds from the first request until it bears its full share.
    cold_concurrency : int
        Requests at once that it bears when it has just started, over all
        entries.
    probe_interval_s : float
        Seconds between two probes of it, over all entries.
    eject_s : float
        Seconds that an ejection lasts.
    """

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    state: Lifecycle = Lifecycle.IN
    slots: int = 6
    connections: int = 200
    warmup_s: float = 10.0
    cold_concurrency: int = 1
    probe_interval_s: float = 1.0
    eject_s: float = 5.0

    @property
    def id(self) -> str:
        """Name that is unique over all services."""
        return f"{self.service}/{self.name}"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Settings of a service as a whole.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    default_deadline_s, max_deadline_s : float
        Deadline of a request that names none, and the longest allowed.
    max_body_bytes : int
        Largest request body.
    max_attempts : int
        Upstreams tried for one request.
    retry_ratio, hedge_ratio : float
        Retries and hedges allowed, as a share of first tries.
    urgent_hedge_ratio : float
        Hedges of urgent classes, as a share of their first tries.
    hedge_quantile : float
        Quantile of the service's latency after which a hedge starts.
    connect_timeout_s : float
        Time for opening a connection.
    queue_limit : int
        Requests that may wait at one entry.
    class_weights : mapping of str to int
        Share of each class while several wait.
    urgent_classes : tuple of str
        Classes that are served before the weighted ones, up to
        ``urgent_share``.
    urgent_share : float
        Largest share of turns that urgent classes take while others wait.
    default_class : str
        Class of a request that names none.
    eject_max_share : float
        Largest share of the upstreams that may be ejected at once.
    key_window_s : float
        Time after the issue of a key during which it can be used.
    kept_answer_bytes : int
        Largest answer kept for a repeat.
    accept_undated_keys : bool
        Whether a key without a time of issue is taken; at most once then
        holds only within ``key_window_s`` of its first use.
    """

    idempotent: bool = True
    default_deadline_s: float = 5.0
    max_deadline_s: float = 120.0
    max_body_bytes: int = 1_000_000
    max_attempts: int = 3
    retry_ratio: float = 0.2
    hedge_ratio: float = 0.05
    urgent_hedge_ratio: float = 0.5
    hedge_quantile: float = 0.95
    connect_timeout_s: float = 1.0
    queue_limit: int = 1000
    class_weights: Mapping[str, int] = field(
        default_factory=lambda: {"urgent": 100, "normal": 10, "background": 1}
    )
    urgent_classes: tuple[str, ...] = ("urgent",)
    urgent_share: float = 0.9
    default_class: str = "normal"
    eject_max_share: float = 0.34
    key_window_s: float = 600.0
    kept_answer_bytes: int = 65_536
    accept_undated_keys: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service with its policy and upstreams.

    Attributes
    ----------
    name : str
        Name of the service.
    policy : ServicePolicy
        Settings of the service as a whole.
    upstreams : tuple of Upstream
        The upstreams in the order of the configuration.
    """

    name: str
    policy: ServicePolicy
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSnapshot:
    """One revision of the whole configuration.

    Attributes
    ----------
    revision : int
        Revision of the store that it was written at; 0 when empty.
    data_centres : mapping of str to DataCentre
        Data centres by name.
    services : mapping of str to Service
        Services by name.
    probe_rate_hz : float
        Probes a second that all entries together may send.
    """

    revision: int = 0
    data_centres: Mapping[str, DataCentre] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    probe_rate_hz: float = 50.0

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Tell whether operators let an upstream take new work."""
        if upstream.state is Lifecycle.OUT:
            return False
        data_centre = self.data_centres.get(upstream.data_centre)
        return data_centre is None or data_centre.state is Lifecycle.IN
