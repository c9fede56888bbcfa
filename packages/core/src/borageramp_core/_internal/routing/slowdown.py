"""How much longer requests take on upstreams that are busy or cold.

Some upstreams work slower when most of their slots are in use, and reports don't
say so. The last requests that such an upstream takes add nothing to what it
answers, and make all others late. So a service's answers are compared by how
many requests their upstream had, which is learnt in calm times too.
"""

from dataclasses import dataclass

__all__ = ["SlowdownProfile"]

# Weight of a new answer in the moving averages.
WEIGHT = 0.02
# Answers after which an average counts.
MIN_ANSWERS = 8
# Longest time that counts for one answer, in multiples of the usual: a stall
# says nothing of the others.
MAX_RATIO = 5.0
# Sizes of upstreams that are told apart; with more, all begin anew, as an upstream
# may report any number of slots.
MAX_SIZES = 64
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


@dataclass(frozen=True, kw_only=True, slots=True)
class _Curve:
    """What is known of upstreams of one size.

    Attributes
    ----------
    factors : tuple of (int, float)
        Number of requests, and how much longer they take than the fewest.
    usable_slots : int
        How many requests are answered fastest at once.
    """

    factors: tuple[tuple[int, float], ...]
    usable_slots: int


class SlowdownProfile:
    """What the upstreams of one service lose when they are busy or cold."""

    def __init__(self) -> None:
        # By slots of an upstream, then by requests that it has.
        self._busy: dict[int, dict[int, _Average]] = {}
        self._curves: dict[int, _Curve] = {}
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
            if slots not in self._busy and len(self._busy) >= MAX_SIZES:
                self._busy.clear()
                self._curves.clear()
            averages = self._busy.setdefault(slots, {})
            averages.setdefault(requests, _Average()).add(ratio)
            self._curves.pop(slots, None)

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
        for number, known in self._curve(slots).factors:
            if number <= requests:
                factor = known
        if cold and self._cold.known:
            factor = max(factor, self._cold.mean)
        return factor

    def usable_slots(self, slots: int) -> int:
        """Return how many requests an upstream answers fastest at once."""
        return self._curve(slots).usable_slots

    def _curve(self, slots: int) -> _Curve:
        curve = self._curves.get(slots)
        if curve is None:
            factors = _factors(self._busy.get(slots, {}))
            curve = _Curve(
                factors=factors, usable_slots=_usable_slots(factors, slots=slots)
            )
            if slots in self._busy:
                self._curves[slots] = curve
        return curve


def _factors(averages: dict[int, _Average]) -> tuple[tuple[int, float], ...]:
    """Return the slowdown by number of requests, compared with the fewest."""
    known = [(number, a.mean) for number, a in sorted(averages.items()) if a.known]
    if not known:
        return ()
    fewest = max(0.1, known[0][1])
    factors: list[tuple[int, float]] = []
    highest = 1.0
    for number, mean in known:
        highest = max(highest, mean / fewest)
        factors.append((number, highest))
    return tuple(factors)


def _usable_slots(factors: tuple[tuple[int, float], ...], *, slots: int) -> int:
    if not factors or factors[-1][0] < slots:
        return slots
    rates = [(number, number / factor) for number, factor in factors]
    enough = RATE_SHARE * max(rate for _, rate in rates)
    return next(number for number, rate in rates if rate >= enough)
