"""The planned stop of an entry, which cuts no request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from twisted.internet.interfaces import IListeningPort

from borageramp_core import ClaimTable, Membership
from borageramp_entry._internal.border.http import DrainingSite
from borageramp_entry._internal.control.peers import PeerTasks
from borageramp_entry._internal.control.registry import RegistryTask
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.handover import hand_over

__all__ = ["PlannedStop"]

_log = get_logger(__name__)

# Callers may have asked just before, and lists lag.
ADDRESS_SLACK_S = 1.0
STEP_S = 0.05
TELL_WITHIN_S = 0.5


class PlannedStop:
    """Stops an entry step by step.

    Parameters
    ----------
    membership : Membership
        The entries.
    registry : RegistryTask
        This entry's place on the list.
    peers : PeerTasks
        Connections to peers.
    claims : ClaimTable
        Keys that this entry answers for.
    site : DrainingSite
        Callers' connections.
    in_flight : callable
        Returns the number of requests under way.
    settle_keyed : callable
        Waits for the keyed requests under way.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        registry: RegistryTask,
        peers: PeerTasks,
        claims: ClaimTable,
        site: DrainingSite,
        in_flight: Callable[[], int],
        settle_keyed: Callable[[float], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._peers = peers
        self._claims = claims
        self._site = site
        self._in_flight = in_flight
        self._settle_keyed = settle_keyed
        self._clock = clock

    async def run(
        self, port: IListeningPort, *, address_ttl_s: float, drain_s: float
    ) -> None:
        """Carry the stop out.

        Parameters
        ----------
        port : IListeningPort
            Where callers connect.
        address_ttl_s : float
            How long callers may keep addresses.
        drain_s : float
            Longest wait for requests.
        """
        _log.info("leaving", step="telling others")
        self._membership.own.leaving = True
        self._site.closing = True
        await self._peers.tell_all(within_s=TELL_WITHIN_S)
        await self._registry.mark_leaving()
        await asyncio.sleep(address_ttl_s + ADDRESS_SLACK_S)
        _log.info("leaving", step="finishing requests", in_flight=self._in_flight())
        await _stop_listening(port)
        await self._finish_requests(until_s=self._clock() + drain_s)
        await self._move_keys()
        await self._registry.leave()
        _log.info("left", in_flight=self._in_flight())

    async def _finish_requests(self, *, until_s: float) -> None:
        while self._clock() < until_s:
            busy = self._site.close_idle()
            if busy == 0 and self._in_flight() == 0:
                break
            await asyncio.sleep(STEP_S)
        await self._settle_keyed(max(0.0, until_s - self._clock()))

    async def _move_keys(self) -> None:
        self._claims.seal()
        successor = await hand_over(
            claims=self._claims,
            membership=self._membership,
            peers=self._peers,
            clock=self._clock,
        )
        if successor is None and len(self._claims):
            _log.warning("keys are lost", keys=len(self._claims))


async def _stop_listening(port: IListeningPort) -> None:
    stopped = cast(Any, port).stopListening()
    if stopped is not None:
        await stopped.asFuture(asyncio.get_running_loop())
