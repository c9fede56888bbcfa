"""Binding of plain keys to a process, through the key-value service.

A plain key names no process. The first entry to see it writes a bound key of
its own under it, if there is none yet; every other entry finds that one. The
bound key then decides, so there is one way to at-most-once and not two.

Records need no lease: their keys start with the time of issue, old ones are
deleted in ranges, and a key as old as those is refused without a look.
"""

import asyncio
import random
import time
from collections import OrderedDict
from collections.abc import Callable

from borageramp_core import (
    BoundKey,
    ClaimTable,
    OutcomeUnknownError,
    Reason,
    RefusedError,
    ServicePolicy,
    StoreError,
    StoreUnavailableError,
    Verdict,
    parse_key,
    plain_key_id,
)
from borageramp_entry._internal.control.keyspace import CLAIMS
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.store import Commit, Condition, Outcome, Put, Store

__all__ = ["KeyBinder"]

_log = get_logger(__name__)

MS_PER_S = 1000
BUCKET_S = 60.0
# Differences between the wall clocks of callers and entries.
CLOCK_MARGIN_S = 120.0
MAX_CACHED = 20_000
MAX_BATCH = 64
RETRY_AFTER_S = 1.0
UNDATED = "undated"
DATED = "dated"


class KeyBinder:
    """Finds or makes the bound key of a plain key.

    Parameters
    ----------
    store : Store
        The key-value service.
    claims : ClaimTable
        Keys of this entry.
    clock : callable
        Returns the present time in seconds.
    rng : random.Random
        Source of randomness.
    wall_clock : callable, optional
        Returns the seconds since the epoch.
    """

    def __init__(
        self,
        *,
        store: Store,
        claims: ClaimTable,
        clock: Callable[[], float],
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._claims = claims
        self._clock = clock
        self._rng = rng
        self._wall_clock = wall_clock
        self._cache: OrderedDict[str, BoundKey] = OrderedDict()
        self._pending: list[tuple[Commit, asyncio.Future[Outcome]]] = []
        self._sending: asyncio.Task[None] | None = None

    async def bind(self, request: CallerRequest, policy: ServicePolicy) -> BoundKey:
        """Return the bound key of a request with a plain key.

        Parameters
        ----------
        request : CallerRequest
            The request.
        policy : ServicePolicy
            Settings of its service.

        Raises
        ------
        RefusedError
            If the key is too old, has no time of issue, or can't be bound.
        """
        names = self._record_names(request, policy)
        cached = self._cache.get(names[0])
        if cached is not None:
            return cached
        try:
            bound = await self._claim(names)
        except StoreError as error:
            raise _unavailable(str(error)) from None
        self._cache[names[0]] = bound
        while len(self._cache) > MAX_CACHED:
            self._cache.popitem(last=False)
        return bound

    def _record_names(
        self, request: CallerRequest, policy: ServicePolicy
    ) -> tuple[str, ...]:
        """Return the name to write, and others to look under."""
        key_id = plain_key_id(service=request.service, key=request.key)
        now_s = self._wall_clock()
        if request.issued_ms is not None:
            issued_s = request.issued_ms / MS_PER_S
            _check_age(now_s - issued_s, policy.key_window_s)
            return (_record_name(DATED, issued_s, BUCKET_S, key_id),)
        if not policy.accept_undated_keys:
            # The caller may have sent the key with its time before.
            raise RefusedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.KEY_WITHOUT_ISSUE_TIME,
                detail="a plain key needs Idempotency-Key-Issued-Ms",
            )
        window_s = policy.key_window_s
        return tuple(
            _record_name(UNDATED, at_s, window_s, key_id)
            for at_s in (now_s, now_s - window_s)
        )

    async def _claim(self, names: tuple[str, ...]) -> BoundKey:
        own = BoundKey(
            incarnation=self._claims.incarnation,
            issued_ms=self._claims.clock_ms(now_s=self._clock()),
            nonce=f"p{self._rng.getrandbits(64):016x}",
        )
        commit = Commit(
            conditions=tuple(Condition(key=name, revision=0) for name in names),
            puts=(Put(key=names[0], value=str(own).encode()),),
            read_otherwise=names,
        )
        try:
            outcome = await self._send(commit)
        except OutcomeUnknownError:
            return await self._look_up(names)
        if outcome.succeeded:
            return own
        return _stored_key(outcome.found[0].value)

    async def _look_up(self, names: tuple[str, ...]) -> BoundKey:
        """Settle a claim whose answer was lost.

        If no record is found the write may still be on its way, so nothing
        is run.
        """
        for name in names:
            listing = await self._store.read_key(name)
            if listing.items:
                return _stored_key(listing.items[0].value)
        raise StoreUnavailableError("the claim was lost or is on its way")

    async def _send(self, commit: Commit) -> Outcome:
        outcome: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._pending.append((commit, outcome))
        if self._sending is None or self._sending.done():
            self._sending = asyncio.ensure_future(self._send_pending())
        return await outcome

    async def _send_pending(self) -> None:
        """Send claims in batches, one call at a time."""
        while self._pending:
            batch = self._pending[:MAX_BATCH]
            del self._pending[:MAX_BATCH]
            try:
                outcomes = await self._store.commit([commit for commit, _ in batch])
            except StoreError as error:
                for _, waiting in batch:
                    if not waiting.done():
                        waiting.set_exception(error)
                continue
            for (_, waiting), outcome in zip(batch, outcomes, strict=True):
                if not waiting.done():
                    waiting.set_result(outcome)

    async def clean(self, *, longest_window_s: float) -> None:
        """Delete the records of keys that are refused for their age.

        Parameters
        ----------
        longest_window_s : float
            Longest window of all services.
        """
        oldest_s = self._wall_clock() - longest_window_s - 2 * CLOCK_MARGIN_S
        try:
            for kind in (DATED, UNDATED):
                start = f"{CLAIMS}{kind}/"
                end = _bucket(kind, oldest_s - 2 * longest_window_s)
                await self._store.delete_range(start, end)
        except StoreError as error:
            _log.debug("old claims not deleted", error=str(error))


def _bucket(kind: str, start_s: float) -> str:
    return f"{CLAIMS}{kind}/{int(start_s):012d}"


def _record_name(kind: str, at_s: float, bucket_s: float, key_id: str) -> str:
    start_s = at_s - at_s % bucket_s
    return f"{_bucket(kind, start_s)}/{key_id}"


def _check_age(age_s: float, window_s: float) -> None:
    if age_s > window_s:
        raise RefusedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.KEY_EXPIRED,
            detail="the key is older than its window",
        )
    if age_s < -CLOCK_MARGIN_S:
        raise RefusedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.BAD_REQUEST,
            detail="the key was issued in the future",
        )


def _stored_key(value: bytes) -> BoundKey:
    bound = parse_key(value.decode())
    if bound is None:
        raise StoreUnavailableError("the record of the key is damaged")
    return bound


def _unavailable(detail: str) -> RefusedError:
    # An earlier try through another entry may have run.
    return RefusedError(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.CLAIM_UNAVAILABLE,
        detail=detail,
        retry_after_s=RETRY_AFTER_S,
    )
