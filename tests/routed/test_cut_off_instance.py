"""Two entry processes, one of which loses its links to all upstreams."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from borageramp_entry._internal.routed.records import encode_instance, instance_key
from tests.lib.entry_process import EntryProcess, StubUpstream
from tests.lib.links import Cut, Link, running_link
from tests.lib.platform_store import FakeStore, running_store
from tests.lib.routed import as_bytes, config_document, upstream_document
from tests.lib.stream_server import running_server

UPSTREAMS = 5
WORK_S = 0.05
# Time after the cut from which callers must be served again.
CONTACT_S = 3.0
REQUESTS = 30
# Work of a request during which an instance stops or is killed.
HELD_WORK_S = 1.0
# Time until an instance notices that its links are back.
RESTORE_S = 1.0
INTERVAL_S = 0.1
# How often callers of the instance that is cut off must be served, compared to
# those of the other. Besides, so many failures are allowed, and this share of all.
MIN_SERVED_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50


def make_document() -> dict[str, object]:
    """Return a configuration with an idempotent route and another one."""
    document = config_document(timeout_s=3)
    (unsafe, *_) = config_document(path_prefix="/unsafe/", kind="unsafe", timeout_s=3)[
        "resources"
    ]
    unsafe["metadata"] = {"name": "r2"}
    document["resources"].append(unsafe)
    return document


class Fleet:
    """Two instances that know each other, and the links of the first to upstreams.

    Each has a store of its own, so that the first finds its links in place of the
    upstreams' addresses.
    """

    def __init__(self) -> None:
        self.upstreams = [StubUpstream() for _ in range(UPSTREAMS)]
        self.links: list[Link] = []
        self.cut_off: EntryProcess
        self.other: EntryProcess
        for upstream in self.upstreams:
            upstream.work_s = WORK_S

    async def start(self, stack: AsyncExitStack, folder: Path) -> None:
        """Start all parts; ``stack`` ends them."""
        stores = [await stack.enter_async_context(running_store()) for _ in range(2)]
        for store in stores:
            store.put("op/config", as_bytes(make_document()))
        for i, upstream in enumerate(self.upstreams):
            port = await stack.enter_async_context(running_server(upstream.serve))
            link = await stack.enter_async_context(running_link(port))
            self.links.append(link)
            self._register(stores[0], i, link.port)
            self._register(stores[1], i, port)
        # In different data centres, each watches its own store.
        self.cut_off = EntryProcess(
            stores[0], folder, name="front-1", data_centre="north"
        )
        self.other = EntryProcess(
            stores[1], folder, name="front-2", data_centre="south"
        )
        for store, peer in zip(stores, (self.other, self.cut_off), strict=True):
            store.put(instance_key(peer.name), encode_instance(peer.record()))
        for instance in (self.cut_off, self.other):
            await instance.start()
            stack.push_async_callback(instance.stop)
        for instance in (self.cut_off, self.other):
            await instance.wait_until_ready()

    def _register(self, store: FakeStore, number: int, port: int) -> None:
        document = upstream_document(address=f"127.0.0.1:{port}")
        store.put(f"servers/u{number}", as_bytes(document))

    async def cut(self, how: Cut) -> None:
        """Cut all links of the first instance to upstreams."""
        for link in self.links:
            await link.cut(how)

    async def restore(self) -> None:
        """End the cut."""
        for link in self.links:
            await link.open()

    @property
    def served(self) -> int:
        """Requests that upstreams have served."""
        return sum(u.served for u in self.upstreams)


@asynccontextmanager
async def running_fleet(folder: Path) -> AsyncIterator[Fleet]:
    fleet = Fleet()
    async with AsyncExitStack() as stack, asyncio.timeout(60):
        await fleet.start(stack, folder)
        yield fleet


async def send_one(instance: EntryProcess, number: int) -> bool:
    """Send one request, without a retry; return whether it was served."""
    path = "/unsafe/x" if number % 2 else "/r/x"
    request_id = f"{instance.name}-{number}"
    answer = await instance.get(instance.front, path, request_id=request_id)
    return answer == (200, b"done")


async def send_requests(instance: EntryProcess, count: int = REQUESTS) -> int:
    """Send requests of both routes in turn; return how many were served."""
    tasks = []
    for number in range(count):
        tasks.append(asyncio.ensure_future(send_one(instance, number)))
        await asyncio.sleep(INTERVAL_S)
    return sum(await asyncio.gather(*tasks))


# Guards against callers of an instance that reaches no upstream being refused while
# other instances reach all of them.
@pytest.mark.parametrize("how", list(Cut), ids=lambda how: how.value)
def test_callers_of_an_instance_that_reaches_no_upstream_are_served(
    how: Cut, tmp_path: Path
) -> None:
    async def run() -> tuple[int, int]:
        async with running_fleet(tmp_path) as fleet:
            instances = (fleet.cut_off, fleet.other)
            # Callers hold connections to upstreams before the cut as well.
            await asyncio.gather(*(send_requests(i, 10) for i in instances))
            await fleet.cut(how)
            await asyncio.gather(
                *(send_requests(i, int(CONTACT_S / INTERVAL_S)) for i in instances)
            )
            at_cut_off, at_other = await asyncio.gather(
                *(send_requests(i) for i in instances)
            )
            return at_cut_off, at_other

    at_cut_off, at_other = asyncio.run(run())
    failed = REQUESTS - at_cut_off
    max_failed = MAX_FAILED + MAX_FAILED_SHARE * 2 * REQUESTS
    assert at_cut_off >= MIN_SERVED_SHARE * at_other or failed <= max_failed
    assert at_other == REQUESTS


async def send_while_held(fleet: Fleet, path: str) -> "asyncio.Task[tuple[int, bytes]]":
    """Send a request to the instance that is cut off; wait until it runs."""
    await fleet.cut(Cut.RESET)
    # The first requests find out that the links are gone.
    await send_requests(fleet.cut_off, 4)
    for upstream in fleet.upstreams:
        upstream.work_s = HELD_WORK_S
    begun = sum(u.begun for u in fleet.upstreams)
    task = asyncio.ensure_future(fleet.cut_off.get(fleet.cut_off.front, path))
    while sum(u.begun for u in fleet.upstreams) == begun:
        await asyncio.sleep(0.01)
    return task


def test_an_instance_that_stops_finishes_what_others_forwarded(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_fleet(tmp_path) as fleet:
            held = await send_while_held(fleet, "/unsafe/x")
            fleet.other.process.send_signal(signal.SIGTERM)
            # Longer than what it has said of itself before counts.
            await asyncio.sleep(0.4)
            started_s = asyncio.get_running_loop().time()
            status, body = await fleet.cut_off.get(fleet.cut_off.front, "/unsafe/y")
            assert asyncio.get_running_loop().time() - started_s < HELD_WORK_S / 2
            assert status == 503 and b"upstreams_unreachable" in body
            assert await held == (200, b"done")

    asyncio.run(run())


# Guards against a refusal that says "not run" of work that a killed instance had sent.
@pytest.mark.parametrize("path", ["/unsafe/x", "/r/x"])
def test_work_of_a_killed_instance_is_not_said_to_be_not_run(
    path: str, tmp_path: Path
) -> None:
    async def run() -> None:
        async with running_fleet(tmp_path) as fleet:
            held = await send_while_held(fleet, path)
            begun = sum(u.begun for u in fleet.upstreams)
            fleet.other.process.kill()
            status, _ = await held
            assert status == 502
            assert sum(u.begun for u in fleet.upstreams) == begun

    asyncio.run(run())


def test_an_instance_whose_links_are_back_serves_by_itself(tmp_path: Path) -> None:
    async def run() -> list[str]:
        async with running_fleet(tmp_path) as fleet:
            await fleet.cut(Cut.RESET)
            assert await send_requests(fleet.cut_off, 10) >= 9
            await fleet.restore()
            await asyncio.sleep(RESTORE_S)
            fleet.other.process.kill()
            assert await send_requests(fleet.cut_off, 10) == 10
            return await fleet.cut_off.stop()

    events = asyncio.run(run())
    assert {"service unreachable", "forwarded", "service reachable"} <= set(events)
