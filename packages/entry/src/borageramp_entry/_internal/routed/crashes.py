"""Detection of requests that crash upstreams.

A broken connection doesn't prove that the upstream crashed. So the upstream is
probed, and only if nothing listens at its address any more, while another upstream
answers, does the request that it was running become a suspect. A suspect whose caller
got no answer is published to the other instances through the store; after enough
crashes it is quarantined.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from borageramp_core import AttemptResult, StoreError, Suspects
from borageramp_core.routing import CrashSuspect, UpstreamView
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.records import encode_suspect, suspect_key
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient
from borageramp_entry._internal.store.base import Commit, Put, Store

__all__ = ["CrashDetector", "make_suspects"]

_log = get_logger(__name__)

# Unrelated crashes rarely coincide with the same request three times.
MAX_CRASHES = 3
# Callers retry for some seconds; after this, the request gets another chance.
SUSPECT_TTL_S = 30.0
# Time for the host of a crashed upstream to refuse a connection.
CONFIRM_TIMEOUT_S = 0.3
# Published suspects remembered, so that each is merged only once.
MAX_MERGED_SUSPECTS = 1000


def make_suspects() -> Suspects:
    """Return an empty set of suspects for an instance."""
    return Suspects(max_crashes=MAX_CRASHES, retention_s=SUSPECT_TTL_S)


class CrashDetector:
    """Detects requests that crash upstreams and publishes them to other instances.

    Parameters
    ----------
    instance : str
        Name of this instance.
    suspects : Suspects
        Suspects known to this instance.
    store : Store
        Store through which suspects are published.
    client : UpstreamClient
        Connections to upstreams.
    other_upstreams : callable
        Returns other upstreams than a given one, which show whether this instance
        reaches any.
    """

    def __init__(
        self,
        *,
        instance: str,
        suspects: Suspects,
        store: Store,
        client: UpstreamClient,
        other_upstreams: Callable[[UpstreamView], Sequence[UpstreamView]],
    ) -> None:
        self._instance = instance
        self._suspects = suspects
        self._store = store
        self._client = client
        self._other_upstreams = other_upstreams
        self._tasks: set[asyncio.Task[None]] = set()
        self._merged: set[CrashSuspect] = set()
        self._published: set[str] = set()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request has to be refused."""
        return self._suspects.is_quarantined(fingerprint, now_s=_now_s())

    def on_answer(self, fingerprint: str) -> None:
        """Record that a request was answered."""
        self._suspects.clear(fingerprint, now_s=_now_s())

    def on_unanswered(self, fingerprint: str, views: list[UpstreamView]) -> None:
        """Record that a request ended without an answer.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        views : list of UpstreamView
            Upstreams whose connections broke while they ran it.
        """
        self._start(self._confirm_crashes(fingerprint, views))

    def on_store_restored(self) -> None:
        """Publish again what the store may have lost."""
        for fingerprint in self._published:
            self._start(self._publish(fingerprint))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_crashes(
        self, fingerprint: str, views: list[UpstreamView]
    ) -> None:
        crashed = [v for v in views if await self._has_crashed(v)]
        if not crashed:
            return
        for view in crashed:
            incarnation_id = f"{view.registration.id}/{view.registration.started_ms}"
            self._suspects.on_crash(
                [fingerprint], upstream=incarnation_id, now_s=_now_s()
            )
        crash_count = self._suspects.crashes(fingerprint, now_s=_now_s())
        _log.warning("crash suspect", fingerprint=fingerprint, deaths=crash_count)
        await self._publish(fingerprint)

    async def _has_crashed(self, view: UpstreamView) -> bool:
        if await self._check(view) is not AttemptResult.UNREACHABLE:
            return False
        others = self._other_upstreams(view)
        if not others:
            return True
        # If none of them answers, it is the network of this instance that fails.
        results = await asyncio.gather(*(self._check(other) for other in others))
        return AttemptResult.ANSWERED in results

    async def _check(self, view: UpstreamView) -> AttemptResult:
        try:
            await self._client.ask_health(
                view.upstream,
                "/",
                timeout_s=CONFIRM_TIMEOUT_S,
                connect_timeout_s=CONFIRM_TIMEOUT_S,
            )
        except TryFailedError as error:
            return error.result
        return AttemptResult.ANSWERED

    async def _publish(self, fingerprint: str) -> None:
        recent = dict(self._suspects.recent(now_s=_now_s()))
        self._published &= recent.keys()
        suspect_state = recent.get(fingerprint)
        if suspect_state is None or not suspect_state.upstreams:
            self._published.discard(fingerprint)
            return
        self._published.add(fingerprint)
        suspect = CrashSuspect(
            fingerprint=fingerprint, upstreams=tuple(sorted(suspect_state.upstreams))
        )
        try:
            lease_id = await self._store.grant_lease(SUSPECT_TTL_S)
            put = Put(
                key=suspect_key(fingerprint, instance=self._instance),
                value=encode_suspect(suspect),
                lease_id=lease_id,
            )
            await self._store.commit([Commit(conditions=(), puts=(put,))])
        except StoreError as error:
            _log.warning("suspect not told", error=str(error))

    def merge(self, suspect: CrashSuspect) -> None:
        """Merge a suspect published by another instance, once."""
        if suspect in self._merged:
            return
        if len(self._merged) >= MAX_MERGED_SUSPECTS:
            self._merged.clear()
        self._merged.add(suspect)
        self._suspects.merge(
            suspect.fingerprint, suspect.upstreams, age_s=0.0, now_s=_now_s()
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
