"""How much longer requests take on upstreams that are busy or cold.

Some upstreams work slower when most of their slots are in use, and reports don't
say so. The last requests that such an upstream takes add nothing to what it
answers, and make all others late. So a service's answers are compared by how
many requests their upstream had, which is learnt in calm times too.
"""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["SlowdownProfile"]

# Weight of a new answer in the moving averages.
WEIGHT = 0.02
# Answers after which an average counts.
MIN_ANSWERS = 8
# Longest time that counts for one answer, in multiples of the usual: a stall
# says nothing of the others.
MAX_RATIO = 5.0
# Share of the highest rate of answers that is given up for shorter times.
RATE_SHARE = 0.97


@dataclass(kw_only=True, slots=True)
class _Average:
    answers: int = 0
    mean: float = 1.0

    def add(self, ratio: float) -> None:
        self.answers += 1
        weight = max(WEIGHT, 1.0 / self.answers)
        self.mean += weight * (min(MAX_RATIO, ratio) - self.mean)

    @property
    def known(self) -> bool:
        return self.answers >= MIN_ANSWERS


class SlowdownProfile:
    """What the upstreams of one service lose when they are busy or cold."""

    def __init__(self) -> None:
        # By slots of an upstream and requests that it has.
        self._busy: dict[tuple[int, int], _Average] = {}
        self._cold = _Average()

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
            self._cold.add(ratio)
        elif 0 < requests <= slots:
            self._busy.setdefault((slots, requests), _Average()).add(ratio)

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
        for number, known in self._factors(slots):
            if number <= requests:
                factor = known
        if cold and self._cold.known:
            factor = max(factor, self._cold.mean)
        return factor

    def usable_slots(self, slots: int) -> int:
        """Return how many requests an upstream answers fastest at once."""
        rates = [(number, number / factor) for number, factor in self._factors(slots)]
        if not rates or rates[-1][0] < slots:
            return slots
        enough = RATE_SHARE * max(rate for _, rate in rates)
        return next(number for number, rate in rates if rate >= enough)

    def _factors(self, slots: int) -> Iterator[tuple[int, float]]:
        """Yield the slowdown by number of requests, compared with the fewest."""
        fewest: float | None = None
        highest = 1.0
        for number in range(1, slots + 1):
            average = self._busy.get((slots, number))
            if average is None or not average.known:
                continue
            if fewest is None:
                fewest = max(0.1, average.mean)
            highest = max(highest, average.mean / fewest)
            yield number, highest
