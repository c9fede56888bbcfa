"""Instances of this build and of an earlier one beside each other, in one fleet."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from tests.lib.builds import checkout_build
from tests.lib.entry_process import EntryProcess, StubUpstream
from tests.lib.platform_store import FakeStore, running_store
from tests.lib.routed import as_bytes, config_document, upstream_document
from tests.lib.stream_server import running_server

# Builds that may run when an upgrade to this one begins.
EARLIER_BUILDS = ("5c92b68", "636ecd6")
# Time within which a change must be in force.
CHANGE_LIMIT_S = 2.5
INTERVAL_S = 0.05


class MixedFleet:
    """Two instances of an earlier build and two of this one, in one data centre."""

    def __init__(self, store: FakeStore, folder: Path, earlier: Path) -> None:
        self.store = store
        self.earlier = [
            EntryProcess(store, folder, name=f"earlier-{i}", root=earlier)
            for i in range(2)
        ]
        self.present = [
            EntryProcess(store, folder, name=f"present-{i}") for i in range(2)
        ]

    @property
    def instances(self) -> list[EntryProcess]:
        """All instances."""
        return [*self.earlier, *self.present]

    async def start(self, stack: AsyncExitStack) -> None:
        """Start all instances; ``stack`` ends them."""
        for instance in self.instances:
            await instance.start()
            stack.push_async_callback(instance.stop)
        for instance in self.instances:
            await instance.wait_until_ready()

    def configure(self, version: int, *, path_prefix: str) -> None:
        """Write a configuration with one route."""
        document = config_document(version, path_prefix=path_prefix)
        self.store.put("op/config", as_bytes(document))

    async def statuses(self, path: str) -> set[int]:
        """Return the statuses with which all instances answer a request."""
        answers = await asyncio.gather(
            *(
                i.get(i.front, path, request_id=f"{i.name}{path}")
                for i in self.instances
            )
        )
        return {status for status, _ in answers}

    async def wait_until_served(self, path: str) -> None:
        """Wait until all instances serve a path, as long as a change may take."""
        async with asyncio.timeout(CHANGE_LIMIT_S):
            while await self.statuses(path) != {200}:
                await asyncio.sleep(INTERVAL_S)

    async def known_instances(self, instance: EntryProcess) -> int:
        """Return how many instances another one names to callers."""
        path = "/-/resolve?name=a.example"
        _, body = await instance.get(instance.directory, path)
        return body.count(b"127.0.0.1")


@asynccontextmanager
async def running_fleet(folder: Path, earlier: Path) -> AsyncIterator[MixedFleet]:
    upstream = StubUpstream()
    upstream.work_s = 0.01
    async with AsyncExitStack() as stack, asyncio.timeout(60):
        store = await stack.enter_async_context(running_store())
        store.era = "1"
        port = await stack.enter_async_context(running_server(upstream.serve))
        document = upstream_document(address=f"127.0.0.1:{port}")
        store.put("servers/u1", as_bytes(document))
        fleet = MixedFleet(store, folder, earlier)
        fleet.configure(1, path_prefix="/one/")
        await fleet.start(stack)
        yield fleet


# Guards against an upgrade in which instances don't hear of changes, or drop those of
# the other build from their list.
@pytest.mark.parametrize("build", EARLIER_BUILDS)
def test_instances_of_two_builds_are_one_fleet(tmp_path: Path, build: str) -> None:
    earlier = checkout_build(build, tmp_path)
    if earlier is None:
        print(f"not run: the history doesn't reach back to {build}")
        return

    async def test() -> None:
        async with running_fleet(tmp_path, earlier) as fleet:
            await fleet.wait_until_served("/one/x")
            for instance in fleet.instances:
                while await fleet.known_instances(instance) != 4:
                    await asyncio.sleep(INTERVAL_S)
            for version, stopped in enumerate((None, *fleet.instances[:3]), start=2):
                if stopped is not None:
                    # Each may be the relay of those that are left.
                    await stopped.stop()
                    fleet.earlier = [i for i in fleet.earlier if i is not stopped]
                    fleet.present = [i for i in fleet.present if i is not stopped]
                fleet.configure(version, path_prefix=f"/v{version}/")
                await fleet.wait_until_served(f"/v{version}/x")

    asyncio.run(test())
