"""Changes of the store that are received through relays."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from borageramp_core import HistoryLostError, StoreUnavailableError
from borageramp_core.routing import RelayPlan, StorePosition
from borageramp_entry._internal.routed.change_log import encode_change
from borageramp_entry._internal.routed.change_source import (
    MAX_POLLING_INSTANCES,
    ChangeSource,
    RelayUnavailableError,
)
from borageramp_entry._internal.store.base import Change
from borageramp_platform.store import FIRST_WAIT_S, WATCH_TIMEOUT_S, KeyValueStore
from tests.lib.peers import Tell, running_peer
from tests.lib.platform_store import FakeStore, running_store
from tests.lib.routed import make_instance


class Follower:
    """A change source under test, and the keys of the changes received."""

    def __init__(
        self, store: FakeStore, *, is_relay: bool, relays: list[str], era: int
    ) -> None:
        self.clock_offset_s = 0.0
        plan = RelayPlan(own=make_instance("own"))
        plan.is_relay = is_relay
        plan.other_relays = tuple(
            make_instance(f"relay-{i}", peer_address=address)
            for i, address in enumerate(relays)
        )
        self.client = KeyValueStore(address=store.address, watch_wait_s=1.0)
        self.source = ChangeSource(
            store=self.client,
            prefix="",
            plan=plan,
            gather_s=0.01,
            rng=random.Random(1),
            clock=lambda: asyncio.get_running_loop().time() + self.clock_offset_s,
        )
        self.received_keys: list[str] = []
        self.histories_lost = 0
        self.after = StorePosition(era=era, revision=store.revision)
        self.source.on_contact()
        self.source.on_full_read()
        self._running = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except HistoryLostError:
                self.histories_lost += 1
            except StoreUnavailableError:
                pass
            await asyncio.sleep(0.05)

    async def _follow(self) -> None:
        changes = self.source.watch(after=self.after)
        async with contextlib.aclosing(changes):
            async for change in changes:
                self.received_keys += [item.key for item in change.written]

    async def wait_until_received(self, key: str) -> None:
        while key not in self.received_keys:
            assert not self._running.done()
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        self._running.cancel()
        await asyncio.wait([self._running])
        self.source.close()
        self.client.close()


@contextlib.asynccontextmanager
async def running_follower(
    store: FakeStore,
    *,
    is_relay: bool = False,
    relays: list[str] | None = None,
    era: int = 0,
) -> AsyncIterator[Follower]:
    follower = Follower(store, is_relay=is_relay, relays=relays or [], era=era)
    try:
        yield follower
    finally:
        await follower.stop()


def run(test: Callable[[FakeStore], Awaitable[None]]) -> None:
    async def guarded() -> None:
        async with running_store() as store, asyncio.timeout(20):
            await test(store)

    asyncio.run(guarded())


def count_watches(store: FakeStore) -> int:
    return sum("kv-watch" in call for call in store.calls)


def serve_changes_of(follower: Follower) -> Tell:
    async def tell(after: int, wait_s: float) -> bytes:
        position = StorePosition(revision=after)
        return await follower.source.wait_for_changes(after=position, wait_s=wait_s)

    return tell


def test_a_change_is_received_through_a_relay() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running_follower(store, is_relay=True) as relay,
            running_peer(serve_changes_of(relay)) as address,
            running_follower(store, relays=[address]) as follower,
        ):
            await asyncio.sleep(0.1)
            before = count_watches(store)
            store.put("a", b"1")
            await follower.wait_until_received("a")
            await asyncio.sleep(0.1)
            # Only the relay starts its next watch; the follower has none.
            assert count_watches(store) == before + 1

    run(test)


def test_an_instance_without_changes_is_skipped_for_the_next_relay() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running_follower(store, is_relay=True) as relay,
            running_peer(serve_changes_of(relay)) as good,
            running_follower(store, relays=[good]) as idle,
            running_peer(serve_changes_of(idle)) as bad,
            running_follower(store, relays=[bad, good]) as follower,
        ):
            await asyncio.sleep(0.1)
            store.put("a", b"1")
            await follower.wait_until_received("a")
            assert count_watches(store) <= 2

    run(test)


def test_without_an_answer_of_a_relay_the_store_is_watched() -> None:
    async def never_answer(after: int, wait_s: float) -> bytes:
        await asyncio.sleep(60)
        raise AssertionError("polled past the timeout")

    async def test(store: FakeStore) -> None:
        async with (
            running_peer(never_answer) as silent,
            running_follower(store, relays=[silent, "127.0.0.1:1"]) as follower,
        ):
            store.put("a", b"1")
            await follower.wait_until_received("a")

    run(test)


def test_an_instance_refused_by_the_store_receives_changes_from_a_relay() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running_store() as refusing,
            running_follower(store, is_relay=True) as relay,
            running_peer(serve_changes_of(relay)) as address,
            running_follower(refusing, is_relay=True, relays=[address]) as follower,
        ):
            refusing.fault = "busy"
            refusing.forget_history()
            store.put("a", b"1")
            await follower.wait_until_received("a")

    run(test)


def test_an_instance_out_of_contact_with_the_store_relays_nothing() -> None:
    async def test(store: FakeStore) -> None:
        async with running_follower(store, is_relay=True) as relay:
            await asyncio.sleep(0.1)
            assert await relay.source.wait_for_changes(
                after=StorePosition(revision=store.revision), wait_s=0.01
            )
            relay.clock_offset_s += 1.0
            with pytest.raises(RelayUnavailableError):
                await relay.source.wait_for_changes(
                    after=StorePosition(revision=store.revision), wait_s=0.01
                )

    run(test)


# Guards against an instance that hears of no changes and looks well in its metrics.
def test_lease_renewals_do_not_count_as_changes() -> None:
    async def test(store: FakeStore) -> None:
        async with running_follower(store, is_relay=True) as relay:
            store.put("a", b"1")
            await relay.wait_until_received("a")
            relay.clock_offset_s += 5.0
            relay.source.on_contact()
            assert relay.source.unconfirmed_s() >= 5.0
            assert relay.source.watch_age_s() >= 5.0

    run(test)


def test_an_answer_without_changes_counts() -> None:
    async def test(store: FakeStore) -> None:
        async with (
            running_follower(store, is_relay=True) as relay,
            running_peer(serve_changes_of(relay)) as address,
            running_follower(store, relays=[address]) as follower,
        ):
            await asyncio.sleep(1.2)
            assert follower.source.unconfirmed_s() < 0.6
            assert follower.source.source_name == "relay-0"
            assert follower.source.watch_age_s() == 0.0

    run(test)


def test_a_relay_serves_a_bounded_number_of_instances() -> None:
    """Instances that lose their relays at once spread to others, or to the store."""

    async def test(store: FakeStore) -> None:
        async with running_follower(store, is_relay=True) as relay:
            await asyncio.sleep(0.1)

            async def ask() -> bytes:
                return await relay.source.wait_for_changes(
                    after=StorePosition(revision=store.revision), wait_s=0.2
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


# Guards against reading the store again and again for an era that only a relay names.
@pytest.mark.parametrize("status", [200, 410])
def test_an_era_that_the_store_does_not_name_is_believed_once(status: int) -> None:
    async def tell(after: int, wait_s: float) -> bytes:
        if status == 410:
            raise HistoryLostError("no such revision")
        await asyncio.sleep(wait_s)
        return encode_change(Change(written=(), deleted=(), revision=after))

    async def test(store: FakeStore) -> None:
        async with (
            running_peer(tell, headers="borageramp-era: 7\r\n") as address,
            running_follower(store, relays=[address]) as follower,
        ):
            await asyncio.sleep(0.2)
            store.put("a", b"1")
            await follower.wait_until_received("a")
            assert follower.histories_lost == 1

    run(test)


@pytest.mark.parametrize(
    ("era", "error"), [(1, HistoryLostError), (3, RelayUnavailableError)]
)
def test_a_relay_tells_nothing_to_instances_in_another_era(
    era: int, error: type[Exception]
) -> None:
    async def test(store: FakeStore) -> None:
        store.era = "2"
        async with running_follower(store, is_relay=True, era=2) as relay:
            await asyncio.sleep(0.1)
            own = StorePosition(era=2, revision=store.revision)
            assert await relay.source.wait_for_changes(after=own, wait_s=0.01)
            with pytest.raises(error):
                await relay.source.wait_for_changes(
                    after=StorePosition(era=era, revision=1), wait_s=0.01
                )

    run(test)


# Guards against relays that know less than those who ask them and say "nothing new".
def test_a_relay_that_is_behind_does_not_keep_an_instance_from_the_store() -> None:
    async def tell(after: int, wait_s: float) -> bytes:
        await asyncio.sleep(wait_s)
        return encode_change(Change(written=(), deleted=(), revision=after - 1))

    async def test(store: FakeStore) -> None:
        async with (
            running_peer(tell) as address,
            running_follower(store, relays=[address]) as follower,
        ):
            await asyncio.sleep(0.2)
            store.put("a", b"1")
            async with asyncio.timeout(2.0):
                await follower.wait_until_received("a")

    run(test)


# Guards against a watch that is begun anew, and not answered either, passing for one
# that tells of all changes.
def test_a_relay_whose_watch_failed_tells_nothing_until_the_next_is_answered() -> None:
    async def test(store: FakeStore) -> None:
        async with running_follower(store, is_relay=True) as relay:
            await asyncio.sleep(0.1)
            store.fault = "unheard"
            served_after_s: list[float] = []
            loop = asyncio.get_running_loop()
            began_at_s = loop.time()
            while loop.time() < began_at_s + 4.0:
                relay.source.on_contact()
                with contextlib.suppress(RelayUnavailableError):
                    await relay.source.wait_for_changes(after=relay.after, wait_s=0.01)
                    served_after_s.append(loop.time() - began_at_s)
                await asyncio.sleep(0.05)
            # The watch that waits now may be answered, after FIRST_WAIT_S at most; the
            # next waits for 1 s, and WATCH_TIMEOUT_S more for its answer.
            assert max(served_after_s) < FIRST_WAIT_S + 1.0 + WATCH_TIMEOUT_S
            store.fault = ""
            await asyncio.sleep(2.5)
            assert await relay.source.wait_for_changes(after=relay.after, wait_s=0.01)

    run(test)
