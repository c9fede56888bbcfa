"""The operators' configuration tree.

Levels from the outermost: ``global``, a data centre, a service, a service
within a data centre. Each inherits from the level before it and overrides
only what differs.
"""

from ipaddress import ip_address
from typing import Annotated, Any

from pydantic import Field, field_validator

from borageramp_core import Lifecycle
from borageramp_settings._internal.base import HostPort, Name, StrictModel

__all__ = [
    "DataCentreTree",
    "GlobalTree",
    "ServiceDataCentreTree",
    "ServiceOverrides",
    "ServiceTree",
    "Tree",
    "UpstreamOverrides",
    "UpstreamTree",
    "WorkspaceTree",
]

Positive = Annotated[float, Field(gt=0)]
# The tree is shown to operators and sent to peers, so it has no key itself.
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Share = Annotated[float, Field(ge=0, le=1)]


class UpstreamOverrides(StrictModel):
    """Settings of an upstream, which any level may give."""

    slots: int | None = Field(
        default=None, ge=1, description="Requests that an upstream runs at once."
    )
    connections: int | None = Field(
        default=None, ge=1, description="Connections that an upstream accepts."
    )
    warmup_s: float | None = Field(
        default=None, ge=0, description="Time until a cold upstream bears its share."
    )
    cold_concurrency: int | None = Field(
        default=None,
        ge=1,
        description="Requests at once on a just started upstream, over all entries.",
    )
    probe_interval_s: Positive | None = Field(
        default=None, description="Time between probes of an upstream, fleet-wide."
    )
    eject_s: Positive | None = Field(
        default=None, description="Length of a first ejection."
    )


class ServiceOverrides(StrictModel):
    """Settings of a service, which ``global`` and the service may give."""

    default_deadline_s: Positive | None = Field(
        default=None, description="Deadline of a request that names none."
    )
    max_deadline_s: Positive | None = Field(
        default=None, description="Longest deadline allowed."
    )
    max_body_bytes: int | None = Field(
        default=None, ge=0, description="Largest request body."
    )
    max_attempts: int | None = Field(
        default=None, ge=1, description="Upstreams tried for one request."
    )
    retry_ratio: Share | None = Field(
        default=None, description="Retries as a share of first tries."
    )
    hedge_ratio: Share | None = Field(
        default=None, description="Hedges as a share of first tries."
    )
    urgent_hedge_ratio: Share | None = Field(
        default=None, description="Hedges of urgent classes, of their first tries."
    )
    hedge_quantile: Share | None = Field(
        default=None, description="Latency quantile after which a hedge starts."
    )
    connect_timeout_s: Positive | None = Field(
        default=None, description="Time for opening a connection."
    )
    queue_limit: int | None = Field(
        default=None, ge=0, description="Requests that wait at one entry."
    )
    class_weights: dict[Name, int] | None = Field(
        default=None, description="Share of each class while several wait."
    )
    urgent_classes: tuple[Name, ...] | None = Field(
        default=None, description="Classes served before the weighted ones."
    )
    urgent_share: Share | None = Field(
        default=None, description="Most turns urgent classes take while others wait."
    )
    default_class: Name | None = Field(
        default=None, description="Class of a request that names none."
    )
    eject_max_share: Share | None = Field(
        default=None, description="Share of upstreams that may be ejected at once."
    )
    key_window_s: Positive | None = Field(
        default=None, description="Time after its issue for which a key is good."
    )
    kept_answer_bytes: int | None = Field(
        default=None, ge=0, description="Largest answer kept for a repeat."
    )
    accept_undated_keys: bool | None = Field(
        default=None, description="Whether plain keys without an issue time are taken."
    )


class GlobalTree(UpstreamOverrides, ServiceOverrides):
    """The outermost level."""

    probe_rate_hz: Positive = Field(
        default=50.0, description="Probes a second that all entries together send."
    )


class DataCentreTree(UpstreamOverrides):
    """The level of a data centre."""

    state: Lifecycle = Field(
        default=Lifecycle.IN, description="`out` stops new work to it."
    )


class ServiceDataCentreTree(UpstreamOverrides):
    """The level of a service within a data centre."""


class UpstreamTree(StrictModel):
    """One upstream of a service."""

    address: HostPort = Field(description="IP number and port.")
    data_centre: Name = Field(description="Where it runs.")
    state: Lifecycle = Field(
        default=Lifecycle.IN, description="`out` stops new work to it."
    )

    @field_validator("address")
    @classmethod
    def _is_reachable_address(cls, value: str) -> str:
        host, _, port = value.rpartition(":")
        ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError("port out of range")
        return value


class ServiceTree(UpstreamOverrides, ServiceOverrides):
    """The level of a service."""

    idempotent: bool = Field(
        default=True, description="Whether a request may run more than once."
    )
    public: bool = Field(
        default=False, description="Whether requests need no key of a workspace."
    )
    data_centres: dict[Name, ServiceDataCentreTree] = Field(
        default_factory=dict, description="What differs within a data centre."
    )
    upstreams: dict[Name, UpstreamTree] = Field(
        default_factory=dict, description="The upstreams by name."
    )


class WorkspaceTree(StrictModel):
    """A customer whose callers are identified by keys."""

    key_digests: tuple[Digest, ...] = Field(
        default=(), description="SHA-256 digests of its keys, in hexadecimal."
    )
    class_name: Name | None = Field(
        default=None,
        description="Class of its requests, at services that have this class.",
    )


class Tree(StrictModel):
    """The whole configuration tree."""

    global_: GlobalTree = Field(
        default_factory=GlobalTree, alias="global", description="The outermost level."
    )
    data_centres: dict[Name, DataCentreTree] = Field(
        default_factory=dict, description="Data centres by name."
    )
    services: dict[Name, ServiceTree] = Field(
        default_factory=dict, description="Services by name."
    )

    workspaces: dict[Name, WorkspaceTree] = Field(
        default_factory=dict,
        description="Workspaces by name; with any, requests need a key.",
    )

    @field_validator("global_", "data_centres", "services", "workspaces", mode="before")
    @classmethod
    def _empty_level(cls, value: Any) -> Any:
        return {} if value is None else value
