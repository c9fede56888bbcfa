"""Answers that are being sent when an entry ends its planned stop."""

import asyncio
import signal
from pathlib import Path

import pytest

from borageramp_entry._internal.routed.forwarding_messages import encode_terms
from tests.lib.entry_process import (
    EntryProcess,
    StubUpstream,
    read_slowly,
    run_with_instance,
    run_with_log,
)
from tests.lib.forwarding import make_request
from tests.lib.platform_store import FakeStore

BODY = bytes(i % 251 for i in range(800_000))
# The entry accepts connections for a second after SIGTERM and has three for the rest.
CONNECTED_AFTER_S = 0.8
# The answer takes a second and more at this pace.
READ_PAUSE_S = 0.016


def encode_request(*headers: str) -> bytes:
    lines = ["GET /r/x HTTP/1.1", "Host: a.example", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def caller_request() -> bytes:
    return encode_request("Borageramp-Request-Id: r1", "Borageramp-Deadline-Ms: 3000")


def forwarded_request() -> bytes:
    terms = encode_terms(
        make_request(), caller_age_s=0.0, now_s=asyncio.get_running_loop().time()
    )
    header = f"{terms[0]}: {terms[1].decode()}"
    return encode_request(header, "Borageramp-Request-Id: r1")


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
        port = instance.internal[0] if forwarded else instance.front
        request = forwarded_request() if forwarded else caller_request()
        answers = await asyncio.gather(
            *(read_slowly(port, request, pause_s=READ_PAUSE_S) for _ in range(4))
        )
        for answer in answers:
            head, _, body = answer.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ") and len(body) == len(BODY)
            assert body == BODY
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
