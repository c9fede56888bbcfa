"""A try and the hedge beside it."""

import asyncio
from typing import Any

import pytest

from borageramp_core import AttemptPlan, RatioBudget, Result, ServicePolicy
from borageramp_entry._internal.serving.race import Race, RaceLostError
from borageramp_entry._internal.serving.upstreams import TryFailedError
from tests.lib.builders import make_submit

HEDGE_AFTER_S = 0.01


class FakeTry:
    """A try that fails as told, or goes on until it is cancelled."""

    def __init__(self, result: Result | None = None) -> None:
        self.result = result
        self.ended: list[Result] = []

    async def open(self, request: Any, *, late_s: float) -> None:
        if self.result is None:
            await asyncio.sleep(3600)
        else:
            await asyncio.sleep(2 * HEDGE_AFTER_S)
            raise TryFailedError(self.result)

    def end(self, result: Result) -> None:
        self.ended.append(result)

    def cancel(self, opening: "asyncio.Future[Any]") -> None:
        opening.cancel()
        self.ended.append(Result.CANCELLED)


def run_race(first: FakeTry, hedge: FakeTry) -> Result:
    """Return how a race of two tries was lost."""

    async def run() -> Result:
        plan = AttemptPlan(
            first=make_submit(),
            policy=ServicePolicy(),
            retries=RatioBudget(ratio=1.0),
            hedges=RatioBudget(ratio=1.0),
        )
        race = Race(
            request=None,  # type: ignore[arg-type]
            plan=plan,
            late_s=0.0,
            start_hedge=lambda _: hedge,  # type: ignore[arg-type, return-value]
            on_failed=lambda *_: None,
        )
        with pytest.raises(RaceLostError) as lost:
            async with asyncio.timeout(5.0):
                await race.run(first, hedge_after_s=HEDGE_AFTER_S)  # type: ignore[arg-type]
        return lost.value.result

    return asyncio.run(run())


@pytest.mark.parametrize("dying", ["first", "hedge"])
def test_death_under_one_try_cancels_the_other(dying: str) -> None:
    tries = {"first": FakeTry(), "hedge": FakeTry()}
    tries[dying].result = Result.DIED
    assert run_race(tries["first"], tries["hedge"]) is Result.DIED
    other = tries["hedge" if dying == "first" else "first"]
    assert other.ended == [Result.CANCELLED]
