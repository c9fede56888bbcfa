"""Requests and answers under way when an entry ends its planned stop."""

import asyncio
import signal
from pathlib import Path

import pytest

from borageramp_entry._internal.routed.forwarding_messages import encode_terms
from tests.lib.entry_process import (
    GRACE_S,
    EntryProcess,
    StubUpstream,
    read_slowly,
    run_with_instance,
    run_with_log,
)
from tests.lib.forwarding import make_request
from tests.lib.platform_store import FakeStore
from tests.lib.routed import as_bytes, config_document

BODY = bytes(i % 251 for i in range(800_000))
# The entry accepts connections for a second after SIGTERM.
CONNECTED_AFTER_S = 0.8
# The answer takes a second and more at this pace.
READ_PAUSE_S = 0.016
# The platform excuses requests that are cut later than this after SIGTERM.
EXCUSED_AFTER_S = GRACE_S * 5 / 6
# As many requests as the upstream has slots.
REQUESTS = 4


def encode_request(*headers: str) -> bytes:
    lines = ["GET /r/x HTTP/1.1", "Host: a.example", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def caller_request() -> bytes:
    return encode_request("Borageramp-Request-Id: r1", "Borageramp-Deadline-Ms: 20000")


def forwarded_request() -> bytes:
    request = make_request(timeout_s=20.0)
    now_s = asyncio.get_running_loop().time()
    terms = encode_terms(request, caller_age_s=0.0, now_s=now_s)
    header = f"{terms[0]}: {terms[1].decode()}"
    return encode_request(header, "Borageramp-Request-Id: r1")


def send_requests(
    instance: EntryProcess, *, forwarded: bool, pause_s: float, delay_s: float = 0.0
) -> asyncio.Future[list[bytes]]:
    """Send requests of callers or of another instance, and read their answers."""
    port = instance.internal[0] if forwarded else instance.front
    request = forwarded_request() if forwarded else caller_request()
    return asyncio.gather(
        *(
            read_slowly(port, request, pause_s=pause_s, delay_s=delay_s)
            for _ in range(REQUESTS)
        )
    )


def check_whole(answer: bytes, expected_body: bytes) -> None:
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ") and len(body) == len(expected_body)
    assert body == expected_body


# Guards against answers that are cut while they are sent, at the end of a planned stop.
@pytest.mark.parametrize("forwarded", [False, True])
def test_answers_under_way_are_sent_whole_before_a_planned_stop_ends(
    tmp_path: Path, forwarded: bool
) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.body, upstream.work_s = BODY, 0.2
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(CONNECTED_AFTER_S)
        for answer in await send_requests(
            instance, forwarded=forwarded, pause_s=READ_PAUSE_S
        ):
            check_whole(answer, BODY)
        assert await instance.process.wait() == 0

    assert "stopped" in run_with_instance(tmp_path, test)


# Guards against a stop that waits for a caller that never reads, and doesn't log that
# its answer was cut.
def test_a_caller_that_does_not_read_delays_a_planned_stop_by_its_limit_only(
    tmp_path: Path,
) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.body, upstream.work_s = BODY, 0.2
        reading = asyncio.ensure_future(
            read_slowly(instance.front, caller_request(), pause_s=3600)
        )
        while not upstream.served:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        instance.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(4.0):
            assert await instance.process.wait() == 0
        reading.cancel()

    lines = run_with_log(tmp_path, test)
    (stopped,) = (line for line in lines if line["event"] == "stopped")
    assert stopped["cut_answers"] == 1


# Guards against requests that are given up although their upstreams answer before the
# time from which the platform excuses it.
@pytest.mark.parametrize("forwarded", [False, True])
def test_requests_run_until_a_planned_stop_may_end_them(
    tmp_path: Path, forwarded: bool
) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.work_s = EXCUSED_AFTER_S
        answers = send_requests(instance, forwarded=forwarded, pause_s=0.0)
        while upstream.begun < REQUESTS:
            await asyncio.sleep(0.01)
        instance.process.send_signal(signal.SIGTERM)
        for answer in await answers:
            check_whole(answer, b"done")

    run_with_log(tmp_path, test, route_timeout_s=20.0)


# Guards against ready answers that are cut with time left to send them.
@pytest.mark.parametrize("forwarded", [False, True])
def test_answers_are_sent_until_shortly_before_the_process_is_killed(
    tmp_path: Path, forwarded: bool
) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.body, upstream.work_s = BODY, 0.1
        answers = send_requests(
            instance, forwarded=forwarded, pause_s=0.0, delay_s=EXCUSED_AFTER_S
        )
        while upstream.served < REQUESTS:
            await asyncio.sleep(0.01)
        instance.process.send_signal(signal.SIGTERM)
        for answer in await answers:
            check_whole(answer, BODY)

    run_with_log(tmp_path, test, route_timeout_s=20.0)


# Guards against a process that is killed before its last requests are answered.
def test_a_planned_stop_ends_before_the_process_is_killed(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        upstream.work_s = 3600.0
        answers = send_requests(instance, forwarded=False, pause_s=0.0)
        while upstream.begun < REQUESTS:
            await asyncio.sleep(0.01)
        instance.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            assert await instance.process.wait() == 0
        for answer in await answers:
            assert answer.startswith(b"HTTP/1.1 504 ")

    run_with_log(tmp_path, test, route_timeout_s=20.0)


# Guards against requests that wait for an upstream, begin too late in a planned stop to
# end, and can't be sent again, as they may have run.
def test_a_request_that_waited_does_not_begin_too_late_to_end(tmp_path: Path) -> None:
    async def test(
        instance: EntryProcess, store: FakeStore, upstream: StubUpstream
    ) -> None:
        config = config_document(2, timeout_s=20, kind="unsafe", aim_s=15)
        store.put("op/config", as_bytes(config))
        await asyncio.sleep(1.5)
        upstream.work_s = EXCUSED_AFTER_S
        requests = [
            asyncio.ensure_future(
                instance.get(instance.front, "/r/x", method="POST", deadline_ms=20_000)
            )
            for _ in range(3 * REQUESTS)
        ]
        while upstream.begun < REQUESTS:
            await asyncio.sleep(0.01)
        instance.process.send_signal(signal.SIGTERM)
        statuses = [(await request)[0] for request in requests]
        assert statuses.count(200) >= REQUESTS
        assert upstream.begun == statuses.count(200)

    run_with_log(tmp_path, test)
