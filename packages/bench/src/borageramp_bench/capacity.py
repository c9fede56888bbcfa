"""Slopes for docs/CAPACITY.md: what grows with entries, services and upstreams.

Run as ``python -m borageramp_bench.capacity``; each section can be run alone
by name: ``decisions``, ``configuration``, ``members``, ``state``, ``fleet``,
``changes``.
"""

import argparse
import random
import resource
import time
import uuid
from collections.abc import Callable, Iterator
from typing import Any

import requests

from borageramp_bench.fleet import Fleet, FleetPlan, UpstreamPlan, run_fleet
from borageramp_bench.hop import cpu_s, resident_bytes
from borageramp_core import (
    AttemptResult,
    Balancer,
    BoundKey,
    ClaimTable,
    ConfigurationSnapshot,
    Finished,
    Ownership,
    Placed,
    Service,
    ServicePolicy,
    Submit,
    Suspects,
    Upstream,
    WarmUp,
)
from borageramp_settings import Resolver

__all__ = ["main"]

DECISIONS = 3000
IDLE_S = 8.0


def resident_mb() -> float:
    """Return the most memory that this process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def timed_us(work: Callable[[], Any], count: int) -> float:
    """Return the processor time of one call, in microseconds."""
    started_s = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - started_s) / count * 1e6


def decisions() -> Iterator[str]:
    """Time one decision, by upstreams of a service."""
    for upstreams in (20, 200, 2000):
        balancer = _balancer(upstreams)
        number = iter(range(10_000_000))

        def once(balancer: Balancer = balancer, number: Any = number) -> None:
            request_id = str(next(number))
            submit = Submit(request_id=request_id, class_name="normal", deadline_s=1e9)
            placed = balancer.submit(submit, now_s=1.0)
            if not isinstance(placed, Placed):
                raise RuntimeError(f"not placed: {placed}")
            finished = Finished(
                request_id=request_id, result=AttemptResult.ANSWERED, latency_s=0.01
            )
            balancer.finish(finished, now_s=1.0)

        count = max(200, DECISIONS * 20 // upstreams)
        yield f"{upstreams:>6} upstreams: {timed_us(once, count):>9.1f} us a decision"


def _balancer(upstreams: int) -> Balancer:
    specs = tuple(
        Upstream(
            name=f"u{i}",
            service="s",
            data_centre="a",
            host="127.0.0.1",
            port=1,
            warmup_s=0.0,
        )
        for i in range(upstreams)
    )
    service = Service(name="s", policy=ServicePolicy(), upstreams=specs)
    ownership = Ownership(member="e", settle_s=0.0)
    ownership.update(["e"], now_s=0.0)
    return Balancer(
        service=service,
        snapshot=ConfigurationSnapshot(revision=1, services={"s": service}),
        ownership=ownership,
        warmup=WarmUp(),
        suspects=Suspects(),
        rng=random.Random(1),
    )


def _tree(services: int, upstreams: int) -> dict[str, Any]:
    return {
        "global": {},
        "data_centres": {f"dc{i}": {} for i in range(15)},
        "services": {
            f"service-{s}": {
                "upstreams": {
                    f"u{u}": {
                        "address": f"10.{s // 250}.{s % 250}.{u + 1}:80",
                        "data_centre": f"dc{u % 15}",
                    }
                    for u in range(upstreams)
                }
            }
            for s in range(services)
        },
    }


def configuration() -> Iterator[str]:
    """Time a whole load and a change of one service, by services."""
    for services in (3, 100, 890):
        tree = _tree(services, 35)
        resolver = Resolver()
        before_mb = resident_mb()
        whole_us = timed_us(lambda: resolver.resolve(tree, revision=1), 1)  # noqa: B023
        grown_mb = resident_mb() - before_mb
        changed = dict(tree)
        changed["services"] = dict(tree["services"])
        service = changed["services"]["service-1"]
        changed["services"]["service-1"] = {**service, "slots": 5}
        change_us = timed_us(lambda: resolver.resolve(changed, revision=2), 1)  # noqa: B023
        centre = dict(changed)
        centre["data_centres"] = {**changed["data_centres"], "dc1": {"state": "out"}}
        centre_us = timed_us(lambda: resolver.resolve(centre, revision=3), 1)  # noqa: B023
        yield (
            f"{services:>4} services, {services * 35:>6} upstreams: load"
            f" {whole_us / 1000:>8.1f} ms, one service changed"
            f" {change_us / 1000:>6.1f} ms, data centre out"
            f" {centre_us / 1000:>6.1f} ms, grown by {grown_mb:>5.1f} MB"
        )


def members() -> Iterator[str]:
    """Time a change of the member list, by upstreams known."""
    for upstreams in (100, 1000, 10_000):
        ownership = Ownership(member="e0", settle_s=0.0)
        names = [f"e{i}" for i in range(18)]
        ownership.update(names, now_s=0.0)
        for i in range(upstreams):
            ownership.owner(f"s/u{i}", now_s=0.0)
        cost_us = timed_us(lambda: ownership.update(names[:-1], now_s=1.0), 1)  # noqa: B023
        yield f"{upstreams:>6} upstreams: {cost_us / 1000:>8.1f} ms a member change"


def state() -> Iterator[str]:
    """Measure the memory of balancers and claims."""
    resolver = Resolver()
    snapshot = resolver.resolve(_tree(890, 35), revision=1).snapshot
    ownership = Ownership(member="e", settle_s=0.0)
    ownership.update([f"e{i}" for i in range(18)], now_s=0.0)
    warmup, suspects = WarmUp(), Suspects()
    before_mb = resident_mb()
    balancers = [
        Balancer(
            service=service,
            snapshot=snapshot,
            ownership=ownership,
            warmup=warmup,
            suspects=suspects,
            rng=random.Random(1),
        )
        for service in snapshot.services.values()
    ]
    for balancer in balancers:
        for upstream in balancer.service.upstreams:
            warmup.state(upstream.id, now_s=0.0)
            ownership.owner(upstream.id, now_s=0.0)
    grown_mb = resident_mb() - before_mb
    yield f"{len(balancers)} services, 31150 upstreams: grown by {grown_mb:.1f} MB"
    before_mb = resident_mb()
    table = ClaimTable(incarnation="e", started_at_s=0.0, max_claims=100_000)
    for i in range(50_000):
        key = BoundKey(incarnation="e", issued_ms=0, nonce=str(i))
        table.admit(key, digest="d" * 24, now_s=0.0)
    yield f"50000 keys without answers: grown by {resident_mb() - before_mb:.1f} MB"


def fleet() -> Iterator[str]:
    """Measure the control cost of idle entries, by entries."""
    for entries in (3, 6, 12, 18):
        plan = FleetPlan(
            entries={f"entry-{i}": "north" for i in range(entries)},
            upstreams=tuple(
                UpstreamPlan(service="records", name=f"u{i}") for i in range(3)
            ),
            services={"records": {}},
            linked=True,
        )
        with run_fleet(plan) as running:
            yield _fleet_line(running, entries)


def changes() -> Iterator[str]:
    """Measure the cost of configuration changes, by changes a second."""
    plan = FleetPlan(
        entries={f"entry-{i}": "north" for i in range(3)},
        upstreams=tuple(
            UpstreamPlan(service="records", name=f"u{i}") for i in range(3)
        ),
        services={"records": {}},
    )
    with run_fleet(plan) as running:
        for rate_hz in (0, 1, 4):
            yield _changes_line(running, rate_hz)


def _changes_line(running: Fleet, rate_hz: int) -> str:
    writer, *others = running.entries.values()
    pids = [e.process.pid for e in others]
    used_s, writer_s = sum(cpu_s(p) for p in pids), cpu_s(writer.process.pid)
    took_s: list[float] = []
    started_at_s = time.monotonic()
    for number in range(int(rate_hz * IDLE_S)):
        due_s = number / rate_hz - (time.monotonic() - started_at_s)
        time.sleep(max(0.0, due_s))
        began_s = time.monotonic()
        _change_slots(writer.operator_address, 3 + number % 4)
        took_s.append(time.monotonic() - began_s)
    time.sleep(max(0.0, IDLE_S - (time.monotonic() - started_at_s)))
    used_s = sum(cpu_s(p) for p in pids) - used_s
    writer_s = cpu_s(writer.process.pid) - writer_s
    slowest_ms = max(took_s, default=0.0) * 1000
    return (
        f"{rate_hz} changes/s: {used_s / len(pids) / IDLE_S:>6.2%} of a core,"
        f" at the writing entry {writer_s / IDLE_S:>6.2%};"
        f" accepted within {slowest_ms:.0f} ms"
    )


def _change_slots(address: str, slots: int) -> None:
    path = ["services", "records", "slots"]
    body = {
        "operation_id": uuid.uuid4().hex,
        "assignments": [{"path": path, "value": slots}],
    }
    url = f"http://{address}/v1/configuration"
    response = requests.post(url, json=body, timeout=10)
    response.raise_for_status()


def _fleet_line(running: Fleet, entries: int) -> str:
    links = running.links
    if links is None:
        raise RuntimeError("the fleet is not linked")
    pids = [e.process.pid for e in running.entries.values()]
    time.sleep(2.0)
    calls = running.store_control("counts")
    used_s = sum(cpu_s(p) for p in pids)
    moved_bytes = links.moved_bytes
    time.sleep(IDLE_S)
    used_s = sum(cpu_s(p) for p in pids) - used_s
    moved_bytes = links.moved_bytes - moved_bytes
    after = running.store_control("counts")
    reads = (after["reads"] - calls["reads"]) / IDLE_S
    writes = (after["writes"] - calls["writes"]) / IDLE_S
    memory_mb = sum(resident_bytes(p) for p in pids) / entries / 1e6
    return (
        f"{entries:>3} entries: {used_s / IDLE_S / entries:>6.2%} of a core,"
        f" {moved_bytes / IDLE_S / entries / 1000:>6.2f} KB/s,"
        f" {memory_mb:>5.1f} MB each; store {reads:>5.1f} reads/s,"
        f" {writes:>5.1f} writes/s, {after['watches']} watches begun"
    )


SECTIONS = {
    "decisions": decisions,
    "configuration": configuration,
    "members": members,
    "state": state,
    "fleet": fleet,
    "changes": changes,
}


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sections", nargs="*", metavar="|".join(SECTIONS))
    chosen = parser.parse_args().sections or list(SECTIONS)
    for name in chosen:
        print(f"-- {(SECTIONS[name].__doc__ or '').strip()}")
        for line in SECTIONS[name]():
            print(line, flush=True)


if __name__ == "__main__":
    main()
