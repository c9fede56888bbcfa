"""Configuration, registrations and other items that an entry reads from the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from borageramp_core._internal.routing.rollouts.model import (
    RolloutOrder,
    RolloutRecord,
)
from borageramp_core._internal.routing.workspaces import KeyTable

__all__ = [
    "CallerLimits",
    "CrashSuspect",
    "EvacuatedDataCentre",
    "Instance",
    "MalformedItem",
    "Registration",
    "Route",
    "RoutedService",
    "RoutingConfig",
    "ServiceShare",
    "StateItem",
    "Workspace",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """Share of a route's requests that a service receives.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Rule that matches requests by host and path, and settings for serving them.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that the route matches.
    shares : tuple of ServiceShare
        Services that serve the route.
    idempotent : bool
        Whether a request may be executed more than once.
    timeout_s : float
        Maximum time until the final answer.
    objective_s : float
        Latency objective: later answers are worth less to callers.
    rank : int
        Priority; 0 is the highest.
    max_runs : int
        Maximum number of attempts per request, except those that are known
        not to have run.
    public : bool
        Whether requests need no key of a workspace.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_runs: int
    public: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedService:
    """Settings of a service.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the upstreams' health endpoint.
    connections : int
        Maximum number of connections per upstream, over all entries.
    ramp_hz : float
        Maximum request rate to a cold upstream, over all entries, in 1/s.
    """

    name: str
    health_path: str
    connections: int
    ramp_hz: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the header section and of the body.
    header_timeout_s : float
        Maximum time to receive the header section.
    idle_timeout_s : float
        Maximum time without a request on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """Customer whose callers are identified by keys, with a priority and a quota.

    Attributes
    ----------
    name : str
        Name of the workspace.
    rank : int or None
        Priority that replaces that of the route; 0 is the highest. ``None`` leaves
        the route's in force.
    rate_hz : float
        Quota of requests per second over all entries; 0 means no limit.
    burst : float
        Requests beyond that which accumulate while the quota isn't used.
    """

    name: str
    rank: int | None = None
    rate_hz: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingConfig:
    """Version of the operators' configuration.

    Attributes
    ----------
    version : int
        Version number, which increases with each change.
    routes : tuple of Route
        Routes to serve.
    services : mapping of str to RoutedService
        Services by name.
    limits : CallerLimits
        Limits on callers.
    workspaces : mapping of str to Workspace
        Workspaces by name.
    keys : KeyTable or None
        Keys of the workspaces; ``None`` if the configuration has no entries of
        workspaces, not even invalid ones, so that requests need no key.
    problems : tuple of str
        Entries that are not used, and why, for the log. They contain no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, RoutedService] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    keys: KeyTable | None = None
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """Record by which an upstream registers itself.

    Attributes
    ----------
    id : str
        Identifier of the upstream.
    service, data_centre : str
        Service that the upstream provides, and its data centre.
    host, port : str, int
        IP address and port.
    slots : int
        Number of requests that the upstream runs concurrently.
    leaving : bool
        Whether the upstream is draining and must get no new requests.
    started_ms : int
        Start time in milliseconds since the epoch, which distinguishes restarts.
    warmup_left_s : float
        Remaining warm-up time at the time of registration.
    version : str
        Version of the upstream's software; empty if it doesn't say.
    """

    id: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    leaving: bool = False
    started_ms: int = 0
    warmup_left_s: float = 0.0
    version: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """Instance of this system that serves callers.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : str
        Identifier of the current process.
    data_centre : str
        Data centre of the instance.
    caller_address, check_address : str
        ``host:port`` for callers, and for readiness checks.
    peer_address : str or None
        ``host:port`` for other instances; ``None`` if it accepts none.
    capacity : float
        Capacity of the machine relative to those of other instances.
    """

    name: str
    incarnation: str
    data_centre: str
    caller_address: str
    check_address: str
    peer_address: str | None = None
    capacity: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuatedDataCentre:
    """Data centre that operators have taken out of service.

    Attributes
    ----------
    data_centre : str
        Name of the data centre.
    """

    data_centre: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashSuspect:
    """Request that is suspected of crashing upstreams, published by an instance.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    upstreams : tuple of str
        Upstream processes that died while they ran the request.
    """

    fingerprint: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MalformedItem:
    """Item of the store that can't be decoded.

    Attributes
    ----------
    problem : str
        Description of the error.
    """

    problem: str


StateItem = (
    RoutingConfig
    | Registration
    | Instance
    | EvacuatedDataCentre
    | CrashSuspect
    | RolloutOrder
    | RolloutRecord
    | MalformedItem
)
