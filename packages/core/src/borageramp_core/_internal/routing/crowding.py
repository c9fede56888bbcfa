"""How much longer work takes on the nearly full upstreams of a service.

Some upstreams lose more by running one more request than that request is
worth: they answer more requests in all if they are not filled. Entries see it
in how long answers take, by how full the upstream was when they asked.
"""

from collections import deque

__all__ = ["NEARLY_FULL", "Crowding"]

# Share of its slots above which an upstream is nearly full.
NEARLY_FULL = 0.67
# Latest answers of each kind that are compared, and the fewest. Their medians
# are, as a slow upstream is also one that fills.
MAX_ANSWERS = 9
MIN_ANSWERS = 4
# Upstreams are not filled if that makes work this many times longer: above 1.5,
# two thirds of the slots answer as many requests as all of them.
WORTHLESS = 1.5


class Crowding:
    """Compares answers of nearly full upstreams with those of others.

    Parameters
    ----------
    elsewhere : Crowding, optional
        What holds until there are answers enough: that of all services.
    """

    def __init__(self, *, elsewhere: "Crowding | None" = None) -> None:
        self._elsewhere = elsewhere
        self._free: deque[float] = deque(maxlen=MAX_ANSWERS)
        self._full: deque[float] = deque(maxlen=MAX_ANSWERS)

    def on_answer(self, relative: float, *, filled: float) -> None:
        """Take in an answer.

        Parameters
        ----------
        relative : float
            Its time as a multiple of the expected one.
        filled : float
            Share of the upstream's slots in use when it was sent, with itself.
        """
        # Beyond all slots, it waited in a queue first.
        if filled <= 1.0:
            (self._full if filled > NEARLY_FULL else self._free).append(relative)
        if self._elsewhere is not None:
            self._elsewhere.on_answer(relative, filled=filled)

    @property
    def is_costly(self) -> bool:
        """Whether upstreams answer fewer requests in all if they are filled."""
        if min(len(self._free), len(self._full)) >= MIN_ANSWERS:
            return _median(self._full) > WORTHLESS * _median(self._free)
        return self._elsewhere is not None and self._elsewhere.is_costly

    def usable(self, slots: int) -> float:
        """Return how many of an upstream's slots are worth filling."""
        return max(1, int(NEARLY_FULL * slots)) if self.is_costly else slots


def _median(values: deque[float]) -> float:
    return sorted(values)[len(values) // 2]
