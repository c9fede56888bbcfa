"""The store adapter keeps the contract of the ``Store`` protocol."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from borageramp_bench.processes import free_port
from borageramp_bench.standins.store import StoreStandin
from borageramp_core import OutcomeUnknownError, StoreUnavailableError
from borageramp_entry._internal.store import (
    Change,
    Commit,
    Condition,
    Put,
)
from borageramp_entry._internal.store.etcd import EtcdStore
from tests.lib.stores import running_store

TIMEOUT_S = 0.4

Body = Callable[[EtcdStore, StoreStandin], Awaitable[None]]


def with_store(body: Body) -> None:
    """Run a coroutine with an adapter and the stand-in that it talks to."""

    async def run() -> None:
        async with running_store(timeout_s=TIMEOUT_S) as pair:
            await body(pair.store, pair.standin)

    asyncio.run(run())


def put(key: str, value: str, *, revision: int | None = None) -> Commit:
    conditions = () if revision is None else (Condition(key=key, revision=revision),)
    return Commit(
        conditions=conditions,
        puts=(Put(key=key, value=value.encode()),),
        read_otherwise=(key,),
    )


def test_items_are_read_back_by_key_and_prefix() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        await store.commit([put("/a/1", "x"), put("/a/2", "y"), put("/b", "z")])
        assert [i.value for i in (await store.read("/a/")).items] == [b"x", b"y"]
        assert (await store.read_key("/b")).items[0].value == b"z"
        assert (await store.read_key("/c")).items == ()

    with_store(body)


def test_compare_and_swap_lets_one_win_and_shows_the_other() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        first, second = await store.commit(
            [put("/k", "one", revision=0), put("/k", "two", revision=0)]
        )
        assert first.succeeded and not second.succeeded
        assert second.found[0].value == b"one"

    with_store(body)


def test_lost_answer_of_a_write_is_an_unknown_outcome() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        standin.fault(lose_answers=1)
        with pytest.raises(OutcomeUnknownError):
            await store.commit([put("/k", "one")])
        assert (await store.read_key("/k")).items[0].value == b"one"

    with_store(body)


@pytest.mark.parametrize("fault", [{"down": True}, {"slow_s": 2 * TIMEOUT_S}])
def test_store_without_answer_is_unavailable(fault: dict) -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        standin.fault(**fault)
        with pytest.raises(StoreUnavailableError):
            await store.read("/")
        standin.fault()
        assert (await store.read("/")).items == ()

    with_store(body)


def test_write_without_connection_had_no_effect() -> None:
    async def body() -> None:
        store = EtcdStore(
            endpoints=(f"127.0.0.1:{free_port()}",),
            timeout_s=TIMEOUT_S,
            rng=random.Random(1),
        )
        with pytest.raises(StoreUnavailableError):
            await store.commit([put("/k", "one")])

    asyncio.run(body())


def test_next_endpoint_is_tried() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        dead = f"127.0.0.1:{free_port()}"
        both = EtcdStore(
            endpoints=(dead, store._endpoints[0]),
            timeout_s=TIMEOUT_S,
            rng=random.Random(1),
        )
        assert (await both.read("/")).items == ()
        both.close()

    with_store(body)


def test_read_survives_a_connection_closed_for_another_call() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        standin.fault(lose_answers=1)
        writing = asyncio.ensure_future(store.commit([put("/k", "one")]))
        await asyncio.sleep(TIMEOUT_S / 2)
        standin.slow_s = 0.75 * TIMEOUT_S
        items = (await store.read("/k")).items
        assert [i.value for i in items] == [b"one"]
        with pytest.raises(OutcomeUnknownError):
            await writing

    with_store(body)


def test_write_survives_the_lost_answer_of_another() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        standin.fault(lose_answers=1)
        losing = asyncio.ensure_future(store.commit([put("/k", "one")]))
        await asyncio.sleep(TIMEOUT_S / 2)
        standin.slow_s = 0.75 * TIMEOUT_S
        (outcome,) = await store.commit([put("/l", "two")])
        assert outcome.succeeded
        with pytest.raises(OutcomeUnknownError):
            await losing

    with_store(body)


def test_cancellation_in_the_instant_of_the_answer_is_not_lost() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        channel = await store._connected()
        answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        asking = asyncio.ensure_future(store._answer(channel, lambda _: answer))
        await asyncio.sleep(0)
        answer.set_result("read")
        asking.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asking

    with_store(body)


def test_watch_yields_each_revision_once_from_where_it_starts() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        await store.commit([put("/w/0", "old")])
        seen: list[Change] = []

        async def follow() -> None:
            start = (await store.read("/w/")).revision + 1
            async for change in store.watch("/w/", from_revision=start):
                seen.append(change)

        following = asyncio.ensure_future(follow())
        await asyncio.sleep(0.1)
        await store.commit([put("/w/1", "a"), put("/w/2", "b")])
        await store.commit([Commit(conditions=(), puts=(Put(key="/w/1", value=None),))])
        await asyncio.sleep(0.1)
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        assert [[i.key for i in c.written] for c in seen] == [["/w/1", "/w/2"], []]
        assert seen[1].deleted == ("/w/1",)

    with_store(body)


def test_items_go_with_their_lease() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        lease = await store.grant_lease(5.0)
        item = Put(key="/l", value=b"x", lease_id=lease)
        await store.commit([Commit(conditions=(), puts=(item,))])
        assert await store.keep_lease(lease)
        standin.expire("/l")
        assert not await store.keep_lease(lease)
        assert (await store.read_key("/l")).items == ()

    with_store(body)


def test_range_is_deleted_up_to_its_end() -> None:
    async def body(store: EtcdStore, standin: StoreStandin) -> None:
        await store.commit([put(f"/d/{i}", "x") for i in range(4)])
        await store.delete_range("/d/0", "/d/2")
        assert [i.key for i in (await store.read("/d/")).items] == ["/d/2", "/d/3"]

    with_store(body)
