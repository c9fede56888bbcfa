"""Operators' changes are written, or refused, whatever the store does."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from borageramp_bench.processes import free_port
from borageramp_bench.standins.store import StoreStandin, make_server
from borageramp_entry._internal.control.changes import ChangeWriter
from borageramp_entry._internal.store import EtcdStore
from borageramp_settings import ChangeRequest
from tests.lib.builders import make_tree

TIMEOUT_S = 0.2

Body = Callable[[ChangeWriter, StoreStandin], Awaitable[None]]


def with_writer(body: Body) -> None:
    """Run a coroutine with a writer of changes and the stand-in behind it."""

    async def run() -> None:
        standin, port = StoreStandin(), free_port()
        server = make_server(standin)
        await server.start("127.0.0.1", port)
        store = EtcdStore(
            endpoints=(f"127.0.0.1:{port}",), timeout_s=TIMEOUT_S, rng=random.Random(1)
        )
        try:
            await body(ChangeWriter(store=store), standin)
        finally:
            store.close()
            server.close()

    asyncio.run(run())


def change(operation_id: str = "operation-1") -> ChangeRequest:
    return ChangeRequest(operation_id=operation_id, author="ann", tree=make_tree())


@pytest.mark.parametrize("lost", [1, 2, 3, 1000])
def test_change_is_written_though_answers_are_lost(lost: int) -> None:
    async def body(writer: ChangeWriter, standin: StoreStandin) -> None:
        standin.fault(lose_answers=lost)
        written = await writer.write(change())
        found = await writer.find("operation-1")
        assert found is not None and found.revision == written.revision

    with_writer(body)
