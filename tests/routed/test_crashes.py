"""Requests that crash the upstreams that run them."""

import asyncio
from typing import Any

import pytest

from borageramp_core import AttemptResult
from borageramp_core.routing import CrashSuspect, UpstreamView
from borageramp_entry._internal.routed.crashes import CrashDetector, make_suspects
from borageramp_entry._internal.routed.records import decode_record
from borageramp_entry._internal.serving.upstreams import TryFailedError
from borageramp_entry.routed import Commit, Item
from tests.lib.routed import make_pool, make_registration


class _Client:
    """Upstreams that are gone, or only closed a connection."""

    def __init__(self, result: AttemptResult | None) -> None:
        self._result = result

    async def ask_health(self, *_: Any, **__: Any) -> None:
        if self._result is not None:
            raise TryFailedError(self._result)


class _Store:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written: list[Item] = []

    async def grant_lease(self, ttl_s: float) -> int:
        return 1

    async def commit(self, commits: list[Commit]) -> None:
        for commit in commits:
            for put in commit.puts:
                assert put.value is not None and put.lease_id
                self.written.append(Item(key=put.key, value=put.value, revision=1))


def make_watch(
    result: AttemptResult | None, store: _Store, *, name: str = "e1"
) -> CrashDetector:
    client: Any = _Client(result)
    kept: Any = store
    return CrashDetector(
        instance=name, suspects=make_suspects(), store=kept, client=client
    )


def make_view(name: str) -> UpstreamView:
    return make_pool(make_registration(name)).views[name]


async def broken(watch: CrashDetector, *upstreams: str) -> None:
    watch.on_unanswered("r", [make_view(name) for name in upstreams])
    await asyncio.sleep(0.02)


def test_three_deaths_condemn_a_request() -> None:
    async def run() -> None:
        watch = make_watch(AttemptResult.UNREACHABLE, _Store())
        await broken(watch, "u1", "u2")
        assert not watch.is_quarantined("r")
        await broken(watch, "u3")
        assert watch.is_quarantined("r")
        assert not watch.is_quarantined("other")

    asyncio.run(run())


@pytest.mark.parametrize("result", [None, AttemptResult.TIMED_OUT, AttemptResult.DIED])
def test_a_broken_connection_is_no_death(result: AttemptResult | None) -> None:
    async def run() -> None:
        store = _Store()
        watch = make_watch(result, store)
        await broken(watch, "u1", "u2", "u3")
        assert not watch.is_quarantined("r")
        assert store.written == []

    asyncio.run(run())


def test_deaths_at_several_instances_add_up() -> None:
    async def run() -> None:
        store = _Store()
        for number in range(3):
            watch = make_watch(AttemptResult.UNREACHABLE, store, name=f"e{number}")
            await broken(watch, f"u{number}")
        last = make_watch(None, _Store())
        for item in store.written:
            suspect = decode_record(item)
            assert isinstance(suspect, CrashSuspect)
            last.merge(suspect)
        assert last.is_quarantined("r")

    asyncio.run(run())


def test_an_answer_clears_a_suspect_for_good() -> None:
    async def run() -> None:
        watch = make_watch(AttemptResult.UNREACHABLE, _Store())
        told = CrashSuspect(fingerprint="r", upstreams=("u1/0", "u2/0"))
        watch.merge(told)
        await asyncio.sleep(0.01)
        watch.on_answer("r")
        watch.merge(told)
        await broken(watch, "u3")
        assert not watch.is_quarantined("r")

    asyncio.run(run())
