"""Operators' changes are written, or refused, whatever the store does."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from borageramp_bench.standins.store import StoreStandin
from borageramp_entry._internal.control.changes import ChangeWriter
from borageramp_settings import ChangeRequest
from tests.lib.builders import make_tree
from tests.lib.stores import running_store

TIMEOUT_S = 0.5

Body = Callable[[ChangeWriter, StoreStandin], Awaitable[None]]


def with_writer(body: Body) -> None:
    """Run a coroutine with a writer of changes and the stand-in behind it."""

    async def run() -> None:
        async with running_store(timeout_s=TIMEOUT_S) as pair:
            await body(ChangeWriter(store=pair.store), pair.standin)

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
