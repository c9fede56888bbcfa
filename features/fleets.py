"""The fleets that features run against."""

from typing import Any

from borageramp_bench.fleet import FleetPlan, UpstreamPlan

__all__ = ["COLD_S", "PLANS"]

# Upstreams bear one request at once for this long after a start.
COLD_S = 0.5
SERVICE_S = {"records": 0.005, "referrals": 0.03}
CENTRES = ("north", "south", "west")
FAST: dict[str, Any] = {
    "serving_lease_s": 2.0,
    "owner_settle_s": 2.5,
    "address_ttl_s": 0.5,
    "list_lease_s": 3.0,
    "heartbeat_interval_s": 0.3,
}


def _plan(*, linked: bool, entries: int = 3, **service: Any) -> FleetPlan:
    upstreams = [
        UpstreamPlan(
            service=name,
            name=f"{name}-{i}",
            data_centre=CENTRES[i % 3],
            behaviour={
                "service_s": SERVICE_S[name],
                "cold_s": COLD_S,
                "cold_capacity": 1,
            },
        )
        for name, count in (("records", 6), ("referrals", 3))
        for i in range(count)
    ]
    return FleetPlan(
        entries={f"entry-{i + 1}": CENTRES[i % 3] for i in range(entries)},
        upstreams=tuple(upstreams),
        services={
            "records": {"idempotent": True, **service},
            "referrals": {"idempotent": False, **service},
        },
        global_={"warmup_s": 2 * COLD_S + 0.2, "eject_s": 1.0},
        entry_settings=FAST,
        linked=linked,
    )


PLANS = {
    "plain": lambda: _plan(linked=False, max_body_bytes=2000),
    "linked": lambda: _plan(linked=True),
    "wide": lambda: _plan(linked=True, entries=8),
}
