"""Runs coroutines in simulated time, so that tests of pauses are exact and quick."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["run_simulated"]

T = TypeVar("T")


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """A loop whose time goes on to the next timer as soon as nothing else is due."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def _run_once(self) -> None:
        internals: Any = self
        if not internals._ready and internals._scheduled:
            self._now_s = max(self._now_s, internals._scheduled[0].when())
        parent: Any = super()
        parent._run_once()


def run_simulated(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that waits for nothing but timers and other coroutines."""
    with asyncio.Runner(loop_factory=_SimulatedLoop) as runner:
        return runner.run(coroutine)
