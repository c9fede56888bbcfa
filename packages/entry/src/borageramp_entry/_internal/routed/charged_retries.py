"""Retries of one request, and what they cost its service's retry budget."""

import asyncio
from typing import Any

from borageramp_core import AttemptResult, RatioBudget
from borageramp_entry._internal.routed.hedging import HedgeTimer

__all__ = ["ChargedRetries"]


class ChargedRetries:
    """Retries and hedges of one request that a retry budget was charged for.

    The budget bounds the load on upstreams, so that an attempt that reached none costs
    nothing.

    Parameters
    ----------
    budget : RatioBudget
        The budget.
    hedges : HedgeTimer
        Charged for hedges as well.
    """

    def __init__(self, *, budget: RatioBudget, hedges: HedgeTimer) -> None:
        self._budget = budget
        self._hedges = hedges
        self._in_flight: set[asyncio.Task[Any]] = set()

    def charge(self, *, is_hedge: bool, queued: int) -> bool:
        """Charge for a retry or hedge, and return whether one is allowed.

        Parameters
        ----------
        is_hedge : bool
            Whether another attempt is in flight.
        queued : int
            Requests of the service that wait for an upstream.
        """
        if is_hedge and not self._hedges.charge(queued=queued):
            return False
        if self._budget.spend():
            return True
        if is_hedge:
            self._hedges.refund()
        return False

    def refund(self, *, is_hedge: bool) -> None:
        """Refund a retry or hedge that was not made."""
        self._budget.refund()
        if is_hedge:
            self._hedges.refund()

    def on_start(self, task: asyncio.Task[Any]) -> None:
        """Record the attempt that the budget was charged for."""
        self._in_flight.add(task)

    def on_end(self, task: asyncio.Task[Any], result: AttemptResult) -> None:
        """Refund an attempt that was charged for and reached no upstream."""
        if task in self._in_flight and result is AttemptResult.UNREACHABLE:
            self._budget.refund()
        self._in_flight.discard(task)
