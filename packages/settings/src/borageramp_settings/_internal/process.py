"""Settings of one process, from its file and flags."""

from pathlib import Path
from typing import Annotated, Self

from pydantic import Field, model_validator

from borageramp_settings._internal.base import (
    HostPort,
    Name,
    StrictModel,
    validate,
)
from borageramp_settings._internal.yaml_text import parse_yaml

__all__ = ["EntrySettings", "load_entry_settings"]

Positive = Annotated[float, Field(gt=0)]


class EntrySettings(StrictModel):
    """Settings of an entry."""

    name: Name = Field(description="Name of the instance.")
    data_centre: Name = Field(description="Data centre where it runs.")
    caller_address: HostPort = Field(description="Where callers connect.")
    operator_address: HostPort = Field(description="Where operators connect.")
    peer_address: HostPort = Field(description="Where other entries connect.")
    peer_listen_address: HostPort | None = Field(
        default=None,
        description="Where to listen for peers, if not at `peer_address`.",
    )
    store_endpoints: tuple[HostPort, ...] = Field(
        min_length=1, description="Addresses of the key-value service."
    )
    seeds: tuple[HostPort, ...] = Field(
        default=(), description="Peer addresses to try while the store is down."
    )
    heartbeat_interval_s: Positive = Field(
        default=0.5, description="Time between heartbeats to each peer."
    )
    heartbeat_timeout_s: Positive = Field(
        default=0.5, description="Time for the answer to a heartbeat."
    )
    serving_lease_s: Positive = Field(
        default=2.5, description="How long a confirmation of the revision counts."
    )
    store_poll_interval_s: Positive = Field(
        default=1.0, description="Time between reads that confirm the revision."
    )
    store_timeout_s: Positive = Field(
        default=1.0, description="Time for an answer from the store."
    )
    list_lease_s: Positive = Field(
        default=6.0, description="Lease of this entry's place on the list."
    )
    owner_settle_s: Positive = Field(
        default=4.0, description="Wait of a new owner of an upstream."
    )
    address_ttl_s: Positive = Field(
        default=2.0, description="How long callers may keep addresses."
    )
    drain_s: Positive = Field(
        default=30.0, description="Longest wait for requests at a planned stop."
    )
    seed: int | None = Field(
        default=None, description="Seed of random choices; unset for a fresh one."
    )

    @model_validator(mode="after")
    def _times_fit(self) -> Self:
        if self.owner_settle_s <= self.serving_lease_s:
            raise ValueError("owner_settle_s must be above serving_lease_s")
        if self.serving_lease_s < 2 * self.heartbeat_interval_s:
            raise ValueError(
                "serving_lease_s must be at least two times heartbeat_interval_s"
            )
        return self


def load_entry_settings(path: Path, overrides: dict[str, object]) -> EntrySettings:
    """Read an entry's settings.

    Parameters
    ----------
    path : Path
        YAML file.
    overrides : dict
        Values from flags, which go before the file.

    Raises
    ------
    SettingsError
        With every fault and its path.
    OSError
        If the file cannot be read.
    """
    raw = parse_yaml(path.read_text(encoding="utf-8"))
    if isinstance(raw, dict):
        raw = raw | overrides
    return validate(EntrySettings, raw)
