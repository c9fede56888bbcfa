"""Timers of one connection, by name."""

import asyncio
from collections.abc import Callable

__all__ = ["Timers"]


class Timers:
    """Timers, of which one of each name runs at a time."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._handles: dict[str, asyncio.TimerHandle] = {}

    def start(self, name: str, after_s: float, act: Callable[[], None]) -> None:
        """Have something done after a time, unless a timer of that name runs."""
        if name not in self._handles:
            self._handles[name] = self._loop.call_later(after_s, self._fire, name, act)

    def _fire(self, name: str, act: Callable[[], None]) -> None:
        del self._handles[name]
        act()

    def stop(self, name: str) -> None:
        """Stop the timer of a name, if one runs."""
        handle = self._handles.pop(name, None)
        if handle is not None:
            handle.cancel()

    def stop_all(self) -> None:
        """Stop all timers."""
        for name in list(self._handles):
            self.stop(name)
