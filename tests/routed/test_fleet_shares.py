"""Rates that entries share while the list of entries changes."""

import random

import pytest

from borageramp_core.routing import RATE_LIMIT_BOUNDS, RateAllowance, RateBounds

LENGTH_S = 120.0
STEP_S = 0.02
# A change of the list reaches all entries within this time.
MAX_DELAY_S = 1.3
# In a rolling restart, one entry after the other is away for a while.
RESTART_INTERVAL_S = 2.0
AWAY_S = 2.5


class RollingRestart:
    """Entries that restart one after the other and send whenever they may.

    Parameters
    ----------
    entries : int
        Number of entries.
    bounds : RateBounds
        Tolerance of the rate limit.
    """

    def __init__(self, *, entries: int, bounds: RateBounds) -> None:
        self._rng = random.Random(entries)
        self._bounds = bounds
        self._names = [f"e{i}" for i in range(entries)]
        self._allowances = {
            n: self._start(n, frozenset(self._names)) for n in self._names
        }
        self._lists: list[tuple[float, str, frozenset[str]]] = []
        self._back_at_s: dict[str, float] = {}

    def _start(self, name: str, members: frozenset[str]) -> RateAllowance:
        allowance = RateAllowance(member=name, bounds=self._bounds)
        allowance.update_members(members)
        return allowance

    def _tell(self, now_s: float) -> None:
        members = frozenset(self._allowances)
        for name in self._allowances:
            delay_s = MAX_DELAY_S * self._rng.random()
            self._lists.append((now_s + delay_s, name, members))

    def _restart(self, step: int, now_s: float) -> None:
        for name, at_s in list(self._back_at_s.items()):
            if now_s >= at_s:
                del self._back_at_s[name]
                self._allowances[name] = self._start(name, frozenset(self._allowances))
                self._tell(now_s)
        if step % round(RESTART_INTERVAL_S / STEP_S) == 0:
            name = self._names[round(now_s / RESTART_INTERVAL_S) % len(self._names)]
            if name in self._allowances:
                del self._allowances[name]
                self._back_at_s[name] = now_s + AWAY_S
                self._tell(now_s)

    def run(self, *, rate_hz: float) -> list[float]:
        """Return the times at which requests arrive at one upstream."""
        arrivals = []
        for step in range(int(LENGTH_S / STEP_S)):
            now_s = step * STEP_S
            self._restart(step, now_s)
            due = [entry for entry in self._lists if entry[0] <= now_s]
            self._lists = [entry for entry in self._lists if entry[0] > now_s]
            for _, name, members in sorted(due, key=lambda entry: entry[0]):
                if name in self._allowances:
                    self._allowances[name].update_members(members)
            for allowance in self._allowances.values():
                while allowance.take("u1", rate_hz=rate_hz, now_s=now_s):
                    arrivals.append(now_s)
        return arrivals


@pytest.mark.parametrize("bounds", [RATE_LIMIT_BOUNDS, RateBounds()])
@pytest.mark.parametrize("rate_hz", [0.3, 2.0, 20.0])
@pytest.mark.parametrize("entries", [14, 60])
def test_a_rolling_restart_keeps_to_a_rate_limit_and_uses_it(
    entries: int, rate_hz: float, bounds: RateBounds
) -> None:
    arrivals = RollingRestart(entries=entries, bounds=bounds).run(rate_hz=rate_hz)
    allowed = bounds.overage * rate_hz * bounds.window_s + bounds.slack
    most = max(
        sum(start <= at_s < start + bounds.window_s for at_s in arrivals)
        for start in arrivals
    )
    assert most <= allowed
    assert len(arrivals) > 0.5 * rate_hz * LENGTH_S
