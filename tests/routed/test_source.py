"""The changes of the store, by way of other instances."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from borageramp_core import StoreUnavailableError
from borageramp_core.routing import RelayPlan
from borageramp_entry._internal.routed.change_source import (
    MAX_POLLING_INSTANCES,
    ChangeSource,
    RelayUnavailableError,
)
from borageramp_platform.store import KeyValueStore
from tests.lib.peers import Tell, running_peer
from tests.lib.platform_store import FakeStore, running_store
from tests.lib.routed import make_instance


class Follower:
    """A source under test, and the keys that it heard of."""

    def __init__(self, store: FakeStore, *, is_relay: bool, relays: list[str]) -> None:
        self.clock_s = 0.0
        plan = RelayPlan(own=make_instance("own"))
        plan.is_relay = is_relay
        plan.other_relays = tuple(
            make_instance(f"relay-{i}", peer_address=address)
            for i, address in enumerate(relays)
        )
        self.client = KeyValueStore(address=store.address)
        self.source = ChangeSource(
            store=self.client,
            prefix="",
            plan=plan,
            gather_s=0.01,
            clock=lambda: asyncio.get_running_loop().time() + self.clock_s,
        )
        self.heard: list[str] = []
        self.from_revision = store.revision + 1
        self.source.on_contact()
        self._running = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(StoreUnavailableError):
                await self._follow()
            await asyncio.sleep(0.05)

    async def _follow(self) -> None:
        changes = self.source.watch(from_revision=self.from_revision)
        async with contextlib.aclosing(changes):
            async for change in changes:
                self.heard += [item.key for item in change.written]

    async def until_heard(self, key: str) -> None:
        while key not in self.heard:
            assert not self._running.done()
            await asyncio.sleep(0.01)

    async def end(self) -> None:
        self._running.cancel()
        await asyncio.wait([self._running])
        self.source.close()
        self.client.close()


@contextlib.asynccontextmanager
async def running(
    store: FakeStore, *, is_relay: bool = False, relays: list[str] | None = None
) -> AsyncIterator[Follower]:
    follower = Follower(store, is_relay=is_relay, relays=relays or [])
    try:
        yield follower
    finally:
        await follower.end()


def run(test: Callable[[FakeStore], Awaitable[None]]) -> None:
    async def guarded() -> None:
        async with running_store() as store, asyncio.timeout(20):
            await test(store)

    asyncio.run(guarded())


def watches(store: FakeStore) -> int:
    return sum("kv-watch" in call for call in store.calls)


def told_by(follower: Follower) -> Tell:
    async def tell(after: int, wait_s: float) -> bytes:
        return await follower.source.wait_for_changes(after=after, wait_s=wait_s)

    return tell


def test_a_change_is_heard_from_another_instance() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running(store, is_relay=True) as relay,
            running_peer(told_by(relay)) as address,
            running(store, relays=[address]) as follower,
        ):
            await asyncio.sleep(0.1)
            before = watches(store)
            store.put("a", b"1")
            await follower.until_heard("a")
            await asyncio.sleep(0.1)
            # The relay's next watch; the follower has none.
            assert watches(store) == before + 1

    run(test)


def test_an_instance_that_follows_nothing_is_left_for_the_next() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running(store, is_relay=True) as relay,
            running_peer(told_by(relay)) as good,
            running(store, relays=[good]) as idle,
            running_peer(told_by(idle)) as bad,
            running(store, relays=[bad, good]) as follower,
        ):
            await asyncio.sleep(0.1)
            store.put("a", b"1")
            await follower.until_heard("a")
            assert watches(store) <= 2

    run(test)


def test_without_an_answer_the_store_itself_is_followed() -> None:
    async def never(after: int, wait_s: float) -> bytes:
        await asyncio.sleep(60)
        raise AssertionError("asked for too long")

    async def test(store: FakeStore) -> None:
        async with (
            running_peer(never) as silent,
            running(store, relays=[silent, "127.0.0.1:1"]) as follower,
        ):
            store.put("a", b"1")
            await follower.until_heard("a")

    run(test)


def test_an_instance_that_the_store_turns_away_hears_from_another() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running_store() as refusing,
            running(store, is_relay=True) as relay,
            running_peer(told_by(relay)) as address,
            running(refusing, is_relay=True, relays=[address]) as follower,
        ):
            refusing.fault = "busy"
            refusing.forget_history()
            store.put("a", b"1")
            await follower.until_heard("a")

    run(test)


def test_an_instance_out_of_contact_with_the_store_tells_nothing() -> None:
    async def test(store: FakeStore) -> None:
        async with running(store, is_relay=True) as relay:
            await asyncio.sleep(0.1)
            assert await relay.source.wait_for_changes(
                after=store.revision, wait_s=0.01
            )
            relay.clock_s += 1.0
            with pytest.raises(RelayUnavailableError):
                await relay.source.wait_for_changes(after=store.revision, wait_s=0.01)

    run(test)


def test_an_instance_passes_changes_on_to_a_bounded_number() -> None:
    """When many lose theirs at once, they spread over the others, or the store."""

    async def test(store: FakeStore) -> None:
        async with running(store, is_relay=True) as relay:
            await asyncio.sleep(0.1)

            async def ask() -> bytes:
                return await relay.source.wait_for_changes(
                    after=store.revision, wait_s=0.2
                )

            asking = [
                asyncio.ensure_future(ask()) for _ in range(MAX_POLLING_INSTANCES)
            ]
            await asyncio.sleep(0.02)
            with pytest.raises(RelayUnavailableError):
                await ask()
            assert all(await asyncio.gather(*asking))
            assert await ask()

    run(test)
