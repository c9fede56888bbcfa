"""Prints the tables: policies side by side, by load and disturbance."""

import argparse
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from borageramp_bench.policies.experiment import POLICIES, Experiment
from borageramp_bench.policies.plot import plot_rows
from borageramp_bench.policies.records import CLASSES, Outcome, Row, Size

SIZES = {
    "records": Size(name="records", entries=16, upstreams=17, slots=6, delay_s=0.001),
    "referrals": Size(
        name="referrals", entries=16, upstreams=7, slots=6, delay_s=0.001
    ),
    "documents": Size(
        name="documents", entries=16, upstreams=6, slots=6, delay_s=0.001
    ),
    "catalogue": Size(
        name="catalogue", entries=16, upstreams=20, slots=3, delay_s=0.0005
    ),
    "payments": Size(
        name="payments", entries=16, upstreams=10, slots=3, delay_s=0.0005
    ),
    "archive": Size(name="archive", entries=16, upstreams=8, slots=3, delay_s=0.0005),
}
DISTURB_AT_S = 1.0
BURST_S = 0.02
BURST_FACTOR = 3.0
COLD_S = 0.4
NOTICE_S = 0.1


def calm(run: Experiment) -> None:
    """Disturb nothing."""


def stragglers(run: Experiment) -> None:
    """Make two upstreams ten times slower."""

    def slow() -> None:
        for name in list(run.upstreams)[:2]:
            run.upstreams[name].slow_factor = 10.0

    run.clock.later(DISTURB_AT_S, slow)


def fail_fast(run: Experiment) -> None:
    """Make one upstream fail at once."""
    victim = next(iter(run.upstreams.values()))
    taken: dict[str, int] = {}

    def fail() -> None:
        victim.fails = True

    def count(name: str) -> None:
        taken[name] = victim.taken
        taken[f"all {name}"] = sum(u.taken for u in run.upstreams.values())

    def tell() -> None:
        count("end")
        whole = max(1, taken["all end"] - taken["all after"])
        run.outcome.failing_share = (taken["end"] - taken["after"]) / whole

    run.clock.later(DISTURB_AT_S, fail)
    run.clock.later(DISTURB_AT_S + 1.0, lambda: count("after"))
    run.clock.later(DISTURB_AT_S + 2.0, tell)


def burst(run: Experiment) -> None:
    """Send three times the load for 20 ms, five times."""

    def set_burst(factor: float) -> None:
        run.burst = factor

    for number in range(5):
        at_s = DISTURB_AT_S + 0.3 * number
        run.clock.later(at_s, lambda: set_burst(BURST_FACTOR))
        run.clock.later(at_s + BURST_S, lambda: set_burst(1.0))


def centre_out(run: Experiment) -> None:
    """Take a data centre out for half a second; it returns cold."""

    def back() -> None:
        for upstream in run.upstreams.values():
            if upstream.spec.data_centre == "a":
                upstream.restart(cold_s=COLD_S)
        run.set_out("")

    run.clock.later(DISTURB_AT_S, lambda: run.set_out("a"))
    run.clock.later(DISTURB_AT_S + 0.5, back)
    run.clock.later(run.seconds, lambda: _note_cold(run))


def cold_again(run: Experiment) -> None:
    """Turn two upstreams cold without a word."""

    def cold() -> None:
        for upstream in list(run.upstreams.values())[:2]:
            upstream.restart(cold_s=COLD_S)

    def forget() -> None:
        for upstream in run.upstreams.values():
            upstream.most_cold = 0

    run.clock.later(DISTURB_AT_S, cold)
    run.clock.later(DISTURB_AT_S + NOTICE_S, forget)
    run.clock.later(run.seconds, lambda: _note_cold(run))


def _note_cold(run: Experiment) -> None:
    run.outcome.most_cold = max(u.most_cold for u in run.upstreams.values())


DISTURBANCES: dict[str, Callable[[Experiment], None]] = {
    "calm": calm,
    "stragglers": stragglers,
    "fail fast": fail_fast,
    "burst": burst,
    "centre out": centre_out,
    "cold again": cold_again,
}


def run_one(
    size: str, disturbance: str, load: float, policy: str, seconds: float, seed: int
) -> Row:
    """Run one experiment and return its line."""
    experiment = Experiment(
        size=SIZES[size], policy=policy, load=load, seconds=seconds, seed=seed
    )
    DISTURBANCES[disturbance](experiment)
    outcome = experiment.run()
    everything = [x for times in outcome.latencies_s.values() for x in times]
    urgent = outcome.latencies_s.get("urgent", [])
    offered = outcome.offered
    return Row(
        size=size,
        disturbance=disturbance,
        load=load,
        policy=policy,
        p50_ms=_quantile_ms(everything, 0.5),
        p99_ms=_quantile_ms(everything, 0.99),
        p999_ms=_quantile_ms(everything, 0.999),
        urgent_p99_ms=_quantile_ms(urgent, 0.99),
        urgent_lost=offered.get("urgent", 0) - outcome.served.get("urgent", 0),
        served=_weighted_share(outcome),
        probes=outcome.probes / max(1, sum(offered.values())),
        most_cold=outcome.most_cold,
        failing_share=outcome.failing_share,
    )


def _weighted_share(outcome: Outcome) -> float:
    offered = sum(w * outcome.offered.get(n, 0) for n, (_, w) in CLASSES.items())
    served = sum(w * outcome.served.get(n, 0) for n, (_, w) in CLASSES.items())
    return served / max(1.0, offered)


def _quantile_ms(values: list[float], share: float) -> float:
    if len(values) < 2:
        return float("nan")
    if share == 0.5:
        return statistics.median(values) * 1000
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] * 1000


def main() -> None:
    """Run the chosen experiments and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", nargs="*", default=["records", "catalogue"])
    parser.add_argument("--disturbances", nargs="*", default=list(DISTURBANCES))
    parser.add_argument(
        "--loads", nargs="*", type=float, default=[0.5, 0.7, 0.85, 0.95]
    )
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--plot", metavar="FILE", help="draw the p99 into a picture")
    args = parser.parse_args()
    calls = [
        (size, disturbance, load, policy, args.seconds, args.seed)
        for size in args.sizes
        for disturbance in args.disturbances
        for load in args.loads
        for policy in args.policies
    ]
    print(
        f"{'service':<10}{'disturbance':<12}{'load':>5} {'policy':<12}{'p50':>7}"
        f"{'p99':>8}{'p99.9':>8}{'urgent99':>9}{'lost':>5}{'served':>8}"
        f"{'probes':>7}{'cold':>5}{'failing':>8}"
    )
    rows: list[Row] = []
    with ProcessPoolExecutor(args.processes) as pool:
        for row in pool.map(run_one, *zip(*calls, strict=True)):
            print(
                f"{row.size:<10}{row.disturbance:<12}{row.load:>5.2f} "
                f"{row.policy:<12}{row.p50_ms:>7.1f}{row.p99_ms:>8.1f}"
                f"{row.p999_ms:>8.1f}{row.urgent_p99_ms:>9.1f}{row.urgent_lost:>5}"
                f"{row.served:>8.2%}{row.probes:>7.2f}{row.most_cold:>5}"
                f"{row.failing_share:>8.2%}",
                flush=True,
            )
            rows.append(row)
    if args.plot:
        plot_rows(rows, args.plot)


if __name__ == "__main__":
    main()
