"""Policies that choose an upstream among the eligible ones."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.model import Upstream

__all__ = [
    "Candidate",
    "Choice",
    "LeastExpectedWait",
    "PlacementPolicy",
    "PowerOfTwoChoices",
    "UniformRandom",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An upstream that is eligible for a request.

    Attributes
    ----------
    upstream : Upstream
        The upstream.
    load : UpstreamLoad
        Load estimate of the upstream.
    """

    upstream: Upstream
    load: UpstreamLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The chosen candidate and the reason for the choice.

    Attributes
    ----------
    candidate : Candidate
        The chosen candidate.
    why : str
        Reason for the choice, for logs.
    """

    candidate: Candidate
    why: str


class PlacementPolicy(Protocol):
    """Interface of the policies that choose among candidates."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of the candidates, of which there is at least one."""


class UniformRandom:
    """Choose uniformly at random; serves as a baseline."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of the candidates, of which there is at least one."""
        return Choice(candidate=rng.choice(candidates), why="random")


class PowerOfTwoChoices:
    """Choose the one of two random candidates with fewer requests in flight [1]_.

    Only the requests of this entry are counted.

    References
    ----------
    .. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
       Balancing", IEEE TPDS 12(10), 2001.
    """

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of the candidates, of which there is at least one."""
        if len(candidates) == 1:
            return Choice(candidate=candidates[0], why="only one")
        first, second = rng.sample(candidates, 2)
        less_loaded = min(first, second, key=lambda c: c.load.in_flight)
        return Choice(candidate=less_loaded, why="fewer of two")


class LeastExpectedWait:
    """Choose the candidate with the least expected wait from a random sample.

    The expected wait combines the requests in flight from this entry, the
    load reports of the upstream and its recent latency. Latencies close to
    the lowest count as equal; otherwise the upstream that is fastest by chance
    would get all requests. Sampling keeps entries that received the same
    reports from all choosing the same upstream.

    Parameters
    ----------
    sample : int
        Maximum number of candidates compared.
    """

    EQUAL_LATENCY_FACTOR = 2.0

    def __init__(self, *, sample: int = 6) -> None:
        self._sample_size = sample

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        urgent: bool,
        rng: random.Random,
        now_s: float,
    ) -> Choice:
        """Choose one of the candidates, of which there is at least one."""
        if len(candidates) == 1:
            return Choice(candidate=candidates[0], why="only one")
        if len(candidates) > self._sample_size:
            candidates = rng.sample(candidates, self._sample_size)
        mean_others = sum(c.load.others for c in candidates) / len(candidates)
        min_latency_s = self._min_latency_s(candidates)
        costs = [
            (
                self._cost(
                    c,
                    min_latency_s=min_latency_s,
                    mean_others=mean_others,
                    urgent=urgent,
                    now_s=now_s,
                ),
                rng.random(),
                c,
            )
            for c in candidates
        ]
        cost, _, best = min(costs, key=lambda item: item[:2])
        return Choice(candidate=best, why=f"least expected wait {cost * 1000:.2f} ms")

    def _min_latency_s(self, candidates: Sequence[Candidate]) -> float:
        latencies_s = [c.load.latency_s for c in candidates if c.load.answers]
        return min(latencies_s, default=1e-3)

    def _cost(
        self,
        candidate: Candidate,
        *,
        min_latency_s: float,
        mean_others: float,
        urgent: bool,
        now_s: float,
    ) -> float:
        load = candidate.load
        expected_requests = load.estimate(mean_others=mean_others, now_s=now_s) + 1.0
        latency_s = load.latency_s
        if not urgent:
            # Only non-urgent requests test whether a slow upstream has recovered.
            latency_s = load.expected_latency_s(
                default_latency_s=min_latency_s, now_s=now_s
            )
        latency_s = max(latency_s, self.EQUAL_LATENCY_FACTOR * min_latency_s)
        return (
            latency_s * max(1.0, expected_requests / load.slots)
            + 1e-6 * expected_requests
        )
