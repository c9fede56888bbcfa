"""The product's own interface while etcd is restored from a backup."""

import asyncio
from collections.abc import Awaitable, Callable

from borageramp_core import StoreUnavailableError
from borageramp_entry._internal.control.changes import ChangeWriter
from borageramp_entry._internal.control.configuration import ConfigurationTask
from borageramp_settings import ChangeRequest
from tests.lib.builders import make_tree
from tests.lib.stores import StorePair, running_store

TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.1


def with_store(body: Callable[[StorePair], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_store(timeout_s=TIMEOUT_S) as pair:
            await body(pair)

    asyncio.run(run())


async def write(pair: StorePair, operation_id: str, *, slots: int) -> None:
    """Write a configuration that differs from others in a number."""
    tree = make_tree(**{"global": {"slots": slots}})
    request = ChangeRequest(operation_id=operation_id, author="ann", tree=tree)
    written = await ChangeWriter(store=pair.store).write(request)
    assert written.changed


def test_a_restore_ends_watches_and_takes_writes_back() -> None:
    async def body(pair: StorePair) -> None:
        await write(pair, "written before", slots=1)
        pair.standin.backup()
        before = await pair.store.read("/")
        watching = asyncio.ensure_future(
            anext(pair.store.watch("/", from_revision=before.revision + 100))
        )
        await asyncio.sleep(0.1)
        await write(pair, "lost write", slots=2)
        pair.standin.restore()
        assert await pair.store.read("/") == before
        try:
            await watching
        except StoreUnavailableError:
            return
        raise AssertionError("the watch went on")

    with_store(body)


# Guards against configurations that are accepted, and ignored as their revisions are
# below those that the store gave out before.
def test_a_configuration_written_after_a_restore_is_put_in_force() -> None:
    async def body(pair: StorePair) -> None:
        task = ConfigurationTask(
            store=pair.store,
            poll_interval_s=POLL_INTERVAL_S,
            clock=asyncio.get_running_loop().time,
            on_change=lambda held: None,
            on_confirmed=lambda asked_at_s: None,
        )
        running = asyncio.ensure_future(task.run())
        await write(pair, "written before", slots=1)
        pair.standin.backup()
        for number in range(5):
            await write(pair, f"lost write {number}", slots=2 + number)
        await asyncio.sleep(5 * POLL_INTERVAL_S)
        assert task.held.operation_id == "lost write 4"
        pair.standin.restore()
        await write(pair, "written after", slots=9)
        await asyncio.sleep(10 * POLL_INTERVAL_S)
        running.cancel()
        assert task.held.operation_id == "written after"

    with_store(body)
