"""Retries of one request, and what they cost its service's retry budget."""

import asyncio
from typing import Any

from borageramp_core import AttemptResult, RatioBudget

__all__ = ["ChargedRetries"]


class ChargedRetries:
    """Retries and hedges of one request that a retry budget was charged for.

    The budget bounds the load on upstreams, so that an attempt that reached none costs
    nothing.

    Parameters
    ----------
    budget : RatioBudget
        The budget.
    """

    def __init__(self, *, budget: RatioBudget) -> None:
        self._budget = budget
        self._in_flight: set[asyncio.Task[Any]] = set()

    def charge(self) -> bool:
        """Charge the budget for a retry, and return whether it allowed one."""
        return self._budget.spend()

    def refund(self) -> None:
        """Refund a retry that was not made."""
        self._budget.refund()

    def on_start(self, task: asyncio.Task[Any]) -> None:
        """Record the attempt that the budget was charged for."""
        self._in_flight.add(task)

    def on_end(self, task: asyncio.Task[Any], result: AttemptResult) -> None:
        """Refund an attempt that was charged for and reached no upstream."""
        if task in self._in_flight and result is AttemptResult.UNREACHABLE:
            self._budget.refund()
        self._in_flight.discard(task)
