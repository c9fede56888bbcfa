"""Token requests that concurrent requests of a workspace share."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from borageramp_core.routing import (
    Instance,
    QuotaAdmission,
    QuotaOutcome,
    ShardAnswer,
    Workspace,
)
from borageramp_entry._internal.routed.quota.messages import TokenRequest

__all__ = ["SharedTokenRequests"]

# Time after which no further shard is asked, as two didn't answer.
MAX_ASKING_S = 0.3

Ask = Callable[[Instance, TokenRequest], Awaitable[ShardAnswer | None]]
Waiting = list[asyncio.Future[QuotaOutcome]]


class SharedTokenRequests:
    """Asks for tokens, for one workspace at a time by one token request.

    Requests that arrive meanwhile wait, and share the next one.

    Parameters
    ----------
    admission : QuotaAdmission
        Decides which shards are asked.
    ask : callable
        Asks an instance for tokens; returns ``None`` if it didn't answer.
    on_outcome : callable
        Called with the name of the workspace, the tokens needed and the outcome.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        admission: QuotaAdmission,
        ask: Ask,
        on_outcome: Callable[[str, int, QuotaOutcome], None],
        clock: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._ask = ask
        self._on_outcome = on_outcome
        self._clock = clock
        self._waiting: dict[str, Waiting] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def take(self, workspace: Workspace) -> QuotaOutcome:
        """Return the outcome for one request, with one token granted or none."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(workspace.name, []).append(future)
        if workspace.name not in self._tasks:
            task = asyncio.ensure_future(self._serve(workspace))
            self._tasks[workspace.name] = task
        try:
            outcome: QuotaOutcome = await future
        except asyncio.CancelledError:
            # A token may have been granted just before the cancellation.
            if future.done() and not future.cancelled() and not future.exception():
                self._keep(workspace, future.result().granted)
            raise
        return outcome

    async def _serve(self, workspace: Workspace) -> None:
        waiting: Waiting = []
        try:
            while waiting := self._waiting.pop(workspace.name, []):
                outcome = await self._request(workspace, count=len(waiting))
                self._on_outcome(workspace.name, len(waiting), outcome)
                self._hand_out(workspace, waiting, outcome)
        except Exception as error:
            for future in (*waiting, *self._waiting.pop(workspace.name, [])):
                if not future.done():
                    future.set_exception(error)
        finally:
            for future in (*waiting, *self._waiting.pop(workspace.name, [])):
                future.cancel()
            del self._tasks[workspace.name]

    async def _request(self, workspace: Workspace, *, count: int) -> QuotaOutcome:
        now_s = self._clock()
        ends_at_s = now_s + MAX_ASKING_S
        asking = self._admission.begin(workspace, count=count, now_s=now_s)
        while now_s < ends_at_s and (owner := asking.next_owner(now_s=now_s)):
            request = TokenRequest(
                workspace=workspace.name,
                count=asking.missing,
                returned=asking.take_returns(),
            )
            answer = await self._ask(owner, request)
            now_s = self._clock()
            if answer is None:
                asking.on_no_answer(owner, now_s=now_s)
            else:
                asking.on_answer(owner, answer, now_s=now_s)
        return asking.end(now_s=now_s)

    def _hand_out(
        self, workspace: Workspace, waiting: Waiting, outcome: QuotaOutcome
    ) -> None:
        """Give the tokens to those that came first; keep those of callers that left."""
        left = outcome.granted
        for future in waiting:
            if not future.done():
                future.set_result(replace(outcome, granted=min(1, left)))
                left -= min(1, left)
        self._keep(workspace, left)

    def _keep(self, workspace: Workspace, tokens: int) -> None:
        """Keep tokens that callers no longer wait for."""
        for _ in range(tokens):
            self._admission.keep_token(workspace.name, now_s=self._clock())

    def close(self) -> None:
        """End all token requests."""
        for task in self._tasks.values():
            task.cancel()
