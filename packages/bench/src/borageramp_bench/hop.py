"""What an entry adds to a call: the same call with and without it.

Run as ``python -m borageramp_bench.hop``; prints a table. One caller sends
calls one after another, alternately to the upstream and through the entry,
then several callers find the calls a second that one entry's core carries.
"""

import argparse
import os
import statistics
import threading
import time

from borageramp_bench.caller import Caller
from borageramp_bench.fleet import Fleet, FleetPlan, UpstreamPlan, run_fleet

__all__ = ["main"]

SERVICE = "records"


def plan() -> FleetPlan:
    """Return one entry with upstreams that answer at once."""
    return FleetPlan(
        entries={"entry-1": "north"},
        upstreams=tuple(
            UpstreamPlan(service=SERVICE, name=f"u{i}", behaviour={"service_s": 0.0})
            for i in range(4)
        ),
        services={SERVICE: {"hedge_ratio": 0.0}},
        global_={"warmup_s": 0.2},
        entry_settings={
            "heartbeat_interval_s": 0.1,
            "serving_lease_s": 1.5,
            "owner_settle_s": 1.6,
        },
    )


def paired(fleet: Fleet, calls: int) -> dict[str, list[float]]:
    """Send calls alternately with and without the entry; return times."""
    upstream = fleet.tree()["services"][SERVICE]["upstreams"]["u0"]["address"]
    targets = {"direct": upstream, "entry": fleet.entries["entry-1"].caller_address}
    headers = {"Borageramp-Service": SERVICE}
    caller = Caller(first_address=targets["entry"])
    times: dict[str, list[float]] = {name: [] for name in targets}
    for _ in range(calls):
        for name, address in targets.items():
            answer = caller.exchange(address, "GET", "/echo/1", headers)
            times[name].append(answer.total_s)
    return times


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def rate(fleet: Fleet, seconds: float, callers: int) -> tuple[float, float]:
    """Return calls a second, and calls a second of the entry's core time."""
    entry = fleet.entries["entry-1"]
    done = [0] * callers
    until_s = time.monotonic() + seconds

    def work(index: int) -> None:
        caller = Caller(first_address=entry.caller_address)
        headers = {"Borageramp-Service": SERVICE}
        while time.monotonic() < until_s:
            caller.exchange(entry.caller_address, "GET", "/echo/1", headers)
            done[index] += 1

    before_s = cpu_s(entry.process.pid)
    threads = [threading.Thread(target=work, args=(i,)) for i in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used_s = cpu_s(entry.process.pid) - before_s
    return sum(done) / seconds, sum(done) / max(used_s, 1e-9)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    with run_fleet(plan()) as fleet:
        fleet.wait_warm()
        entry = fleet.entries["entry-1"]
        idle_bytes = resident_bytes(entry.process.pid)
        before_s = cpu_s(entry.process.pid)
        time.sleep(3.0)
        idle_share = (cpu_s(entry.process.pid) - before_s) / 3.0
        times = paired(fleet, args.calls)
        per_s, per_core_s = rate(fleet, args.seconds, 4)
    quantiles = {
        name: statistics.quantiles(sorted(t), n=100) for name, t in times.items()
    }
    print(f"{'call':<12}{'p50 ms':>10}{'p99 ms':>10}")
    for name, q in quantiles.items():
        print(f"{name:<12}{q[49] * 1e3:>10.3f}{q[98] * 1e3:>10.3f}")
    added = [(quantiles["entry"][i] - quantiles["direct"][i]) * 1e3 for i in (49, 98)]
    print(f"{'added':<12}{added[0]:>10.3f}{added[1]:>10.3f}")
    print(f"calls a second: {per_s:.0f}; a second of one core: {per_core_s:.0f}")
    print(f"idle entry: {idle_bytes / 1e6:.1f} MB, {idle_share:.2%} of a core")


if __name__ == "__main__":
    main()
