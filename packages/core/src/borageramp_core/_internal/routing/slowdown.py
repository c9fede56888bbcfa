"""How much longer requests take on upstreams that are busy or cold.

Some upstreams work slower when most of their slots are in use, and reports don't
say so. The last requests that such an upstream takes add nothing to what it
answers, and make all others late. So a service's answers are compared by how
many requests their upstream had, which is learnt in calm times too.
"""

from dataclasses import dataclass

__all__ = ["SlowdownProfile"]

# Weight of a new answer in the moving averages.
AVERAGE_WEIGHT = 0.02
# Answers after which an average counts.
MIN_SAMPLES = 8
# Longest time that counts for one answer, in multiples of the usual: a stall
# says nothing of the others.
MAX_SAMPLE_RATIO = 5.0
# Sizes of upstreams that are told apart; with more, all begin anew, as an upstream
# may report any number of slots.
MAX_SLOT_COUNTS = 64
# Share of the highest rate of answers that is given up for shorter times.
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
    """What is known of upstreams of one size.

    Attributes
    ----------
    factors : tuple of (int, float)
        Number of requests, and how much longer they take than the fewest.
    effective_slots : int
        How many requests are answered fastest at once.
    """

    factors: tuple[tuple[int, float], ...]
    effective_slots: int


class SlowdownProfile:
    """What the upstreams of one service lose when they are busy or cold."""

    def __init__(self) -> None:
        # By slots of an upstream, then by requests that it has.
        self._averages_by_slots: dict[int, dict[int, _MovingAverage]] = {}
        self._curves_by_slots: dict[int, _SlowdownCurve] = {}
        self._cold_average = _MovingAverage()

    def on_answer(self, ratio: float, *, requests: int, slots: int, cold: bool) -> None:
        """Take in an answer.

        Parameters
        ----------
        ratio : float
            Its time, in multiples of what it takes on an idle upstream of the
            pace that was reported.
        requests : int
            Requests that the upstream had, this one among them.
        slots : int
            Requests that it runs at once.
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
        """Return how much longer a request takes.

        Parameters
        ----------
        requests : float
            Requests that the upstream has, this one among them.
        slots : int
            Requests that it runs at once.
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
        """Return how many requests an upstream answers fastest at once."""
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
    """Return the slowdown by number of requests, compared with the fewest."""
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
