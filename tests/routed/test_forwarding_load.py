"""Fleets of which most instances reach no upstream, under load."""

import asyncio
from typing import Any

from borageramp_core import AttemptResult, RefusedError
from borageramp_entry._internal.serving.upstreams import UpstreamAnswer
from tests.lib.dispatching import make_upstream_answer
from tests.lib.forwarding import Member, make_request, running_members

WORK_S = 0.02
INTERVAL_S = 0.01
LONG_WORK_S = 0.2
# Requests that one stub upstream runs at a time.
SLOTS = 4
# Longest time until an answer that callers count as quick.
OBJECTIVE_S = 0.25


async def work_long(request: Any) -> UpstreamAnswer:
    await asyncio.sleep(LONG_WORK_S)
    return make_upstream_answer()


async def work(request: Any) -> UpstreamAnswer:
    await asyncio.sleep(WORK_S)
    return make_upstream_answer()


async def send_all(members: list[Member], count: int) -> list[float]:
    """Send requests to members in turn; return how long the served ones took."""
    clock = asyncio.get_running_loop().time
    durations_s: list[float] = []

    async def send(member: Member, number: int) -> None:
        started_s = clock()
        try:
            await member.run(make_request(idempotent=bool(number % 2)))
        except RefusedError:
            return
        durations_s.append(clock() - started_s)

    tasks = []
    for number in range(count):
        member = members[number % len(members)]
        tasks.append(asyncio.ensure_future(send(member, number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return durations_s


# Guards against refusals while a few instances still reach all upstreams.
def test_a_few_instances_serve_the_callers_of_most() -> None:
    names = [f"i{n}" for n in range(18)]
    cut_off_count = 13
    requests = 260

    async def run() -> None:
        async with running_members(*names, remote=tuple(names[::3])) as members:
            for member in members:
                member.client.answer = work
            cut_off, others = members[:cut_off_count], members[cut_off_count:]
            for member in cut_off:
                member.cut_off()
            durations_s = await send_all(cut_off, requests)
            assert len(durations_s) == requests
            durations_s.sort()
            assert durations_s[int(0.95 * requests)] < OBJECTIVE_S
            # Every request ran once, none was passed on twice, all took part.
            served = [len(m.client.sent) for m in others]
            assert sum(served) == requests
            assert sum(m.forwarder.forwarded for m in others) == 0
            assert max(served) < 3 * requests / len(others) and min(served) > 0
            assert not any(m.client.sent for m in cut_off)

    asyncio.run(run())


# Guards against requests that are held while no instance can serve them.
def test_a_fleet_that_reaches_nothing_refuses_a_burst_at_once() -> None:
    async def run() -> None:
        async with running_members(*(f"i{n}" for n in range(18))) as members:
            for member in members:
                member.cut_off()
            clock = asyncio.get_running_loop().time
            for _ in range(2):
                started_s = clock()
                results = await asyncio.gather(
                    *(m.run(make_request()) for m in members for _ in range(10)),
                    return_exceptions=True,
                )
                assert all(isinstance(r, RefusedError) for r in results)
                assert clock() - started_s < 1.0
            assert sum(m.forwarder.forwarded for m in members) == 0
            assert sum(m.client.tried for m in members) == 0

    asyncio.run(run())


def lose_most(member: Member) -> None:
    """Lose the links to all upstreams but the first."""
    first, *others = member.pools.pool("records").views.values()
    for view in others:
        member.pools.on_unreached(view, AttemptResult.UNREACHABLE)
    member.client.reached_only = first.registration.id
    member.pools.on_reached(first)


async def run_at_once(member: Member, count: int) -> int:
    """Send requests at once; return how many were served."""
    results = await asyncio.gather(
        *(member.run(make_request(idempotent=False)) for _ in range(count)),
        return_exceptions=True,
    )
    return sum(not isinstance(r, BaseException) for r in results)


# Guards against requests that wait for one upstream while others reach all of them.
def test_what_a_partly_reached_service_has_no_room_for_goes_elsewhere() -> None:
    async def run() -> None:
        async with running_members("a", "b") as (a, b):
            for member in (a, b):
                member.client.answer = work_long
            lose_most(a)
            assert await run_at_once(a, 2 * SLOTS) == 2 * SLOTS
            assert a.client.sent and b.client.sent
            assert len(a.client.sent) + len(b.client.sent) == 2 * SLOTS

    asyncio.run(run())


def test_a_partly_reached_service_is_not_passed_around() -> None:
    async def run() -> None:
        async with running_members("a", "b") as (a, b):
            for member in (a, b):
                member.client.answer = work_long
                lose_most(member)
            await run_at_once(a, 2 * SLOTS)
            assert a.forwarder.forwarded == 0 and not b.client.sent
            assert len(a.client.sent) >= SLOTS

    asyncio.run(run())
