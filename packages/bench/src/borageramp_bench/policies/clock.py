"""Virtual time."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs functions in the order of their virtual times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Run a function after a delay."""
        item = (self.now_s + delay_s, next(self._count), function)
        heapq.heappush(self._due, item)

    def run(self, *, until_s: float) -> None:
        """Run what is due until a time."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, function = heapq.heappop(self._due)
            function()
        self.now_s = until_s
