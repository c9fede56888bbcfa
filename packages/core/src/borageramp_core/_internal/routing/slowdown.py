"""Slowdown of upstreams that are busy or cold.

Some upstreams slow down when most of their slots are in use, which load reports
don't show. Filling their last slots adds no throughput and delays all other
requests. So latencies are averaged by the number of requests at the upstream,
which also yields data at low load.
"""

from dataclasses import dataclass

__all__ = ["SlowdownProfile"]

# Minimum weight of a new sample in the moving averages.
AVERAGE_WEIGHT = 0.02
MIN_SAMPLES = 8
# Caps a sample, since a stall doesn't predict other latencies.
MAX_SAMPLE_RATIO = 5.0
# Upstreams may report any number of slots. Beyond this many distinct values, all
# averages by slots are discarded.
MAX_SLOT_COUNTS = 64
# Throughput to keep, as a share of the highest: giving up the rest shortens
# latencies.
MIN_THROUGHPUT_SHARE = 0.97


@dataclass(kw_only=True, slots=True)
class _MovingAverage:
    samples: int = 0
    mean: float = 1.0

    def add(self, ratio: float) -> None:
        self.samples += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (min(MAX_SAMPLE_RATIO, ratio) - self.mean)

    @property
    def is_reliable(self) -> bool:
        return self.samples >= MIN_SAMPLES


@dataclass(frozen=True, kw_only=True, slots=True)
class _SlowdownCurve:
    """Slowdown of upstreams with a given number of slots.

    Attributes
    ----------
    factors : tuple of (int, float)
        Number of requests, and their latency relative to the lowest number.
    effective_slots : int
        Concurrency with nearly the highest throughput.
    """

    factors: tuple[tuple[int, float], ...]
    effective_slots: int


class SlowdownProfile:
    """Slowdown of one service's upstreams by load, and while cold."""

    def __init__(self) -> None:
        # By slots of the upstream, then by requests at it.
        self._averages_by_slots: dict[int, dict[int, _MovingAverage]] = {}
        self._curves_by_slots: dict[int, _SlowdownCurve] = {}
        self._cold_average = _MovingAverage()

    def on_answer(self, ratio: float, *, requests: int, slots: int, cold: bool) -> None:
        """Record the latency of an answer.

        Parameters
        ----------
        ratio : float
            Latency relative to that on an idle upstream of the reported pace.
        requests : int
            Requests at the upstream, including this one.
        slots : int
            Requests that it runs concurrently.
        cold : bool
            Whether it was cold.
        """
        if cold:
            self._cold_average.add(ratio)
        elif 0 < requests <= slots:
            if (
                slots not in self._averages_by_slots
                and len(self._averages_by_slots) >= MAX_SLOT_COUNTS
            ):
                self._averages_by_slots.clear()
                self._curves_by_slots.clear()
            averages = self._averages_by_slots.setdefault(slots, {})
            averages.setdefault(requests, _MovingAverage()).add(ratio)
            self._curves_by_slots.pop(slots, None)

    def factor(self, requests: float, *, slots: int, cold: bool) -> float:
        """Return the expected slowdown of a request as a factor.

        Parameters
        ----------
        requests : float
            Requests at the upstream, including this one.
        slots : int
            Requests that it runs concurrently.
        cold : bool
            Whether it is cold.
        """
        factor = 1.0
        for number, slowdown in self._curve(slots).factors:
            if number <= requests:
                factor = slowdown
        if cold and self._cold_average.is_reliable:
            factor = max(factor, self._cold_average.mean)
        return factor

    def effective_slots(self, slots: int) -> int:
        """Return the lowest concurrency that nearly reaches the highest throughput."""
        return self._curve(slots).effective_slots

    def _curve(self, slots: int) -> _SlowdownCurve:
        curve = self._curves_by_slots.get(slots)
        if curve is None:
            factors = _slowdown_factors(self._averages_by_slots.get(slots, {}))
            curve = _SlowdownCurve(
                factors=factors, effective_slots=_effective_slots(factors, slots=slots)
            )
            if slots in self._averages_by_slots:
                self._curves_by_slots[slots] = curve
        return curve


def _slowdown_factors(
    averages: dict[int, _MovingAverage],
) -> tuple[tuple[int, float], ...]:
    """Return the slowdown by number of requests, relative to the lowest number."""
    reliable = [
        (number, a.mean) for number, a in sorted(averages.items()) if a.is_reliable
    ]
    if not reliable:
        return ()
    baseline = max(0.1, reliable[0][1])
    factors: list[tuple[int, float]] = []
    highest = 1.0
    for number, mean in reliable:
        highest = max(highest, mean / baseline)
        factors.append((number, highest))
    return tuple(factors)


def _effective_slots(factors: tuple[tuple[int, float], ...], *, slots: int) -> int:
    if not factors or factors[-1][0] < slots:
        return slots
    rates = [(number, number / factor) for number, factor in factors]
    min_rate = MIN_THROUGHPUT_SHARE * max(rate for _, rate in rates)
    return next(number for number, rate in rates if rate >= min_rate)
