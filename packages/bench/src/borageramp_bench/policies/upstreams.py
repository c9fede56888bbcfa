"""Fake upstreams in virtual time."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from borageramp_bench.policies.clock import VirtualClock
from borageramp_core import AttemptResult, LoadReport, Upstream

__all__ = ["FakeUpstream", "Job"]

FAIL_FAST_S = 0.0003
# Requests that may wait at an upstream, as a multiple of its slots.
QUEUE_FACTOR = 2


@dataclass(kw_only=True, slots=True, eq=False)
class Job:
    """A request at an upstream.

    Attributes
    ----------
    answer : callable
        Gets the result and the load report.
    cancelled : bool
        Whether its sender wants no answer any more.
    """

    answer: Callable[[AttemptResult, LoadReport], None]
    cancelled: bool = False


class FakeUpstream:
    """An upstream with slots, a short queue, cold starts and faults.

    Parameters
    ----------
    spec : Upstream
        Its settings.
    clock : VirtualClock
        Virtual time.
    mean_s : float
        Mean time of a request.
    rng : random.Random
        Source of service times.
    """

    def __init__(
        self,
        *,
        spec: Upstream,
        clock: VirtualClock,
        mean_s: float,
        rng: random.Random,
    ) -> None:
        self.spec = spec
        self.slow_factor = 1.0
        self.fails = False
        self.cold_until_s = 0.0
        self.cold_capacity = 1
        self.start_id = "first"
        self.most_cold = 0
        self.taken = 0
        self._clock = clock
        self._mean_s = mean_s
        self._rng = rng
        self._running = 0
        self._waiting: deque[Job] = deque()

    def restart(self, *, cold_s: float) -> None:
        """Turn cold without a word."""
        self.start_id = f"start at {self._clock.now_s:.3f}"
        self.cold_until_s = self._clock.now_s + cold_s

    @property
    def in_flight(self) -> int:
        """Requests that it runs or holds."""
        return self._running + len(self._waiting)

    def arrive(self, job: Job) -> None:
        """Take a request."""
        self.taken += 1
        if self.fails:
            self._clock.later(
                FAIL_FAST_S, lambda: self._answer(job, AttemptResult.ERROR)
            )
            return
        if self.in_flight >= self.spec.slots * (1 + QUEUE_FACTOR):
            self._answer(job, AttemptResult.SHED)
            return
        self._waiting.append(job)
        if self._clock.now_s < self.cold_until_s:
            self.most_cold = max(self.most_cold, self.in_flight)
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and self._running < self.spec.slots:
            job = self._waiting.popleft()
            if job.cancelled:
                continue
            self._running += 1
            self._clock.later(self._service_s(), partial(self._end, job))

    def _service_s(self) -> float:
        time_s = self._rng.expovariate(1.0 / self._mean_s) * self.slow_factor
        if self._clock.now_s < self.cold_until_s:
            # Over what it bears, a cold upstream slows down for all.
            time_s *= max(1.0, 4.0 * self._running / self.cold_capacity)
        return time_s

    def _end(self, job: Job) -> None:
        self._answer(job, AttemptResult.ANSWERED)
        self._running -= 1
        self._start_next()

    def _answer(self, job: Job, result: AttemptResult) -> None:
        report = LoadReport(
            in_flight=self.in_flight, slots=self.spec.slots, start_id=self.start_id
        )
        job.answer(result, report)
