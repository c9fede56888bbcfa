"""An entry keeps its place on the list, whatever the store does."""

import asyncio
from typing import Any

import pytest

from borageramp_bench.standins.store import StoreStandin
from borageramp_core import ListedEntry, OutcomeUnknownError
from borageramp_entry._internal.control.keyspace import ENTRIES
from borageramp_entry._internal.control.registry import RegistryTask
from borageramp_entry._internal.store.etcd import EtcdStore
from tests.lib.builders import make_entry
from tests.lib.stores import running_store

TIMEOUT_S = 1.0
INTERVAL_S = 0.05
# Long, so that the lease is not due to be extended within a test.
LEASE_S = 600.0
WITHIN_S = 30.0


class ForgetfulStore(EtcdStore):
    """Loses the first commits on their way, so that they have no effect."""

    lost_commits = 0

    async def commit(self, commits: list[Any]) -> list[Any]:
        if self.lost_commits > 0:
            self.lost_commits -= 1
            raise OutcomeUnknownError("lost on its way")
        return await super().commit(commits)


async def wait_listed(standin: StoreStandin) -> None:
    """Wait until the list has an entry."""
    async with asyncio.timeout(WITHIN_S):
        while not standin.dump(ENTRIES):
            await asyncio.sleep(INTERVAL_S)


async def keep_listed(standin: StoreStandin, store: ForgetfulStore) -> set[str]:
    """Return who is on the list after the leases have lapsed once."""
    seen: list[ListedEntry] = []
    registry = RegistryTask(
        store=store,
        own=make_entry("e1"),
        lease_s=LEASE_S,
        interval_s=INTERVAL_S,
        on_list=lambda entries: seen.__setitem__(slice(None), list(entries)),
        on_lease_taken_again=lambda: None,
        clock=asyncio.get_running_loop().time,
    )
    running = asyncio.ensure_future(registry.run())
    await wait_listed(standin)
    standin.expire("/")
    await wait_listed(standin)
    async with asyncio.timeout(WITHIN_S):
        while not seen:
            await asyncio.sleep(INTERVAL_S)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return {e.name for e in seen}


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_entry_is_listed_again_after_lost_writes_and_a_lapsed_lease(lost: int) -> None:
    async def run() -> None:
        async with running_store(timeout_s=TIMEOUT_S, kind=ForgetfulStore) as pair:
            assert isinstance(pair.store, ForgetfulStore)
            pair.store.lost_commits = lost
            assert await keep_listed(pair.standin, pair.store) == {"e1"}

    asyncio.run(run())
