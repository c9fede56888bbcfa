"""Servers that send bytes without end, against the client for upstreams."""

import asyncio
import random
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest

from borageramp_core import AttemptResult
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient
from borageramp_entry.routed import BrokenExchangeError, CallerRequest, HttpClient
from borageramp_platform.messages import Upstreams
from tests.lib.builders import make_upstream
from tests.lib.routed import make_instance
from tests.lib.stream_server import running_server

OK = b"HTTP/1.1 200 OK\r\n"
SHED = (
    b"HTTP/1.1 503 Busy\r\nBorageramp-Not-Executed: 1\r\nBorageramp-Request-Id: r\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"\r\n"
BLOCK = 4096
# What a server gets rid of before the connection must be closed: the bounds of
# the client and the buffers of the system.
MAX_SENT_BYTES = 16_000_000
MAX_GROWTH_BYTES = 2_000_000

Test = Callable[[int], Awaitable[None]]


class EndlessServer:
    """Sends a start, and then one block after the other until it is closed."""

    def __init__(self, start: bytes, block: bytes) -> None:
        self._start = start
        self._block = block
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while self.sent_bytes < 10 * MAX_SENT_BYTES:
                writer.write(self._block)
                await writer.drain()
                self.sent_bytes += len(self._block)
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed.set()
            writer.close()


def against(server: EndlessServer, test: Test) -> None:
    """Run a test, and check that the server was got rid of at little cost."""

    async def run() -> None:
        tracemalloc.start()
        try:
            async with running_server(server.serve) as port, asyncio.timeout(20):
                await test(port)
                await server.closed.wait()
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert server.sent_bytes < MAX_SENT_BYTES
        assert peak_bytes < MAX_GROWTH_BYTES

    asyncio.run(run())


LARGE_CHUNKS = (b"10000\r\n" + b"x" * 65_536 + b"\r\n") * 40

ENDLESS = {
    "a header": (OK + b"X-Long: ", b"x" * BLOCK),
    "headers": (OK, b"X-More: 1\r\n" * (BLOCK // 11)),
    "a status line": (b"HTTP/1.1 200 ", b"O" * BLOCK),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25)),
    "an extension of a chunk": (OK + CHUNKED + b"1;", b"x" * BLOCK),
    "extensions of chunks": (OK + CHUNKED, b"1;" + b"x" * BLOCK + b"\r\na\r\n"),
    "trailers": (OK + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * (BLOCK // 11)),
    # A large body is no allowance for what comes beside it.
    "trailers after a body": (
        OK + CHUNKED + LARGE_CHUNKS + b"0\r\n",
        b"a:1\r\n" * (BLOCK // 5),
    ),
    "a trailer after a body": (OK + CHUNKED + LARGE_CHUNKS + b"0\r\na:", b"x" * BLOCK),
    "an extension after a body": (OK + CHUNKED + LARGE_CHUNKS + b"1;", b"x" * BLOCK),
    "small headers": (OK, b"a:1\r\n" * (BLOCK // 5)),
}


@pytest.mark.parametrize("case", ENDLESS)
def test_a_head_or_framing_without_end_is_no_whole_answer(case: str) -> None:
    async def test(port: int) -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        with pytest.raises(BrokenExchangeError):
            response = await client.request(
                ("127.0.0.1", port), "GET", "/x", connect_timeout_s=1.0
            )
            while await response.read():
                pass

    against(EndlessServer(*ENDLESS[case]), test)


BODIES = {
    "without a length": (UNFRAMED, b"x" * BLOCK),
    "in chunks": (CHUNKED, b"1000\r\n" + b"x" * BLOCK + b"\r\n"),
    "of a great length": (b"Content-Length: 999999999999\r\n\r\n", b"x" * BLOCK),
}


@pytest.mark.parametrize("case", BODIES)
def test_a_health_answer_without_end_is_given_up(case: str) -> None:
    framing, block = BODIES[case]

    async def test(port: int) -> None:
        client = UpstreamClient(dialect=Upstreams())
        upstream = make_upstream("u1", host="127.0.0.1", port=port)
        answer = await client.ask_health(
            upstream, "/healthz", timeout_s=1.0, connect_timeout_s=1.0
        )
        assert answer.healthy

    against(EndlessServer(OK + framing, block), test)


@pytest.mark.parametrize("case", BODIES)
def test_a_shed_answer_without_end_is_given_up(case: str) -> None:
    framing, block = BODIES[case]

    async def test(port: int) -> None:
        client = UpstreamClient(dialect=Upstreams())
        upstream = make_upstream("u1", host="127.0.0.1", port=port)
        with pytest.raises(TryFailedError) as caught:
            await client.send(
                upstream,
                _request(),
                timeout_s=1.0,
                deadline_ms=1000,
                connect_timeout_s=1.0,
            )
        assert caught.value.result is AttemptResult.SHED

    against(EndlessServer(SHED + framing, block), test)


@pytest.mark.parametrize("case", BODIES)
def test_a_body_without_end_is_read_no_faster_than_it_is_passed_on(case: str) -> None:
    framing, block = BODIES[case]

    async def test(port: int) -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        response = await client.request(
            ("127.0.0.1", port), "GET", "/x", connect_timeout_s=1.0
        )
        assert await response.read()
        await asyncio.sleep(0.3)
        response.abort()

    against(EndlessServer(OK + framing, block), test)


# Guards against a store or another instance whose answer takes all of the memory.
@pytest.mark.parametrize("case", BODIES)
def test_an_answer_that_is_read_whole_has_a_limit(case: str) -> None:
    framing, block = BODIES[case]

    async def test(port: int) -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        response = await client.request(
            ("127.0.0.1", port), "GET", "/x", connect_timeout_s=1.0
        )
        with pytest.raises(BrokenExchangeError, match="too long"):
            await response.read_all(max_bytes=500_000)

    against(EndlessServer(OK + framing, block), test)


# Guards against connections of checks that stay open with an answer without end.
@pytest.mark.parametrize("case", BODIES)
def test_a_readiness_answer_without_end_is_given_up(case: str) -> None:
    framing, block = BODIES[case]

    async def test(port: int) -> None:
        address = f"127.0.0.1:{port}"
        directory = InstanceDirectory(
            own=make_instance("own"),
            ready_path=b"/ready",
            lease_s=4.0,
            store_age_s=lambda: 10.0,
            on_gone=lambda: None,
            rng=random.Random(1),
            clock=asyncio.get_running_loop().time,
        )
        directory.update([make_instance("other", check_address=address)])
        checking = asyncio.ensure_future(directory.run())
        await asyncio.sleep(1.5)
        checking.cancel()
        assert len(directory.usable(own_ready=False)) == 1

    against(EndlessServer(OK + framing, block), test)


def _request() -> CallerRequest:
    return CallerRequest(
        request_id="r",
        service="records",
        class_name="r1",
        deadline_s=0.0,
        method="GET",
        path="/",
        headers=(),
        body=b"",
    )
