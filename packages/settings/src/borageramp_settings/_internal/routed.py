"""Settings of an entry that serves routes."""

from typing import Annotated

from msgspec import Meta

from borageramp_settings._internal.structs import StrictStruct

__all__ = ["FleetBounds", "HedgingSettings", "RoutedSettings"]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$")]
HostPort = Annotated[
    str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class FleetBounds(StrictStruct, frozen=True, kw_only=True):
    """Bounds that hold over all entries together.

    Attributes
    ----------
    retry_ratio : float
        Repeated tries, as a share of the requests.
    retry_slack : float
        Repeated tries beyond that, in the window of the bound.
    probes_hz : float
        Probes of one upstream a second.
    cold_overage : float
        Factor on the rate that a cold upstream bears.
    cold_slack : float
        Requests a second to it beyond that.
    quota_window_s : float
        Length of the windows in which the quota of a workspace holds, in seconds.
    quota_overage : float
        Requests beyond the quota in a window, as a share of it.
    quota_slack : float
        Requests in a window beyond that.
    exposure_share : float
        Share of a service's requests that a bad software version may get.
    exposure_slack : float
        Requests that it may get beyond that.
    rollback_s : float
        Time in seconds after which a bad version gets no more requests.
    """

    retry_ratio: NotNegative = 0.2
    retry_slack: NotNegative = 20.0
    probes_hz: NotNegative = 20.0
    cold_overage: Annotated[float, Meta(ge=1)] = 1.5
    cold_slack: NotNegative = 5.0
    quota_window_s: Positive = 5.0
    quota_overage: NotNegative = 0.1
    quota_slack: NotNegative = 20.0
    exposure_share: NotNegative = 0.1
    exposure_slack: NotNegative = 50.0
    rollback_s: Positive = 5.0


class HedgingSettings(StrictStruct, frozen=True, kw_only=True):
    """Extra work on upstreams that may be spent on the slowest answers.

    Attributes
    ----------
    share : float
        Second attempts beside a slow first one, as a share of the requests that may be
        repeated, over all entries. They count against the retry bounds too.
    services : dict of str to float
        Shares of single services by name, in place of ``share``.
    """

    share: Share = 0.05
    services: dict[str, Share] = {}


class RoutedSettings(StrictStruct, frozen=True, kw_only=True):
    """Settings of one process that serves routes.

    Attributes
    ----------
    name, data_centre : str
        Name of the instance, and where it runs.
    caller_address : str
        Where callers connect.
    store_address : str
        Address of the key-value service.
    directory_address : str or None
        Where callers ask for addresses.
    check_address : str or None
        Where readiness is asked for.
    peer_address : str or None
        Where other instances ask for the store's changes; without it, this one
        asks the store itself, and no other.
    metrics_address : str or None
        Where metrics are read.
    directory_ttl_s : float
        How long callers may keep addresses.
    stop_timeout_s : float
        Time from the start of a planned stop until the process is killed.
    leave_s : float
        Time after the start of a planned stop until callers have fresh
        addresses; new connections are taken until then.
    absence_s : float
        Time within which callers are no longer given the address of an instance
        that has gone; its lease follows from it.
    rejoin_s : float
        Time after an outage of the store within which upstreams register again;
        those still missing then are gone.
    gather_s : float
        Time for which changes of the store are gathered; each fetch is a call
        that the store counts.
    watch_wait_s : float
        Longest time for which a watch of the store waits for changes: a watch whose
        answer was lost is noticed only then.
    cores : float
        Processor cores for this process; more callers, and more work for other
        instances, go where there are more.
    link_mbps : float
        Bandwidth of this machine in Mbit/s.
    memory_mb : float or None
        Memory of this process in MB; ``None`` leaves the budgets of memory at their
        defaults.
    pipelined_requests : int
        Most requests of one connection that run at the same time, if they may be
        repeated; with 1, one is served after the other.
    hedging : HedgingSettings or None
        Limit on hedges; with ``None``, they start once an answer is late, and only the
        retry bounds limit them.
    bounds : FleetBounds
        Bounds over all entries.
    """

    name: Name
    data_centre: Name
    caller_address: HostPort
    store_address: HostPort
    directory_address: HostPort | None = None
    check_address: HostPort | None = None
    peer_address: HostPort | None = None
    metrics_address: HostPort | None = None
    directory_ttl_s: Positive = 2.0
    stop_timeout_s: Positive = 6.0
    leave_s: Positive = 2.0
    absence_s: Positive = 6.0
    rejoin_s: Positive = 2.0
    gather_s: NotNegative = 0.5
    watch_wait_s: Positive = 1.5
    cores: Positive = 1.0
    link_mbps: Positive = 1000.0
    memory_mb: Positive | None = None
    pipelined_requests: Annotated[int, Meta(ge=1)] = 8
    hedging: HedgingSettings | None = None
    bounds: FleetBounds = FleetBounds()
