"""Requests that an upstream has when its instance is cut off, in simulated time."""

import asyncio
from typing import Any

from borageramp_entry._internal.serving.upstreams import UpstreamAnswer
from borageramp_settings import FleetBounds
from tests.lib.forwarding import Member, make_request
from tests.lib.simulated_peers import PeerFleet
from tests.lib.simulated_time import run_simulated

DEADLINE_S = 5.0
# The rule on recovery counts requests from then on.
NOTICE_S = 3.0


async def hang(request: Any) -> UpstreamAnswer:
    await asyncio.sleep(3600)
    raise AssertionError


def allow_one_retry(member: Member) -> None:
    """Leave a member the retry budget of an instance in a large fleet."""
    member.pools.bounds = FleetBounds(
        probes_hz=1000.0, retry_ratio=0.2, retry_slack=1.0
    )
    for _ in range(20):
        member.pools.retry_budget("records").earn()


# Guards against requests that end at their deadline, as a hedge that reached nothing
# has used up the retry budget.
def test_a_hedge_that_reaches_no_upstream_leaves_its_retry_to_another_way() -> None:
    async def run() -> float:
        fleet = PeerFleet(2, seed=1)
        cut_off, other = fleet.members
        allow_one_retry(cut_off)
        cut_off.client.answer = hang
        await asyncio.sleep(1.0)
        request = make_request(idempotent=True, timeout_s=DEADLINE_S)
        started_at_s = fleet.now_s
        running = asyncio.ensure_future(cut_off.run(request))
        await asyncio.sleep(0.1)
        fleet.cut_off([cut_off.name])
        assert (await running).complete
        assert len(other.client.sent) == 1
        return fleet.now_s - started_at_s

    assert run_simulated(run()) < NOTICE_S


# Guards against retries beyond the budget, which bounds what reaches upstreams.
def test_a_hedge_that_reaches_an_upstream_uses_up_its_retry() -> None:
    async def run() -> int:
        fleet = PeerFleet(1, seed=1)
        (member,) = fleet.members
        allow_one_retry(member)
        member.client.answer = hang
        await asyncio.sleep(1.0)
        requests = (
            make_request(idempotent=True, timeout_s=1.0, max_runs=4) for _ in range(3)
        )
        await asyncio.gather(*map(member.run, requests), return_exceptions=True)
        return len(member.client.sent)

    assert run_simulated(run()) == 3 + 1
