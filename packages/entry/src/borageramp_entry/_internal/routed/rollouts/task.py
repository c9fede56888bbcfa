"""Rollouts of all services: one task for each instance."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Iterable

from borageramp_core.routing import Instance, RolloutRecord
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.records import INSTANCES_PREFIX
from borageramp_entry._internal.routed.rollouts.decider import RolloutDecider
from borageramp_entry._internal.routed.rollouts.follower import (
    NoDirectiveError,
    RolloutFollower,
)
from borageramp_entry._internal.routed.rollouts.messages import (
    ROLLOUT_PATH,
    Directive,
    EvidenceMessage,
    MalformedRolloutError,
    decode_directive,
    encode_directive,
    encode_evidence,
)
from borageramp_entry._internal.routed.rollouts.state import ServiceRollout
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import BrokenExchangeError
from borageramp_entry._internal.store.base import Put, Store

__all__ = ["RolloutTask"]

_log = get_logger(__name__)

TICK_S = 0.1
TIMEOUT_S = 0.5
MAX_DIRECTIVE_BYTES = 65_536
# Instances that are told of a directive at the same time.
CONCURRENT_BROADCASTS = 24
IDLE_TIMEOUT_S = 20.0
MAX_IDLE_CONNECTIONS = 1
STATUS_OK = 200


class RolloutTask:
    """Follows the rollouts of all services.

    Parameters
    ----------
    own : Instance
        This instance.
    pools : PoolRegistry
        Upstream pools, with the rollouts of their services.
    instances : callable
        Returns the listed instances.
    store : Store
        Store of the records.
    encode_status : callable
        Returns the write of the public status of a rollout.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.
    http : HttpClient, optional
        Connections to other instances; by default its own.
    """

    def __init__(
        self,
        *,
        own: Instance,
        pools: PoolRegistry,
        instances: Callable[[], Iterable[Instance]],
        store: Store,
        encode_status: Callable[[RolloutRecord], Put],
        rng: random.Random,
        clock: Callable[[], float],
        http: HttpClient | None = None,
    ) -> None:
        self._own = own
        self._pools = pools
        self._instances = instances
        self._store = store
        self._encode_status = encode_status
        self._rng = rng
        self._clock = clock
        self._http = http or HttpClient(
            idle_s=IDLE_TIMEOUT_S, max_idle=MAX_IDLE_CONNECTIONS
        )
        self._followers: dict[str, RolloutFollower] = {}
        self._broadcasts: set[asyncio.Task[None]] = set()

    @property
    def active_count(self) -> int:
        """Number of rollouts that have yet to be decided."""
        return len(self._pools.rollouts.unsettled())

    @property
    def deciding_count(self) -> int:
        """Number of rollouts that this instance decides."""
        return sum(f.decider.is_deciding for f in self._followers.values())

    async def run(self) -> None:
        """Follow the rollouts until cancelled."""
        rollouts = self._pools.rollouts
        while True:
            unsettled = rollouts.unsettled()
            if not unsettled:
                rollouts.changed.clear()
                await rollouts.changed.wait()
                continue
            for rollout in unsettled:
                self.follower(rollout).tick(self._instances())
            await asyncio.sleep(TICK_S * (0.5 + self._rng.random()))

    def follower(self, rollout: ServiceRollout) -> RolloutFollower:
        """Return the follower of a rollout; a new order starts with a new one."""
        service = rollout.order.service
        follower = self._followers.get(service)
        if follower is not None and follower.rollout is rollout:
            return follower
        if follower is not None:
            follower.close()
        follower = self._followers[service] = RolloutFollower(
            name=self._own.name,
            rollout=rollout,
            decider=RolloutDecider(
                name=self._own.name,
                rollout=rollout,
                store=self._store,
                encode_status=self._encode_status,
                read_listed=self._read_listed,
                clock=self._clock,
            ),
            views=lambda: self._pools.pool(service).views,
            is_off_old=lambda: self._pools.rollouts.is_off_old(
                service, self._pools.pool(service).views
            ),
            send_report=self._send_report,
            broadcast=self._broadcast,
            clock=self._clock,
        )
        return follower

    async def _read_listed(self) -> Collection[str]:
        listing = await self._store.read(INSTANCES_PREFIX)
        return [item.key.removeprefix(INSTANCES_PREFIX) for item in listing.items]

    async def _send_report(
        self, target: Instance, message: EvidenceMessage
    ) -> Directive:
        status, body = await self._exchange(target, "POST", encode_evidence(message))
        if status != STATUS_OK:
            # 409: it doesn't know the order yet. Earlier builds answer 404.
            raise NoDirectiveError(f"status {status}", can_decide=status != 404)
        try:
            return decode_directive(body)
        except MalformedRolloutError as error:
            raise NoDirectiveError(str(error), may_have_arrived=True) from error

    async def _exchange(
        self, target: Instance, method: str, body: bytes
    ) -> tuple[int, bytes]:
        assert target.peer_address is not None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                response = await self._http.request(
                    split_address(target.peer_address),
                    method,
                    ROLLOUT_PATH,
                    body=body,
                    connect_timeout_s=TIMEOUT_S,
                )
                answer = await response.read_all(max_bytes=MAX_DIRECTIVE_BYTES)
        except NotConnectedError as error:
            raise NoDirectiveError(repr(error)) from error
        except (BrokenExchangeError, TimeoutError) as error:
            raise NoDirectiveError(repr(error), may_have_arrived=True) from error
        return response.status, answer

    def _broadcast(self, directive: Directive) -> None:
        """Send a directive to all others: faster than the store's notifications."""
        task = asyncio.ensure_future(self._broadcast_to_each(directive))
        self._broadcasts.add(task)
        task.add_done_callback(self._broadcasts.discard)

    async def _broadcast_to_each(self, directive: Directive) -> None:
        body = encode_directive(directive)
        limit = asyncio.Semaphore(CONCURRENT_BROADCASTS)

        async def send(instance: Instance) -> None:
            async with limit:
                with contextlib.suppress(NoDirectiveError):
                    await self._exchange(instance, "PUT", body)

        others = [
            i
            for i in self._instances()
            if i.name != self._own.name and i.peer_address is not None
        ]
        await asyncio.gather(*(send(i) for i in others))

    def on_evidence(self, message: EvidenceMessage) -> Directive | None:
        """Take in what another instance tells; ``None`` if the order is not known."""
        rollout = self._pools.rollouts.get(message.service)
        if rollout is None or not message.is_for(rollout.order):
            return None
        return self.follower(rollout).on_evidence(message)

    def on_directive(self, directive: Directive) -> None:
        """Follow a directive that the deciding instance sent."""
        rollout = self._pools.rollouts.get(directive.record.service)
        if rollout is not None:
            self.follower(rollout).on_directive(directive)

    def close(self) -> None:
        """End all calls and close the idle connections."""
        for follower in self._followers.values():
            follower.close()
        for task in self._broadcasts:
            task.cancel()
        self._http.close()
