"""A dispatcher with scripted upstreams."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from borageramp_core import AttemptResult, Notice
from borageramp_core.routing import FleetState
from borageramp_entry._internal.routed.crashes import CrashDetector, make_suspects
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.peer_forwarding import PeerForwarder
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.serving.http_connection import HttpConnection
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.upstreams import (
    HealthAnswer,
    TryFailedError,
    UpstreamAnswer,
)
from borageramp_entry.routed import AnswerHead, Headers
from borageramp_settings import FleetBounds
from tests.lib.routed import (
    HERE,
    make_cold,
    make_config,
    make_registration,
    make_report,
)

__all__ = [
    "ScriptedClient",
    "ShedWithNotice",
    "make_dispatcher",
    "make_prober",
    "make_upstream_answer",
]


@dataclass(frozen=True)
class ShedWithNotice:
    """A step that sheds the request and sends a notice."""

    notice: Notice


Step = AttemptResult | int | str | ShedWithNotice


class ScriptedClient:
    """Upstreams that follow a script with one step per request.

    A step is the failure of a try, the status of an answer, or ``hang``.
    """

    def __init__(self, *steps: Step) -> None:
        self._steps = list(steps)
        self.sent: list[str] = []
        self.cancelled: list[str] = []
        self.clock_reads = 0

    async def send(self, upstream: Any, request: Any, **_: Any) -> UpstreamAnswer:
        self.sent.append(upstream.name)
        step = self._steps.pop(0)
        if step == "hang":
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.cancelled.append(upstream.name)
                raise
        if isinstance(step, AttemptResult):
            raise TryFailedError(step)
        if isinstance(step, ShedWithNotice):
            raise TryFailedError(AttemptResult.SHED, notice=step.notice)
        return make_upstream_answer(int(step))

    async def ask_health(self, upstream: Any, *_: Any, **__: Any) -> HealthAnswer:
        return HealthAnswer(healthy=True, report=make_report())

    def forget(self, upstream: Any, **_: Any) -> int:
        """Do nothing: this client keeps no state per upstream."""
        return 0


def make_upstream_answer(
    status: int = 200,
    *,
    body: bytes = b"body",
    headers: Headers = (),
    whole: bool = True,
) -> UpstreamAnswer:
    """Return an answer of an upstream that has arrived."""
    response = HttpResponse(HttpConnection(on_idle=lambda connection: None))
    response.on_head(status, headers)
    response.on_body(body)
    response.on_end(whole=whole)
    head = AnswerHead(status=status, headers=headers)
    return UpstreamAnswer(head=head, report=None, _response=response)


def make_prober(
    client: Any, pools: PoolRegistry, *, clock: Callable[[], float]
) -> Prober:
    """Return a prober of the upstreams of a client."""
    return Prober(
        client=client, pools=pools, health_path=lambda s: "/healthz", clock=clock
    )


def make_dispatcher(
    client: Any,
    *,
    clock: Callable[[], float],
    upstreams: int = 4,
    forwarder: PeerForwarder | None = None,
) -> RoutedDispatcher:
    """Return a dispatcher of one service whose upstreams a client stands for."""
    fleet_state = FleetState()
    fleet_state.put("op/config", make_config())
    for i in range(upstreams):
        fleet_state.put(f"servers/u{i}", make_registration(f"u{i}", port=1000 + i))
    rng = random.Random(1)
    pools = PoolRegistry(
        member="e0",
        data_centre=HERE,
        bounds=FleetBounds(probes_hz=1000.0, retry_ratio=1.0),
        cold=make_cold(),
        on_removed=lambda view: None,
        rng=rng,
        clock=clock,
    )
    pools.apply(fleet_state, entries=frozenset({"e0"}), now_s=clock())
    store: Any = None
    return RoutedDispatcher(
        pools=pools,
        prober=make_prober(client, pools, clock=clock),
        client=client,
        crash_detector=CrashDetector(
            instance="e0",
            suspects=make_suspects(),
            store=store,
            client=client,
            other_upstreams=pools.answered_last,
        ),
        rng=rng,
        clock=clock,
        forwarder=forwarder,
    )
