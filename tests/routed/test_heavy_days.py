"""Load patterns of heavy days, against the decisions alone.

Each test names the pattern that it answers; none needs a network.
"""

import random

from borageramp_core.routing import ServicePool
from tests.lib.routed import make_pool, make_registration, make_report, make_wanted

UPSTREAMS = 16
SLOW_PACE = 7.0


class _Fleet:
    """Upstreams whose pace changes by itself, and an entry that asks them."""

    def __init__(self, *, slow_share: float, change_s: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._slow_share = slow_share
        self._change_s = change_s
        names = [f"u{i}" for i in range(UPSTREAMS)]
        self.pool: ServicePool = make_pool(*(make_registration(n) for n in names))
        self._pace = {n: self._draw() for n in names}
        self._changes_at_s = {n: self._rng.random() * change_s for n in names}

    def _draw(self) -> float:
        return SLOW_PACE if self._rng.random() < self._slow_share else 1.0

    def pace(self, name: str, *, now_s: float) -> float:
        while self._changes_at_s[name] <= now_s:
            self._changes_at_s[name] += self._change_s
            self._pace[name] = self._draw()
        return self._pace[name]

    def place(self, *, probes: int, now_s: float) -> float:
        """Place a request as an entry does, and return the pace it meets."""
        wanted = make_wanted()
        for view in self.pool.to_probe(wanted, count=probes, now_s=now_s):
            pace = self.pace(view.registration.id, now_s=now_s)
            self.pool.on_report(view, make_report(pace=pace), now_s=now_s)
        chosen = self.pool.choose(wanted, now_s=now_s, fresh_only=True)
        assert chosen is not None
        return self.pace(chosen.view.registration.id, now_s=now_s)


def test_a_quarter_of_the_upstreams_slow_at_any_moment() -> None:
    fleet = _Fleet(slow_share=0.25, change_s=0.5, seed=1)
    paces = [fleet.place(probes=4, now_s=i * 0.05) for i in range(2000)]
    assert sum(p > 1.0 for p in paces) / len(paces) < 0.01


def test_half_of_the_upstreams_slow_at_any_moment() -> None:
    fleet = _Fleet(slow_share=0.5, change_s=0.5, seed=1)
    paces = [fleet.place(probes=4, now_s=i * 0.05) for i in range(2000)]
    # Four at random are all slow once in sixteen times.
    assert sum(p > 1.0 for p in paces) / len(paces) < 0.5**4
