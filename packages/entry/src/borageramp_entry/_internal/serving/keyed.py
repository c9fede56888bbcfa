"""Non-idempotent requests: at most one run for each key."""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import replace

from borageramp_core import (
    BoundKey,
    ClaimTable,
    Join,
    KeptAnswer,
    Membership,
    Reason,
    RefusedError,
    Reject,
    Replay,
    ServicePolicy,
    Verdict,
    parse_key,
)
from borageramp_entry._internal.reporting import Reporter
from borageramp_entry._internal.serving.binding import KeyBinder
from borageramp_entry._internal.serving.delivery import Delivered
from borageramp_entry._internal.serving.dispatcher import Dispatcher, Terms
from borageramp_entry._internal.serving.keyed_run import KeyedRun
from borageramp_entry._internal.serving.relay import PeerRelay
from borageramp_entry._internal.serving.requests import (
    AnswerHead,
    AnswerSink,
    CallerRequest,
)

__all__ = ["KeyedRequests"]

# How long after its deadline an answer is still collected for a repeat.
LATE_ANSWER_S = 30.0
# A refusal by the run itself, at the deadline, goes before the reader's own.
DEADLINE_SLACK_S = 0.02
RETRY_AFTER_S = 0.5


class KeyedRequests:
    """Runs keyed requests, or passes them to the entry that decides on them.

    Parameters
    ----------
    claims : ClaimTable
        Keys that this entry answers for.
    binder : KeyBinder
        Binds plain keys.
    dispatcher : Dispatcher
        Dispatches to upstreams.
    relay : PeerRelay
        Passes requests on to peers.
    membership : Membership
        Knows the successors of stopped entries.
    reporter : Reporter
        Is told each decision.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        claims: ClaimTable,
        binder: KeyBinder,
        dispatcher: Dispatcher,
        relay: PeerRelay,
        membership: Membership,
        reporter: Reporter,
        clock: Callable[[], float],
    ) -> None:
        self._claims = claims
        self._binder = binder
        self._dispatcher = dispatcher
        self._relay = relay
        self._membership = membership
        self._reporter = reporter
        self._clock = clock
        self._runs: dict[str, KeyedRun] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(
        self, request: CallerRequest, sink: AnswerSink, policy: ServicePolicy
    ) -> Delivered:
        """Serve a request with a key.

        Parameters
        ----------
        request : CallerRequest
            The request.
        sink : AnswerSink
            Where the answer goes.
        policy : ServicePolicy
            Settings of the service.

        Raises
        ------
        RefusedError
            If there is no answer; nothing was written to the sink.
        """
        key = parse_key(request.key) or await self._binder.bind(request, policy)
        if self._claims.is_responsible_for(key.incarnation):
            return await self._serve_own(request, key, sink, policy)
        if request.owner:
            raise _owner_gone("the peer that asked took another for the owner")
        return await self._serve_by_owner(request, key, sink)

    async def _serve_by_owner(
        self, request: CallerRequest, key: BoundKey, sink: AnswerSink
    ) -> Delivered:
        owner = self._membership.key_owner(key.incarnation)
        if owner is None:
            raise _owner_gone("the process that decides on the key is gone")
        self._reporter.decided(
            request.request_id, "to the key's owner", owner=owner.listed.name
        )
        bound = replace(request, key=str(key))
        return await self._relay.execute(
            owner.incarnation, bound, purpose="claim", sink=sink
        )

    async def _serve_own(
        self,
        request: CallerRequest,
        key: BoundKey,
        sink: AnswerSink,
        policy: ServicePolicy,
    ) -> Delivered:
        admission = self._claims.admit(
            key, digest=_digest(request), now_s=self._clock()
        )
        self._reporter.decided(
            request.request_id, "key checked", admission=type(admission).__name__
        )
        if isinstance(admission, Reject):
            raise RefusedError(
                verdict=admission.verdict,
                reason=admission.reason,
                detail=admission.detail,
                retry_after_s=RETRY_AFTER_S,
            )
        if isinstance(admission, Replay):
            return await _replay(admission.answer, sink)
        if isinstance(admission, Join):
            return await self._join(request, key, sink)
        return await self._run(request, key, sink, policy)

    async def _join(
        self, request: CallerRequest, key: BoundKey, sink: AnswerSink
    ) -> Delivered:
        run = self._runs.get(str(key))
        if run is None:
            raise _no_answer_yet()
        wait_s = max(0.0, request.deadline_s - self._clock())
        try:
            async with asyncio.timeout(wait_s):
                answer = await asyncio.shield(run.outcome)
        except TimeoutError:
            raise _no_answer_yet() from None
        if answer is None:
            raise RefusedError(
                verdict=Verdict.RAN,
                reason=Reason.ANSWER_NOT_KEPT,
                detail="the answer is too large to keep, or was cut short",
            )
        return await _replay(answer, sink)

    async def _run(
        self,
        request: CallerRequest,
        key: BoundKey,
        sink: AnswerSink,
        policy: ServicePolicy,
    ) -> Delivered:
        run = KeyedRun(kept_bytes=policy.kept_answer_bytes)
        self._runs[str(key)] = run
        task = asyncio.ensure_future(self._dispatch(request, key, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        wait_s = max(0.0, request.deadline_s - self._clock()) + DEADLINE_SLACK_S
        try:
            return await run.read_into(sink, head_wait_s=wait_s)
        except TimeoutError:
            raise _no_answer_yet() from None

    async def _dispatch(
        self, request: CallerRequest, key: BoundKey, run: KeyedRun
    ) -> None:
        terms = Terms(
            late_s=LATE_ANSWER_S,
            may_dispatch=lambda: self._claims.may_dispatch(key),
        )
        refusal: RefusedError | None = None
        try:
            delivered = await self._dispatcher.run(
                replace(request, key=str(key)), run, terms=terms
            )
        except RefusedError as error:
            refusal = error
        except Exception as error:
            refusal = RefusedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.INTERNAL,
                detail=type(error).__name__,
            )
        if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
            self._claims.mark_not_run(key)
        elif refusal is not None or not delivered.whole:
            self._claims.mark_unknown(key)
        else:
            self._claims.mark_finished(key, run.kept)
        self._runs.pop(str(key), None)
        await run.close(refusal)

    async def settle(self, *, within_s: float) -> None:
        """Wait for the runs under way."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=within_s)


def _digest(request: CallerRequest) -> str:
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.service, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()


async def _replay(answer: KeptAnswer, sink: AnswerSink) -> Delivered:
    headers = (*answer.headers, ("borageramp-replayed", b"1"))
    sink.start(AnswerHead(status=answer.status, headers=headers))
    await sink.write(answer.body)
    sink.finish()
    return Delivered(whole=True, status=answer.status)


def _owner_gone(detail: str) -> RefusedError:
    return RefusedError(
        verdict=Verdict.MAY_HAVE_RUN, reason=Reason.OWNER_GONE, detail=detail
    )


def _no_answer_yet() -> RefusedError:
    return RefusedError(
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.DEADLINE_PASSED,
        detail="the request is running and its answer has not come",
        retry_after_s=RETRY_AFTER_S,
    )
