"""The entry process with a fake store: serving, reloading and stopping."""

import asyncio
import json
import signal
from pathlib import Path

import pytest

from borageramp_entry.routed import BrokenExchangeError
from tests.lib.entry_process import (
    WORK_S,
    EntryProcess,
    StubUpstream,
    peak_bytes,
    run_with_instance,
    run_with_log,
)
from tests.lib.platform_store import FakeStore
from tests.lib.routed import as_bytes, config_document, upstream_document

# Concurrent uploads whose bodies together exceed the memory of the smallest machines.
UPLOADS = 60
UPLOAD_BYTES = 4_000_000
SMALLEST_MEMORY_BYTES = 200_000_000


def test_a_request_is_served_and_an_unknown_route_is_not(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        assert await instance.get(instance.front, "/r/x") == (200, b"done")
        assert (await instance.get(instance.front, "/nowhere"))[0] == 404
        status, body = await instance.get(instance.directory, "/-/resolve?zone=north")
        assert status == 200
        assert json.loads(body)["addresses"] == [f"127.0.0.1:{instance.front}"]

    events = run_with_instance(tmp_path, test)
    assert {"started", "placed", "request ended", "stopped"} <= set(events)


def test_a_planned_stop_completes_requests_and_deregisters(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        while not any("instances/" in key for key in store.items):
            await asyncio.sleep(0.05)
        in_progress = asyncio.ensure_future(instance.get(instance.front, "/r/x"))
        await asyncio.sleep(WORK_S / 3)
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert (await instance.get(instance.check, "/-/readyz"))[0] == 503
        # Callers that still use the address are served.
        assert await instance.get(instance.front, "/r/y") == (200, b"done")
        assert await in_progress == (200, b"done")
        assert await instance.process.wait() == 0
        assert not any("instances/" in key for key in store.items)

    run_with_instance(tmp_path, test)


# Guards against requests that are cut without an answer at the end of a planned stop.
def test_a_request_that_outlasts_a_planned_stop_is_answered(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.work_s = 30.0
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        status, _ = await instance.get(instance.front, "/r/x")
        assert status == 504

    events = run_with_instance(tmp_path, test)
    assert "stopped" in events


# Guards against requests of before a planned stop that are cut without an answer.
def test_requests_under_way_that_outlast_a_planned_stop_are_answered(
    tmp_path: Path,
) -> None:
    async def test(instance: EntryProcess, store: FakeStore, up: StubUpstream) -> None:
        config = config_document(2, timeout_s=20, kind="unsafe")
        store.put("op/config", as_bytes(config))
        await asyncio.sleep(1.5)
        up.work_s = 30.0
        # Four run, as many as there are slots, and one is queued.
        requests = [
            asyncio.ensure_future(
                instance.get(instance.front, "/r/x", deadline_ms=20_000)
            )
            for _ in range(5)
        ]
        await asyncio.sleep(0.5)
        instance.process.send_signal(signal.SIGTERM)
        statuses = sorted([(await request)[0] for request in requests])
        assert statuses in ([503, 504, 504, 504, 504], [504] * 5)
        # What never began is said not to have run, and nothing else.
        assert statuses.count(504) == up.begun

    events = run_with_instance(tmp_path, test)
    assert "stopped" in events


def test_settings_are_reloaded_and_invalid_ones_rejected(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        instance.write_boot(probes_per_s=10)
        instance.process.send_signal(signal.SIGHUP)
        assert await instance.get(instance.front, "/r/x") == (200, b"done")
        instance.boot.write_text("node_name: [")
        instance.process.send_signal(signal.SIGHUP)
        assert await instance.get(instance.front, "/r/x") == (200, b"done")

    events = run_with_instance(tmp_path, test)
    assert "settings reloaded" in events and "settings not reloaded" in events


def test_an_entry_without_configuration_is_not_ready(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        instance.process.kill()
        await instance.process.wait()
        store.fault = "busy"
        await instance.start()
        status = 0
        while status == 0:
            await asyncio.sleep(0.05)
            try:
                status, _ = await instance.get(instance.check, "/-/readyz")
            except Exception:
                # Not listening yet.
                continue
        assert status == 503
        assert (await instance.get(instance.front, "/r/x"))[0] == 503
        store.fault = ""
        await instance.wait_until_ready()

    run_with_instance(tmp_path, test)


def test_one_of_two_instances_watches_the_store_and_relays_changes(
    tmp_path: Path,
) -> None:
    async def status(instance: EntryProcess) -> int:
        return (await instance.get(instance.front, "/new/x"))[0]

    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        other = EntryProcess(store, tmp_path, name="front-2")
        await other.start()
        try:
            await other.wait_until_ready()
            while sum("instances/" in key for key in store.items) < 2:
                await asyncio.sleep(0.05)
            # Longer than the time for which changes are batched.
            await asyncio.sleep(1.5)
            before = sum("kv-watch" in call for call in store.calls)
            config = config_document(2, path_prefix="/new/", timeout_s=3)
            store.put("op/config", as_bytes(config))
            while {await status(instance), await status(other)} != {200}:
                await asyncio.sleep(0.05)
            after = sum("kv-watch" in call for call in store.calls)
            assert after <= before + 1
        finally:
            await other.stop()

    run_with_instance(tmp_path, test)


async def upload(instance: EntryProcess, number: int) -> int:
    """Send a large body; return the status of the answer, or 0 without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", instance.front)
    head = (
        f"POST /r/{number} HTTP/1.1\r\nHost: a.example\r\n"
        f"Borageramp-Request-Id: u{number}\r\nBorageramp-Deadline-Ms: 3000\r\n"
        f"Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    writer.write(head.encode())
    try:
        writer.write(b"x" * UPLOAD_BYTES)
        line = await reader.readline()
        return int(line.split()[1]) if line else 0
    except ConnectionError:
        return 0
    finally:
        writer.transport.abort()


def test_many_unread_uploads_fit_the_memory(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        config = config_document(2, timeout_s=3, kind="upload", attempts=1)
        config["resources"][2]["spec"]["max_body_bytes"] = 2 * UPLOAD_BYTES
        store.put("op/config", as_bytes(config))
        document = upstream_document(address=upstream.address)
        document["info"]["slots"] = UPLOADS
        store.put("servers/u1", as_bytes(document))
        upstream.reads = False
        await asyncio.sleep(1.5)
        statuses = await asyncio.gather(
            *(upload(instance, number) for number in range(UPLOADS))
        )
        # The uploads may have run, so no refusal may claim that they did not.
        assert set(statuses) <= {503, 504}
        assert peak_bytes(instance) < SMALLEST_MEMORY_BYTES

    run_with_instance(tmp_path, test)


def test_an_endless_answer_is_aborted_at_its_deadline(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.endless = True
        clock = asyncio.get_running_loop().time
        started_s = clock()
        response = await instance.send(instance.front, "/r/x")
        with pytest.raises(BrokenExchangeError):
            while await response.read():
                # What was sent before the end is still to be read after it.
                if clock() - started_s < 3.0:
                    await asyncio.sleep(0.001)
        assert clock() - started_s < 3.0 + 0.5
        assert peak_bytes(instance) < SMALLEST_MEMORY_BYTES

    lines = run_with_log(tmp_path, test)
    assert "answer cut short" in [line["event"] for line in lines]
    (ended,) = (
        line
        for line in lines
        if line["event"] == "request ended" and line["request_id"] == "r1"
    )
    assert ended["outcome"] == "cut_short" and ended["took_ms"] < 3500
