"""Instances that forward requests to each other, in simulated time."""

import asyncio
import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Any

from borageramp_core import RefusedError
from borageramp_entry._internal.border.http_request import HttpRequest
from borageramp_entry._internal.routed.reachability_monitor import (
    ReachabilityMonitor,
)
from borageramp_entry._internal.serving.http_connection import HttpConnection
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.upstreams import UpstreamAnswer
from borageramp_entry.routed import Headers
from tests.lib.dispatching import make_prober, make_upstream_answer
from tests.lib.forwarding import Member, make_request
from tests.lib.routed import make_instance

__all__ = ["Outcome", "PeerFleet"]

LINK_DELAY_S = 0.001
WORK_S = 0.02
DATA_CENTRES = 3


class _Request(HttpRequest):
    """A request of another instance, whose answer is kept whole."""

    def __init__(self, *, method: str, target: str) -> None:
        channel: Any = None
        super().__init__(channel, method=method, target=target)
        self.response = HttpResponse(HttpConnection(on_idle=lambda connection: None))

    def answer(
        self, status: int, headers: Headers, body: bytes, *, last: bool = False
    ) -> None:
        self.response.on_head(status, headers)
        self.response.on_body(body)
        self.response.on_end(whole=True)

    async def drained(self) -> None:
        """Return at once: the whole answer has been taken."""


class _Links:
    """HTTP client of an instance for the others."""

    def __init__(self, members: dict[str, Member]) -> None:
        self._members = members

    async def request(
        self,
        place: tuple[str, int],
        method: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        **_: Any,
    ) -> HttpResponse:
        request = _Request(method=method, target=path)
        request.headers, request.body = headers, body
        await asyncio.sleep(LINK_DELAY_S)
        await self._members[f"{place[0]}:{place[1]}"].handler.serve(request)
        await asyncio.sleep(LINK_DELAY_S)
        return request.response

    def close(self) -> None:
        """Do nothing."""


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request of a caller ended.

    Attributes
    ----------
    member : str
        Name of the instance that took it.
    started_at_s, took_s : float
        When it arrived, in simulated time, and how long it took.
    served : bool
        Whether an upstream answered it.
    """

    member: str
    started_at_s: float
    took_s: float
    served: bool


async def _work(request: Any) -> UpstreamAnswer:
    await asyncio.sleep(WORK_S)
    return make_upstream_answer()


class PeerFleet:
    """A fleet in three data centres; runs in simulated time.

    Parameters
    ----------
    size : int
        Number of instances.
    seed : int
        Seed of the times at which requests arrive.

    Attributes
    ----------
    members : list of Member
        The instances.
    outcomes : list of Outcome
        Requests that have ended.
    cut_off_names : frozenset of str
        Names of the instances that were cut off last.
    cut_at_s : float
        When that was, in simulated time.
    questions_noticed, taken_noticed : dict of str to int
        Questions asked, and requests of others taken, when `on_noticed` was called.
    """

    def __init__(self, size: int, *, seed: int) -> None:
        self._rng = random.Random(seed)
        self._clock = asyncio.get_running_loop().time
        self.outcomes: list[Outcome] = []
        self.cut_off_names: frozenset[str] = frozenset()
        self.cut_at_s = float("inf")
        self.questions_noticed: dict[str, int] = {}
        self.taken_noticed: dict[str, int] = {}
        by_address: dict[str, Member] = {}
        self.members = [
            Member(
                f"i{n}",
                data_centre=f"dc{n % DATA_CENTRES}",
                http=_Links(by_address),
            )
            for n in range(size)
        ]
        for n, member in enumerate(self.members):
            address = f"10.0.{n // 250}.{n % 250 + 1}:7000"
            member.client.answer = _work
            member.client.silent = True
            member.instance = make_instance(
                member.name,
                data_centre=f"dc{n % DATA_CENTRES}",
                peer_address=address,
            )
            prober = make_prober(member.client, member.pools, clock=self._clock)
            ReachabilityMonitor(pools=member.pools, prober=prober)
            by_address[address] = member
        for member in self.members:
            others = [m.instance for m in self.members if m is not member]
            member.forwarder.update(others)

    def cut_off(self, names: Collection[str]) -> None:
        """Cut the links of instances to all upstreams; they have to notice."""
        self.cut_off_names, self.cut_at_s = frozenset(names), self.now_s
        for member in self.members:
            member.client.reached = member.name not in names

    @property
    def now_s(self) -> float:
        """Simulated time in seconds."""
        return self._clock()

    @property
    def questions(self) -> dict[str, int]:
        """Questions to others whether they reach a service, by instance."""
        return {m.name: m.forwarder.search.asked for m in self.members}

    def on_noticed(self) -> None:
        """Record what was counted until a cut has been noticed."""
        self.questions_noticed = self.questions
        self.taken_noticed = {m.name: m.forwarded_count for m in self.members}

    async def receive_requests(self, *, rate_hz: float, for_s: float) -> None:
        """Let requests arrive at each instance, and wait for their ends."""
        async with asyncio.TaskGroup() as tasks:
            for member in self.members:
                for at_s in self._arrivals(rate_hz, for_s):
                    tasks.create_task(self._run_request(member, delay_s=at_s))

    def _arrivals(self, rate_hz: float, for_s: float) -> Iterator[float]:
        at_s = self._rng.expovariate(rate_hz)
        while at_s < for_s:
            yield at_s
            at_s += self._rng.expovariate(rate_hz)

    async def _run_request(self, member: Member, *, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        started_at_s = self.now_s
        served = True
        try:
            await member.run(make_request(idempotent=self._rng.random() < 0.5))
        except RefusedError:
            served = False
        self.outcomes.append(
            Outcome(
                member=member.name,
                started_at_s=started_at_s,
                took_s=self.now_s - started_at_s,
                served=served,
            )
        )

    def outcomes_in_cut(self, *, after_s: float) -> list[Outcome]:
        """Return how requests ended at the instances that are cut off.

        Parameters
        ----------
        after_s : float
            Time after the cut from which requests count, in seconds.
        """
        return [
            outcome
            for outcome in self.outcomes
            if outcome.member in self.cut_off_names
            and outcome.started_at_s >= self.cut_at_s + after_s
        ]
