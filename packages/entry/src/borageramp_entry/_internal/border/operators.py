"""The operators' port: configuration, status, explanations, metrics, health."""

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.web.server import Request

from borageramp_core import (
    ConfigurationConflictError,
    ConfigurationInvalidError,
    OutcomeUnknownError,
    SettingsError,
    StoreError,
)
from borageramp_entry._internal.border.http import Leaf, send_json
from borageramp_entry._internal.border.services import EntryServices
from borageramp_entry._internal.border.statuspage import StatusPage
from borageramp_entry._internal.control.changes import ChangeWriter, Written
from borageramp_entry._internal.control.peers import PEER_FAILURES, PeerTasks
from borageramp_settings import ChangeRequest, validate
from borageramp_wire import peer_pb2

__all__ = ["OperatorResource"]

CONFIRM_WITHIN_S = 4.0
CONFIRM_STEP_S = 0.02
EXPLAIN_WITHIN_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reply:
    status: int
    value: Any


class OperatorResource(Leaf):
    """Serves operators.

    Parameters
    ----------
    services : EntryServices
        The parts of the entry.
    writer : ChangeWriter
        Writes changes.
    peers : PeerTasks
        Connections to peers.
    page : StatusPage
        Makes the status.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        services: EntryServices,
        writer: ChangeWriter,
        peers: PeerTasks,
        page: StatusPage,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._services = services
        self._writer = writer
        self._peers = peers
        self._page = page
        self._clock = clock
        self._routes: dict[
            tuple[str, str], Callable[[Request, str], Awaitable[_Reply]]
        ] = {
            ("GET", "configuration"): self._show,
            ("POST", "configuration"): self._change,
            ("GET", "operations"): self._operations,
            ("GET", "status"): self._status,
            ("GET", "explain"): self._explain,
            ("GET", "live"): self._live,
            ("GET", "ready"): self._ready,
        }

    def on_gone(self, request: Request, task: "asyncio.Task[None]") -> None:
        """Let a change go on when its operator is gone."""

    async def serve(self, request: Request) -> None:
        """Serve a request."""
        gone = request.notifyFinish()
        gone.addErrback(lambda _: None)
        if request.path == b"/metrics":
            self._metrics(request)
            return
        reply = await self._reply(request)
        if not getattr(request, "_disconnected", False):
            send_json(request, reply.status, reply.value)

    async def _reply(self, request: Request) -> _Reply:
        parts = request.path.decode("latin-1").strip("/").split("/")
        rest = "/".join(parts[2:])
        name = parts[1] if len(parts) > 1 and parts[0] == "v1" else ""
        route = self._routes.get((request.method.decode("latin-1"), name))
        if route is None:
            return _Reply(status=404, value={"error": "not_found"})
        try:
            return await route(request, rest)
        except StoreError as error:
            detail = str(error)
            return _Reply(
                status=503, value={"error": "store_unavailable", "detail": detail}
            )
        except Exception as error:
            self._services.reporter.failed("operator", error)
            return _Reply(status=500, value={"error": "internal"})

    def _metrics(self, request: Request) -> None:
        text = self._services.reporter.metrics.text()
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        request.write(text)
        request.finish()

    async def _show(self, request: Request, rest: str) -> _Reply:
        held = self._services.configuration.held
        return _Reply(
            status=200,
            value={
                "revision": held.revision,
                "operation_id": held.operation_id,
                "tree": held.raw,
            },
        )

    async def _operations(self, request: Request, rest: str) -> _Reply:
        if rest:
            found = await self._writer.find(rest)
            status = 404 if found is None else 200
            value = {} if found is None else dataclasses.asdict(found)
            return _Reply(status=status, value=value)
        history = await self._writer.history()
        return _Reply(
            status=200,
            value={"operations": [dataclasses.asdict(o) for o in history]},
        )

    async def _change(self, request: Request, rest: str) -> _Reply:
        content = request.content
        try:
            raw = json.loads(content.read() if content is not None else b"")
            change = validate(ChangeRequest, raw)
        except (ValueError, SettingsError) as error:
            return _Reply(
                status=400, value={"error": "bad_request", "detail": str(error)}
            )
        try:
            written = await self._writer.write(change)
        except ConfigurationInvalidError as error:
            return _invalid(error)
        except ConfigurationConflictError as error:
            return _conflict(error)
        except OutcomeUnknownError as error:
            return _unknown(change, error)
        return await self._confirm(change, written)

    async def _confirm(self, change: ChangeRequest, written: Written) -> _Reply:
        in_force = await self._wait_in_force(written.revision)
        value = {
            "outcome": "accepted" if in_force else "unconfirmed",
            "revision": written.revision,
            "operation_id": change.operation_id,
            "changed": list(written.changed),
            "repeated": written.repeated,
        }
        return _Reply(status=200 if in_force else 202, value=value)

    async def _wait_in_force(self, revision: int) -> bool:
        until_s = self._clock() + CONFIRM_WITHIN_S
        self._peers.hurry()
        while not self._page.in_force(revision):
            if self._clock() > until_s:
                return False
            await asyncio.sleep(CONFIRM_STEP_S)
            self._peers.hurry()
        return True

    async def _status(self, request: Request, rest: str) -> _Reply:
        return _Reply(status=200, value=self._page.status())

    async def _explain(self, request: Request, rest: str) -> _Reply:
        decisions = self._services.reporter.decisions.explain(rest)
        events = [f"{d.at_s:.6f} {d.entry} {d.event}" for d in decisions]
        asked = [self._ask_peer(task.stub, rest) for task in self._peers.all()]
        for heard in await asyncio.gather(*asked):
            events.extend(heard)
        status = 200 if events else 404
        return _Reply(
            status=status, value={"request_id": rest, "events": sorted(events)}
        )

    async def _ask_peer(self, stub: Any, request_id: str) -> list[str]:
        message = peer_pb2.ExplainRequest(request_id=request_id)
        try:
            async with asyncio.timeout(EXPLAIN_WITHIN_S):
                reply = await stub.Explain(message)
        except PEER_FAILURES:
            return []
        return list(reply.events)

    async def _live(self, request: Request, rest: str) -> _Reply:
        return _Reply(status=200, value={"live": True})

    async def _ready(self, request: Request, rest: str) -> _Reply:
        ready = self._services.may_serve() and not self._services.closing()
        return _Reply(status=200 if ready else 503, value={"ready": ready})


def _invalid(error: ConfigurationInvalidError) -> _Reply:
    faults = [dataclasses.asdict(fault) for fault in error.faults]
    return _Reply(status=422, value={"error": "invalid", "faults": faults})


def _conflict(error: ConfigurationConflictError) -> _Reply:
    return _Reply(
        status=409,
        value={
            "error": "conflict",
            "detail": str(error),
            "base_revision": error.base_revision,
            "current_revision": error.current_revision,
            "changed": list(error.changed),
            "author": error.author,
        },
    )


def _unknown(change: ChangeRequest, error: OutcomeUnknownError) -> _Reply:
    return _Reply(
        status=504,
        value={
            "error": "unknown_outcome",
            "detail": str(error),
            "operation_id": change.operation_id,
        },
    )
