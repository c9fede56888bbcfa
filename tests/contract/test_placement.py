"""Requests that wait at an entry, and the loss of its lease."""

import asyncio
from typing import Any

import pytest

from borageramp_core import Placed, Reason, Refused
from borageramp_entry._internal.serving.placement import PlacementTask
from tests.lib.builders import make_balancer, make_service, make_submit, make_upstream

DEADLINE_S = 3600.0


class Silent:
    """Takes reports and does nothing with them."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **kwargs: None


def make_task(serving: list[bool]) -> PlacementTask:
    reporter: Any = Silent()
    return PlacementTask(
        balancer=make_balancer(make_service(make_upstream(slots=1))),
        may_serve=lambda: serving[-1],
        on_news=lambda: None,
        reporter=reporter,
        clock=lambda: 0.0,
    )


@pytest.mark.parametrize("waiting", [1, 3])
def test_requests_that_wait_are_refused_once_the_lease_is_lost(waiting: int) -> None:
    async def run() -> list[Any]:
        serving = [True]
        task = make_task(serving)
        first = await task.place(make_submit("first", deadline_s=DEADLINE_S))
        assert isinstance(first, Placed)
        placing = [
            asyncio.ensure_future(
                task.place(make_submit(f"r{i}", deadline_s=DEADLINE_S))
            )
            for i in range(waiting)
        ]
        await asyncio.sleep(0.05)
        assert not any(p.done() for p in placing)
        serving.append(False)
        async with asyncio.timeout(1):
            return list(await asyncio.gather(*placing))

    refused = asyncio.run(run())
    assert all(isinstance(r, Refused) for r in refused)
    assert {r.reason for r in refused} == {Reason.NOT_SERVING}
    assert all(r.retry_after_s > 0 for r in refused)
