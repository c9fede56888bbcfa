"""Source of store changes: a store watch or a relay instance."""

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, Callable
from dataclasses import replace
from typing import Protocol

from borageramp_core import HistoryLostError, StoreError
from borageramp_core.routing import (
    Instance,
    Pause,
    RelayPlan,
    RelaySource,
    SourceSelector,
    StorePosition,
    StoreSource,
)
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.change_log import (
    ChangeLog,
    MalformedChangeError,
    decode_change,
)
from borageramp_entry._internal.routed.relay_messages import (
    RelayState,
    decode_state,
    encode_query,
)
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import BrokenExchangeError
from borageramp_entry._internal.serving.requests import Headers
from borageramp_entry._internal.store.base import Change, Store

__all__ = ["ChangeSource", "PeerClient", "RelayUnavailableError"]

_log = get_logger(__name__)

# Long-poll wait of a request to a relay; short, so that an unresponsive relay is
# detected in time.
POLL_WAIT_S = 0.4
# Time beyond the long-poll wait for the response.
RESPONSE_TIMEOUT_S = 0.3
# A relay without a response from the store for this long may be partitioned from
# it and stops serving changes.
MAX_CONTACT_AGE_S = 0.9
# Concurrent long polls that a relay serves; further instances use the next relay
# or the store.
MAX_POLLING_INSTANCES = 48
IDLE_TIMEOUT_S = 5.0
STATUS_OK = 200
STORE_NAME = "store"


class RelayUnavailableError(Exception):
    """An instance can't relay store changes at the moment."""


class PeerResponse(Protocol):
    """Response of another instance."""

    status: int
    headers: Headers

    async def read_all(self) -> bytes:
        """Return the whole body."""


class PeerClient(Protocol):
    """Sends requests to other instances; see :class:`HttpClient`."""

    async def request(
        self,
        place: tuple[str, int],
        method: str,
        path: str,
        *,
        connect_timeout_s: float,
    ) -> PeerResponse:
        """Send a request and wait for the head of its response."""

    def close(self) -> None:
        """Close the connections."""


class ChangeSource:
    """Stream of store changes, from a store watch or through a relay.

    A relay is an instance that watches the store and serves the changes to
    other instances, so that a change does not cost one store call per instance.

    Parameters
    ----------
    store : Store
        Store to watch.
    prefix : str
        Prefix of the keys to watch.
    plan : RelayPlan
        Relays to poll, in order of preference.
    gather_s : float
        Time in seconds to batch changes, so that one call fetches them all.
    rng : random.Random
        Random number generator for the retry jitter.
    clock : callable
        Returns the current time in seconds.
    on_watch_started : callable, optional
        Called when this instance starts to watch the store, so that its contact
        with the store is checked before other instances poll it.
    peers : PeerClient, optional
        Client for the relays; by default one over HTTP.

    Attributes
    ----------
    source_name : str
        Name of the relay that answered last, or ``store``; empty at first.
    answer_gap_s : float
        Time in seconds between that answer and the one before.
    source_age_s : float or None
        Age in seconds of what the relay knew when it answered; 0 for the store,
        ``None`` if the relay doesn't say.
    max_polling_instances : int
        Long polls of other instances that are served at the same time.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        plan: RelayPlan,
        gather_s: float,
        rng: random.Random,
        clock: Callable[[], float],
        on_watch_started: Callable[[], None] = lambda: None,
        peers: PeerClient | None = None,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._plan = plan
        self._gather_s = gather_s
        self._clock = clock
        self._on_watch_started = on_watch_started
        self._peers = peers or HttpClient(idle_s=IDLE_TIMEOUT_S, max_idle=1)
        self._change_log = ChangeLog()
        self._watching_store = False
        self._polling_instances = 0
        self.max_polling_instances = MAX_POLLING_INSTANCES
        self._claimed_era = 0
        self._last_contact_at_s = float("-inf")
        self.source_name = ""
        self.answer_gap_s = 0.0
        self.source_age_s: float | None = 0.0
        self._watch_answered_at_s = clock()
        self._watch_confirmed = False
        self._complete_at_s = float("-inf")
        self._selector = SourceSelector(plan=plan, rng=rng, now_s=clock())

    @property
    def is_relay(self) -> bool:
        """Whether this instance watches the store, and serves changes if in contact."""
        return self._watching_store

    @property
    def prefers_relays(self) -> bool:
        """Whether this instance is to ask relays before the store."""
        return not self._plan.is_relay

    def unconfirmed_s(self) -> float:
        """Return the time in seconds since the store or a relay told of changes.

        An answer that nothing has changed counts; a lease renewal doesn't.
        """
        return self._selector.unconfirmed_s(now_s=self._clock())

    def watch_age_s(self) -> float:
        """Return the time in seconds since the watch of the store was answered.

        Returns
        -------
        float
            0 if this instance doesn't watch the store.
        """
        if not self._watching_store:
            return 0.0
        return self._clock() - self._watch_answered_at_s

    def _on_answer(self, source_name: str) -> None:
        self.source_name = source_name
        self.answer_gap_s = self.unconfirmed_s()

    def on_contact(self) -> None:
        """Record a response from the store."""
        self._last_contact_at_s = self._clock()

    def on_full_read(self) -> None:
        """Record that all items of the store have been read."""
        self._complete_at_s = self._clock()

    def on_renewal(self, *, answered: bool) -> None:
        """Record whether the store answered a lease renewal."""
        self._selector.on_renewal(answered=answered, now_s=self._clock())

    def _check_relay_era(
        self, relay: Instance, era: int | None, after: StorePosition
    ) -> None:
        # Builds that name no era can't tell of a new one; lease renewals do.
        if era is None or era <= after.era:
            return
        detail = f"{relay.name} follows the store in era {era}"
        if era <= self._claimed_era:
            # The store has been read since, and doesn't name it.
            raise RelayUnavailableError(detail)
        self._claimed_era = era
        raise HistoryLostError(detail)

    @property
    def relay_state(self) -> RelayState:
        """What this instance says of itself to those that ask it for changes."""
        return RelayState(era=self._era, watch_age_s=self.watch_age_s())

    @property
    def _era(self) -> int:
        """History of the store that this instance serves changes of."""
        return self._change_log.position.era

    async def watch(self, *, after: StorePosition) -> AsyncGenerator[Change, None]:
        """Yield the changes after a position; empty ones if nothing changed.

        Raises
        ------
        HistoryLostError
            If the changes are no longer kept, or the store has begun a new era.
        StoreError
            If a call of the store failed. A further call of this method goes on
            with the relays.
        """
        while True:
            source = self._selector.select(now_s=self._clock())
            if isinstance(source, Pause):
                await asyncio.sleep(source.delay_s)
                continue
            if isinstance(source, RelaySource):
                changes = self._poll_relay(source, after)
            else:
                changes = self._watch_store(after)
            async with contextlib.aclosing(changes):
                async for change in changes:
                    after = max(after, change.position)
                    yield change

    async def _watch_store(self, after: StorePosition) -> AsyncGenerator[Change, None]:
        """Watch the store for as long as it is the source to ask."""
        if not self._plan.is_relay:
            unconfirmed_ms = round(self.unconfirmed_s() * 1000)
            _log.info("store asked", unconfirmed_ms=unconfirmed_ms)
        self._change_log.reset(after)
        self._watching_store = True
        self._watch_answered_at_s = self._clock()
        complete_age_s = self._clock() - self._complete_at_s
        self._watch_confirmed = complete_age_s <= MAX_CONTACT_AGE_S
        self._on_watch_started()
        try:
            async for change in self._store.watch(
                self._prefix, from_revision=after.revision + 1
            ):
                if change.era != after.era:
                    raise HistoryLostError(f"the store is in era {change.era}")
                self.on_contact()
                self._on_answer(STORE_NAME)
                self.source_age_s = 0.0
                self._watch_answered_at_s = self._complete_at_s = self._clock()
                self._watch_confirmed = True
                self._selector.on_store_answer(now_s=self._clock())
                self._change_log.append(change)
                yield change
                if not self._is_store_selected():
                    return
                if change.written or change.deleted:
                    await asyncio.sleep(self._gather_s)
        except HistoryLostError:
            raise
        except StoreError as error:
            self._selector.on_store_failed(now_s=self._clock())
            _log.warning("store not followed", error=str(error))
            raise
        finally:
            self._watching_store = False
            self._change_log.notify_waiters()

    def _is_store_selected(self) -> bool:
        source = self._selector.select(now_s=self._clock())
        return isinstance(source, StoreSource)

    async def _poll_relay(
        self, source: RelaySource, after: StorePosition
    ) -> AsyncGenerator[Change, None]:
        """Poll a relay once."""
        relay = source.instance
        try:
            change = await self._fetch_changes(
                relay, after, wait_s=POLL_WAIT_S if source.settled else 0.0
            )
        except RelayUnavailableError as error:
            self._selector.on_relay_failed(relay, now_s=self._clock())
            _log.info(
                "relay left",
                instance=relay.name,
                why=str(error),
                unconfirmed_ms=round(self.unconfirmed_s() * 1000),
            )
            return
        if change.position < after:
            self._selector.on_relay_behind(relay)
            return
        self._on_answer(relay.name)
        self._complete_at_s = self._clock()
        self._selector.on_relay_answer(relay, now_s=self._clock())
        yield change

    async def _fetch_changes(
        self, relay: Instance, after: StorePosition, *, wait_s: float
    ) -> Change:
        assert relay.peer_address is not None
        try:
            async with asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S):
                response = await self._peers.request(
                    split_address(relay.peer_address),
                    "GET",
                    encode_query(after, wait_s=wait_s),
                    connect_timeout_s=RESPONSE_TIMEOUT_S,
                )
                body = await response.read_all()
        except (NotConnectedError, BrokenExchangeError, TimeoutError) as error:
            raise RelayUnavailableError(repr(error)) from error
        state = decode_state(response.headers)
        self._check_relay_era(relay, state.era, after)
        if response.status != STATUS_OK:
            raise RelayUnavailableError(f"status {response.status}")
        self.source_age_s = state.watch_age_s
        try:
            return replace(decode_change(body), era=after.era)
        except MalformedChangeError as error:
            raise RelayUnavailableError(str(error)) from error

    async def wait_for_changes(self, *, after: StorePosition, wait_s: float) -> bytes:
        """Return the encoded changes after a position, for another instance.

        Parameters
        ----------
        after : StorePosition
            Position that the other instance has.
        wait_s : float
            Maximum time in seconds to wait if nothing has changed.

        Raises
        ------
        RelayUnavailableError
            If this instance doesn't watch the store, has lost contact with it,
            follows an earlier era of it, or serves too many other instances.
        HistoryLostError
            If some of the changes are no longer in the change log, or are of a later
            era.
        """
        self._check_contact()
        self._check_era(after)
        if self._polling_instances >= self.max_polling_instances:
            raise RelayUnavailableError("too many polling instances")
        if after >= self._change_log.position:
            self._polling_instances += 1
            try:
                await self._change_log.wait(wait_s)
            finally:
                self._polling_instances -= 1
            self._check_contact()
            self._check_era(after)
        return self._change_log.encoded_since(after.revision)

    def _check_era(self, after: StorePosition) -> None:
        if after.era < self._era:
            raise HistoryLostError(f"the store is in era {self._era}")
        if after.era > self._era:
            raise RelayUnavailableError(f"this instance follows era {self._era}")

    def _check_contact(self) -> None:
        if not self._watching_store:
            raise RelayUnavailableError("this instance does not watch the store")
        if not self._watch_confirmed:
            raise RelayUnavailableError("the watch has not been answered yet")
        if self._clock() - self._last_contact_at_s > MAX_CONTACT_AGE_S:
            raise RelayUnavailableError("no contact with the store")

    def close(self) -> None:
        """Close the connections to relays."""
        self._peers.close()
