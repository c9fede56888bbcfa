"""What an entry makes of reports and latencies."""

import random

from borageramp_core import Candidate, LeastExpectedWait, UpstreamLoad
from tests.lib.builders import make_report, make_upstream


def make_load(**fields: float) -> UpstreamLoad:
    return UpstreamLoad(slots=6, **fields)  # type: ignore[arg-type]


def test_report_counts_own_requests_out() -> None:
    load = make_load(in_flight=2)
    load.on_report(make_report(in_flight=5), now_s=1.0)
    assert load.others == 3.0


def test_report_fades_to_the_usual() -> None:
    load = make_load()
    load.on_report(make_report(in_flight=10), now_s=0.0)
    assert load.estimate(mean_others=2.0, now_s=0.0) == 10.0
    assert abs(load.estimate(mean_others=2.0, now_s=10.0) - 2.0) < 0.01


def test_upstream_once_slow_is_tried_again_in_time() -> None:
    slow, fast = make_load(), make_load()
    slow.on_latency(1.0, now_s=0.0)
    fast.on_latency(0.01, now_s=0.0)
    candidates = [
        Candidate(upstream=make_upstream("slow"), load=slow),
        Candidate(upstream=make_upstream("fast"), load=fast),
    ]

    def chosen(now_s: float, *, urgent: bool = False) -> set[str]:
        rng = random.Random(1)
        choices = (
            LeastExpectedWait().choose(candidates, urgent=urgent, rng=rng, now_s=now_s)
            for _ in range(20)
        )
        return {c.candidate.upstream.name for c in choices}

    assert chosen(0.0) == {"fast"}
    assert "slow" in chosen(100.0)
    assert chosen(100.0, urgent=True) == {"fast"}
