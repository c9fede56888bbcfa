"""Placement policies to compare with."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from borageramp_core import Candidate, Choice

__all__ = ["ProbePool", "SliceThenSpill"]

POOL_SIZE = 16
MAX_AGE_S = 0.5
HOT_QUANTILE = 0.75


@dataclass(kw_only=True, slots=True)
class _Probe:
    upstream_id: str
    in_flight: int
    latency_s: float
    at_s: float
    uses: int = 0


class ProbePool:
    """A pool of asynchronous probes, after Prequal [1]_.

    Each request sends probes to random upstreams; the choice prefers cold
    probes by latency, and the least loaded if all are hot.

    Parameters
    ----------
    probe : callable
        Sends a probe to an upstream; the answer comes to ``take``.
    per_request : int
        Probes sent for each request.

    References
    ----------
    .. [1] B. Wydrowski et al., "Load is not what you should balance:
       Introducing Prequal", NSDI 2024.
    """

    def __init__(
        self, *, probe: Callable[["ProbePool", str], None], per_request: int = 2
    ) -> None:
        self._probe = probe
        self._per_request = per_request
        self._pool: list[_Probe] = []
        self.sent = 0

    def take(
        self, upstream_id: str, *, in_flight: int, latency_s: float, now_s: float
    ) -> None:
        """Take in the answer to a probe."""
        self._pool = [p for p in self._pool if p.upstream_id != upstream_id]
        self._pool.append(
            _Probe(
                upstream_id=upstream_id,
                in_flight=in_flight,
                latency_s=latency_s,
                at_s=now_s,
            )
        )
        del self._pool[:-POOL_SIZE]

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of at least one candidates."""
        for candidate in rng.sample(
            candidates, min(self._per_request, len(candidates))
        ):
            self.sent += 1
            self._probe(self, candidate.upstream.id)
        by_id = {c.upstream.id: c for c in candidates}
        self._pool = [p for p in self._pool if now_s - p.at_s < MAX_AGE_S]
        usable = [p for p in self._pool if p.upstream_id in by_id]
        if not usable:
            return Choice(candidate=rng.choice(candidates), why="empty pool")
        chosen = self._hot_cold(usable)
        chosen.uses += 1
        chosen.in_flight += 1
        if chosen.uses >= 2:
            self._pool.remove(chosen)
        return Choice(candidate=by_id[chosen.upstream_id], why="probe pool")

    def _hot_cold(self, usable: list[_Probe]) -> _Probe:
        loads = sorted(p.in_flight for p in usable)
        limit = loads[int(HOT_QUANTILE * (len(loads) - 1))]
        cold = [p for p in usable if p.in_flight <= limit]
        return min(cold, key=lambda p: (p.latency_s, p.in_flight))


class SliceThenSpill:
    """Prefer a slice of the upstreams of each entry's own; spill when full.

    Parameters
    ----------
    index, entries : int
        Which entry this is, and how many there are.
    """

    def __init__(self, *, index: int, entries: int) -> None:
        self._index = index
        self._entries = entries

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of at least one candidates."""
        ordered = sorted(candidates, key=lambda c: c.upstream.id)
        first = self._index * len(ordered) // self._entries
        own = ordered[first]
        if own.load.in_flight < own.load.slots:
            return Choice(candidate=own, why="own slice")
        usual = sum(c.load.others for c in candidates) / len(candidates)
        least = min(
            rng.sample(ordered, min(6, len(ordered))),
            key=lambda c: c.load.estimate(mean_others=usual, now_s=now_s),
        )
        return Choice(candidate=least, why="spill")
