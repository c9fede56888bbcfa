"""Resolved configuration of services, upstreams and data centres."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from borageramp_core._internal.routing.workspaces import KeyTable

__all__ = [
    "CallerWorkspace",
    "DataCentre",
    "Lifecycle",
    "Service",
    "ServicePolicy",
    "ConfigurationSnapshot",
    "Upstream",
]


class Lifecycle(enum.StrEnum):
    """Administrative state of a data centre or an upstream.

    Attributes
    ----------
    IN
        In service: it receives new requests.
    OUT
        Out of service: it receives no new requests.
    """

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """A data centre and its administrative state.

    Attributes
    ----------
    name : str
        Unique name.
    state : Lifecycle
        ``OUT`` while operators have taken it out of service.
    """

    name: str
    state: Lifecycle = Lifecycle.IN


@dataclass(frozen=True, kw_only=True, slots=True)
class Upstream:
    """An upstream of a service with its effective settings.

    Attributes
    ----------
    name : str
        Name, unique within the service.
    service : str
        Name of the service.
    data_centre : str
        Name of the data centre where it runs.
    host, port : str, int
        IP address and port.
    state : Lifecycle
        ``OUT`` while operators drain it.
    slots : int
        Requests that it can run concurrently.
    connections : int
        Total number of connections that it accepts.
    warmup_s : float
        Seconds from the first request until it can take its full share.
    cold_concurrency : int
        Maximum number of concurrent requests from all entries together right
        after a start.
    probe_interval_s : float
        Seconds between probes by all entries together.
    eject_s : float
        Duration of an ejection in seconds.
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
        """Identifier that is unique across all services."""
        return f"{self.service}/{self.name}"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServicePolicy:
    """Service-wide settings.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    default_deadline_s, max_deadline_s : float
        Deadline of a request that specifies none, and the maximum deadline, in
        seconds.
    max_body_bytes : int
        Maximum size of a request body.
    max_attempts : int
        Maximum number of attempts per request.
    retry_ratio, hedge_ratio : float
        Maximum retries and hedges as a fraction of first attempts.
    urgent_hedge_ratio : float
        Maximum hedges of urgent classes as a fraction of their first attempts.
    hedge_quantile : float
        Quantile of the service's latency after which a hedge starts.
    connect_timeout_s : float
        Connect timeout in seconds.
    queue_limit : int
        Maximum number of queued requests per entry.
    class_weights : mapping of str to int
        Scheduling weight of each class while requests of several classes are
        queued.
    urgent_classes : tuple of str
        Classes that are served before the weighted ones, up to
        ``urgent_share``.
    urgent_share : float
        Maximum fraction of turns for urgent classes while others are queued.
    default_class : str
        Class of a request that specifies none.
    eject_max_share : float
        Maximum fraction of the upstreams ejected at the same time.
    key_window_s : float
        Seconds after its issue during which an idempotency key is valid.
    kept_answer_bytes : int
        Maximum size of a response that is stored for replay.
    accept_undated_keys : bool
        Whether idempotency keys without an issue time are accepted. At-most-once
        execution is then guaranteed only within ``key_window_s`` of the first
        use.
    public : bool
        Whether requests need no key of a workspace.
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
    public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A service with its policy and upstreams.

    Attributes
    ----------
    name : str
        Name of the service.
    policy : ServicePolicy
        Service-wide settings.
    upstreams : tuple of Upstream
        Upstreams in the order of the configuration.
    """

    name: str
    policy: ServicePolicy
    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerWorkspace:
    """A customer whose callers are identified by keys.

    Attributes
    ----------
    name : str
        Name of the workspace.
    class_name : str or None
        Class of its requests at services that have this class, whatever class they
        name; ``None`` leaves it to the requests.
    """

    name: str
    class_name: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSnapshot:
    """The complete configuration at one revision.

    Attributes
    ----------
    revision : int
        Store revision at which it was written; 0 for an empty configuration.
    data_centres : mapping of str to DataCentre
        Data centres by name.
    services : mapping of str to Service
        Services by name.
    probe_rate_hz : float
        Maximum rate of probes by all entries together.
    workspaces : mapping of str to CallerWorkspace
        Workspaces by name.
    keys : KeyTable or None
        SHA-256 digests of the workspaces' keys, in hexadecimal; ``None`` if there are
        no workspaces, so that requests need no key.
    """

    revision: int = 0
    data_centres: Mapping[str, DataCentre] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    probe_rate_hz: float = 50.0
    workspaces: Mapping[str, CallerWorkspace] = field(default_factory=dict)
    keys: KeyTable | None = None

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether the upstream and its data centre are in service."""
        if upstream.state is Lifecycle.OUT:
            return False
        data_centre = self.data_centres.get(upstream.data_centre)
        return data_centre is None or data_centre.state is Lifecycle.IN
