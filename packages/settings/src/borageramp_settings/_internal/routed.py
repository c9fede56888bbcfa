"""Settings of an entry that serves routes."""

from typing import Annotated

from pydantic import Field

from borageramp_settings._internal.base import HostPort, Name, StrictModel

__all__ = ["FleetBounds", "RoutedSettings"]

Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]


class FleetBounds(StrictModel):
    """Bounds that hold over all entries together."""

    retry_ratio: NotNegative = Field(
        default=0.2, description="Repeated tries, as a share of the requests."
    )
    retry_slack: NotNegative = Field(
        default=20.0,
        description="Repeated tries beyond that, in the window of the bound.",
    )
    probes_hz: NotNegative = Field(
        default=20.0, description="Probes of one upstream a second."
    )
    cold_overage: Annotated[float, Field(ge=1)] = Field(
        default=1.5, description="Factor on the rate that a cold upstream bears."
    )
    cold_slack: NotNegative = Field(
        default=5.0, description="Requests a second to it beyond that."
    )


class RoutedSettings(StrictModel):
    """Settings of one process that serves routes."""

    name: Name = Field(description="Name of the instance.")
    data_centre: Name = Field(description="Data centre where it runs.")
    caller_address: HostPort = Field(description="Where callers connect.")
    directory_address: HostPort | None = Field(
        default=None, description="Where callers ask for addresses."
    )
    check_address: HostPort | None = Field(
        default=None, description="Where readiness is asked for."
    )
    peer_address: HostPort | None = Field(
        default=None,
        description="Where other instances ask for the store's changes; without "
        "it, this one asks the store itself, and no other.",
    )
    metrics_address: HostPort | None = Field(
        default=None, description="Where metrics are read."
    )
    store_address: HostPort = Field(description="Address of the key-value service.")
    directory_ttl_s: Positive = Field(
        default=2.0, description="How long callers may keep addresses."
    )
    drain_s: Positive = Field(
        default=5.0, description="Time for a planned stop, before it is forced."
    )
    leave_s: Positive = Field(
        default=2.0,
        description="Time after the start of a planned stop until callers have "
        "fresh addresses; new connections are taken until then.",
    )
    absence_s: Positive = Field(
        default=6.0,
        description="Time within which callers are no longer given the address of "
        "an instance that has gone; its lease follows from it.",
    )
    rejoin_s: Positive = Field(
        default=2.0,
        description="Time after an outage of the store within which upstreams "
        "register again; those still missing then are gone.",
    )
    gather_s: NotNegative = Field(
        default=0.5,
        description="Time for which changes of the store are gathered; each "
        "fetch is a call that the store counts.",
    )
    cores: Positive = Field(
        default=1.0,
        description="Processor cores for this process; more callers, and more work "
        "for other instances, go where there are more.",
    )
    link_mbps: Positive = Field(
        default=1000.0, description="Bandwidth of this machine in Mbit/s."
    )
    bounds: FleetBounds = Field(
        default=FleetBounds(), description="Bounds over all entries."
    )
