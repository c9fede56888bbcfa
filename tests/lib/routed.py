"""Builders of test data for entries that serve routes."""

import json
import random
from typing import Any

from borageramp_core import LoadReport
from borageramp_core.routing import (
    RATE_LIMIT_BOUNDS,
    FleetState,
    Instance,
    PlacementRequirements,
    RateAllowance,
    RateBounds,
    Registration,
    Route,
    RoutedService,
    RoutingConfig,
    ServicePool,
    ServiceShare,
    WorkEstimate,
)
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_settings import FleetBounds, RoutedSettings

HERE = "north"
AWAY = "south"


def make_route(name: str = "r1", **fields: Any) -> Route:
    """Return an idempotent route to ``records``."""
    values: dict[str, Any] = {
        "host": "a.example",
        "path_prefix": "/",
        "shares": (ServiceShare(service="records"),),
        "idempotent": True,
        "timeout_s": 1.0,
        "objective_s": 0.25,
        "rank": 1,
        "max_runs": 2,
        **fields,
    }
    return Route(name=name, **values)


def make_work(route: Route, *, work_s: float, spread: float = 0.0) -> WorkEstimate:
    """Return the work estimate of a route after 1000 answers.

    Half of them took longer than ``work_s`` by the share ``spread``, half shorter.
    """
    work = WorkEstimate(route=route)
    for i in range(1000):
        work.on_answer(work_s * (1.0 + spread * (-1) ** i), pace=1.0)
    return work


def make_settings(**fields: Any) -> RoutedSettings:
    """Return the settings of an entry."""
    values: dict[str, Any] = {
        "name": "entry-1",
        "data_centre": HERE,
        "caller_address": "127.0.0.1:1001",
        "store_address": "127.0.0.1:1002",
        **fields,
    }
    return RoutedSettings(**values)


def make_instance(name: str = "i1", **fields: Any) -> Instance:
    """Return an instance in this data centre that can be a relay."""
    values: dict[str, Any] = {
        "incarnation": "1",
        "data_centre": HERE,
        "caller_address": "127.0.0.1:1003",
        "check_address": "127.0.0.1:1004",
        "peer_address": "127.0.0.1:1005",
        **fields,
    }
    return Instance(name=name, **values)


def make_config(version: int = 1, *routes: Route) -> RoutingConfig:
    """Return a configuration of one service."""
    return RoutingConfig(
        version=version,
        routes=routes or (make_route(),),
        services={"records": make_routed_service()},
    )


def make_routed_service(**fields: Any) -> RoutedService:
    """Return a service that limits cold upstreams to 20 requests per second."""
    values: dict[str, Any] = {
        "name": "records",
        "health_path": "/healthz",
        "connections": 100,
        "ramp_hz": 20.0,
        **fields,
    }
    return RoutedService(**values)


def make_registration(name: str = "u1", **fields: Any) -> Registration:
    """Return a warm upstream in this data centre."""
    values: dict[str, Any] = {
        "service": "records",
        "data_centre": HERE,
        "host": "127.0.0.1",
        "port": 1000,
        "slots": 4,
        **fields,
    }
    return Registration(id=name, **values)


def make_cold(members: int = 1, *, own: int = 0, **bounds: float) -> RateAllowance:
    """Return the allowance of entry ``own`` of ``members`` entries."""
    cold = RateAllowance(member=f"e{own}", bounds=RateBounds(**bounds))
    cold.update_members(frozenset(f"e{i}" for i in range(members)))
    return cold


def make_limited(members: int = 1, *, own: int = 0) -> RateAllowance:
    """Return the allowance of entry ``own`` of ``members`` for limits named."""
    limited = RateAllowance(member=f"e{own}", bounds=RATE_LIMIT_BOUNDS)
    limited.update_members(frozenset(f"e{i}" for i in range(members)))
    return limited


def make_pool(
    *registrations: Registration,
    out: tuple[str, ...] = (),
    cold: RateAllowance | None = None,
    limited: RateAllowance | None = None,
    seed: int = 1,
    member: str = "e0",
) -> ServicePool:
    """Return a pool of upstreams without load reports."""
    pool = ServicePool(
        name="records",
        member=member,
        data_centre=HERE,
        cold=cold or make_cold(),
        limited=limited or make_limited(),
        rng=random.Random(seed),
    )
    pool.apply(
        registrations,
        settings=make_routed_service(),
        evacuated_data_centres=out,
        now_s=0.0,
    )
    return pool


def make_pools(
    name: str = "e0", *, listed: frozenset[str] = frozenset(), **bounds: Any
) -> PoolRegistry:
    """Return the pools of an entry that sees ``listed`` as the fleet."""
    pools = PoolRegistry(
        member=name,
        data_centre=HERE,
        bounds=FleetBounds(**bounds),
        cold=RateAllowance(member=name, bounds=RateBounds()),
        on_removed=lambda view: None,
        rng=random.Random(1),
        clock=lambda: 0.0,
    )
    pools.apply(FleetState(), entries=listed or frozenset({name}), now_s=0.0)
    return pools


def make_requirements(**fields: Any) -> PlacementRequirements:
    """Return the requirements of a request of 0.1 s of work."""
    values: dict[str, Any] = {"work_s": 0.1, "max_response_s": 10.0, **fields}
    return PlacementRequirements(**values)


def make_report(in_flight: int = 0, **fields: Any) -> LoadReport:
    """Return a report of an upstream with four slots."""
    return LoadReport(in_flight=in_flight, slots=4, **fields)


def upstream_document(**fields: Any) -> dict[str, Any]:
    """Return the document that an upstream writes into the platform's store."""
    return {
        "address": "127.0.0.1:8080",
        "info": {
            "backend": "records",
            "config_version": "v1",
            "zone": HERE,
            "slots": 4,
        },
        "status": {"state": "ready", "seq": 1, "slow_start_s_time": 0},
        "born": 1_700_000_000_000,
        **fields,
    }


def config_document(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a configuration in the format that operators write."""
    spec = {
        "hostname": "a.example",
        "path_prefix": "/r/",
        "kind": "safe",
        "timeout_s": 1,
        "aim_s": 0.25,
        "priority": 2,
        "attempts": 2,
        "backend": "records",
        **route,
    }
    service = {
        "health_path": "/healthz",
        "max_conns": 100,
        "slow_start_s": 3.0,
        "ramp_per_s": 20.0,
    }
    limits = {
        "max_header_bytes": 8192,
        "max_body_bytes": 100_000,
        "header_timeout_s": 5,
        "idle_timeout_s": 20,
    }
    return {
        "config_version": version,
        "resources": [
            {"type": "routes", "metadata": {"name": "r1"}, "spec": spec},
            {"type": "services", "metadata": {"name": "records"}, "spec": service},
            {"type": "limits", "metadata": {"name": "limits"}, "spec": limits},
        ],
    }


def boot_document(**fields: Any) -> dict[str, Any]:
    """Return the settings file of the platform."""
    return {
        "node_name": "front-1",
        "ip": "10.1.0.18",
        "zone": "north",
        "listen": {
            "front": "10.1.0.18:8381",
            "readiness": "10.1.0.18:8388",
            "directory": "10.1.0.18:8383",
        },
        "internal_ports": [7200, 7215],
        "bounds": {"grace_s": 6, "ttl_max_s": 1, "budget_slack": 58},
        "platform": {"address": "10.200.1.7:8384"},
        "novel": {"ignored": True},
        **fields,
    }


def as_bytes(document: Any) -> bytes:
    """Return a document encoded as in the store."""
    return json.dumps(document).encode()
