"""What an entry that serves routes knows: configuration, upstreams, instances."""

from collections.abc import Mapping
from dataclasses import dataclass, field

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
]


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service's share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests of one host below one path, and how they are served.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Which requests it holds for.
    shares : tuple of ServiceShare
        Services that serve it.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time for a final answer.
    objective_s : float
        Time within which an answer is worth most to callers.
    rank : int
        Priority; 0 is the highest.
    max_runs : int
        Upstreams on which one request may run.
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
        Connections that an upstream accepts in all.
    ramp_hz : float
        Requests a second that a cold upstream bears, over all entries.
    """

    name: str
    health_path: str
    connections: int
    ramp_hz: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on what callers send.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header section and body.
    header_timeout_s : float
        Longest time for sending the header section.
    idle_timeout_s : float
        Longest time without a request on a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutingConfig:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Grows with each change.
    routes : tuple of Route
        All routes.
    services : mapping of str to RoutedService
        Services by name.
    limits : CallerLimits
        Limits on callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, RoutedService] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """What an upstream registered of itself.

    Attributes
    ----------
    id : str
        Name of the upstream.
    service, data_centre : str
        Service that it serves, and where it runs.
    host, port : str, int
        Its address by IP number.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it wants no new work.
    started_ms : int
        Time of its start, in milliseconds since the epoch; names the start.
    warmup_left_s : float
        Seconds for which it stays cold, when it wrote this.
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


@dataclass(frozen=True, kw_only=True, slots=True)
class Instance:
    """An instance of this system that takes callers.

    Attributes
    ----------
    name : str
        Name of the instance.
    incarnation : str
        Name of its present process.
    data_centre : str
        Where it runs.
    caller_address, check_address : str
        ``host:port`` for callers, and for checks of its readiness.
    peer_address : str or None
        ``host:port`` for other instances; ``None`` if it takes none.
    capacity : float
        What its machine can carry, relative to that of others.
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
    """Operators have taken a data centre out of service.

    Attributes
    ----------
    data_centre : str
        Its name.
    """

    data_centre: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashSuspect:
    """A request under which upstreams died at another instance.

    Attributes
    ----------
    fingerprint : str
        Name of the request.
    upstreams : tuple of str
        Starts of upstreams that died while they ran it.
    """

    fingerprint: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class MalformedItem:
    """An item of the store that makes no sense.

    Attributes
    ----------
    problem : str
        What is wrong with it.
    """

    problem: str


StateItem = (
    RoutingConfig
    | Registration
    | Instance
    | EvacuatedDataCentre
    | CrashSuspect
    | MalformedItem
)
