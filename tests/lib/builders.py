"""Builders of test data."""

import random
from typing import Any

from borageramp_core import (
    Balancer,
    BoundKey,
    ConfigurationSnapshot,
    DataCentre,
    LeastExpectedWait,
    Lifecycle,
    ListedEntry,
    LoadReport,
    Ownership,
    PlacementPolicy,
    Service,
    ServicePolicy,
    Submit,
    Suspects,
    Upstream,
    WarmUp,
)


def make_upstream(name: str = "u1", **fields: Any) -> Upstream:
    """Return an upstream that needs no warm-up."""
    values: dict[str, Any] = {
        "service": "records",
        "data_centre": "north",
        "host": "127.0.0.1",
        "port": 1000,
        "warmup_s": 0.0,
        **fields,
    }
    return Upstream(name=name, **values)


def make_service(*upstreams: Upstream, name: str = "records", **policy: Any) -> Service:
    """Return a service with upstreams."""
    return Service(
        name=name, policy=ServicePolicy(**policy), upstreams=tuple(upstreams)
    )


def make_snapshot(
    service: Service, *, out: tuple[str, ...] = ()
) -> ConfigurationSnapshot:
    """Return a snapshot of one service, with data centres out."""
    names = {u.data_centre for u in service.upstreams}
    return ConfigurationSnapshot(
        revision=1,
        data_centres={
            n: DataCentre(name=n, state=Lifecycle.OUT if n in out else Lifecycle.IN)
            for n in names
        },
        services={service.name: service},
    )


def make_balancer(
    service: Service,
    *,
    members: tuple[str, ...] = ("me",),
    member: str = "me",
    settle_s: float = 0.0,
    out: tuple[str, ...] = (),
    suspects: Suspects | None = None,
    warmup: WarmUp | None = None,
    policy: PlacementPolicy | None = None,
    seed: int = 1,
) -> Balancer:
    """Return a balancer of one entry."""
    ownership = Ownership(member=member, settle_s=settle_s)
    ownership.update(members, now_s=0.0)
    return Balancer(
        service=service,
        snapshot=make_snapshot(service, out=out),
        ownership=ownership,
        warmup=warmup or WarmUp(),
        suspects=suspects or Suspects(),
        rng=random.Random(seed),
        policy=policy or LeastExpectedWait(),
    )


def make_submit(request_id: str = "r1", **fields: Any) -> Submit:
    """Return a request with a far deadline."""
    values: dict[str, Any] = {
        "class_name": "normal",
        "deadline_s": 1000.0,
        "fingerprint": request_id,
        **fields,
    }
    return Submit(request_id=request_id, **values)


def make_entry(name: str = "e1", **fields: Any) -> ListedEntry:
    """Return an entry on the list."""
    values: dict[str, Any] = {
        "incarnation": f"{name}-1",
        "data_centre": "north",
        "caller_address": f"{name}:1",
        "peer_address": f"{name}:2",
        "operator_address": f"{name}:3",
        **fields,
    }
    return ListedEntry(name=name, **values)


def make_report(in_flight: int = 0, **fields: Any) -> LoadReport:
    """Return a load report."""
    return LoadReport(in_flight=in_flight, **fields)


def make_key(
    nonce: str = "n1", *, incarnation: str = "me", issued_ms: int = 0
) -> BoundKey:
    """Return a bound key."""
    return BoundKey(incarnation=incarnation, issued_ms=issued_ms, nonce=nonce)


def make_tree(**overrides: Any) -> dict[str, Any]:
    """Return a raw configuration tree with one service of two upstreams."""
    tree: dict[str, Any] = {
        "global": {"warmup_s": 20.0, "slots": 4},
        "data_centres": {"north": {"slots": 5}, "south": {}},
        "services": {
            "records": {
                "warmup_s": 5.0,
                "data_centres": {"north": {"warmup_s": 7.0}},
                "upstreams": {
                    "a": {"address": "127.0.0.1:1001", "data_centre": "north"},
                    "b": {"address": "127.0.0.1:1002", "data_centre": "south"},
                },
            }
        },
    }
    return tree | overrides
