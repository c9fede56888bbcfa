"""Answers that an upstream sends once more, or breaks off, on a kept connection."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from borageramp_core import AttemptResult
from borageramp_entry._internal.serving.upstreams import TryFailedError, UpstreamClient
from borageramp_entry.routed import CallerRequest
from borageramp_platform.messages import Upstreams
from tests.lib.builders import make_upstream
from tests.lib.stream_server import running_server

OK = b"HTTP/1.1 200 OK\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nBorageramp-Not-Executed: 1\r\n"
ID = b"Borageramp-Request-Id: %s\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"


class Server:
    """Gives each request the next answer, on any connection.

    Parameters
    ----------
    *answers : bytes
        The answers, by request. The connection is closed after the last.
    """

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while self._answers:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return
            writer.write(self._answers.pop(0))
            await writer.drain()


class Caller:
    """Sends requests and health checks to one upstream."""

    def __init__(self, port: int) -> None:
        self._upstream = make_upstream("u1", host="127.0.0.1", port=port)
        self.client = UpstreamClient(dialect=Upstreams())

    async def send(self, request_id: str) -> bytes:
        """Send a request that runs at most once; return its body."""
        answer = await self.client.send(
            self._upstream,
            make_request(request_id),
            timeout_s=2.0,
            deadline_ms=2000,
            connect_timeout_s=1.0,
        )
        body = b""
        while part := await answer.read(2.0):
            body += part
        return body

    async def fail(self, request_id: str) -> AttemptResult:
        """Send a request that gets no answer; return how it ended."""
        with pytest.raises(TryFailedError) as caught:
            await self.send(request_id)
        # A connection is offered again a moment after the end of its answer.
        await asyncio.sleep(0.02)
        return caught.value.result

    async def check_health(self) -> bool:
        """Ask the health endpoint; return whether the upstream is well."""
        answer = await self.client.ask_health(
            self._upstream, "/healthz", timeout_s=2.0, connect_timeout_s=1.0
        )
        await asyncio.sleep(0.02)
        return answer.healthy


def make_request(request_id: str) -> CallerRequest:
    return CallerRequest(
        request_id=request_id,
        service="records",
        class_name="r1",
        deadline_s=0.0,
        method="POST",
        path="/",
        headers=(),
        body=b"",
    )


def run(server: Server, test: Callable[[Caller], Awaitable[None]]) -> None:
    async def guarded() -> None:
        async with running_server(server.serve) as port, asyncio.timeout(20):
            caller = Caller(port)
            try:
                await test(caller)
            finally:
                await caller.client.close()

    asyncio.run(guarded())


# Guards against a refusal that belongs to another request: callers were told "not run"
# of requests that ran, and these ran again elsewhere.
@pytest.mark.parametrize("repeated", [REFUSAL + EMPTY, REFUSAL + ID % b"first" + EMPTY])
def test_a_repeated_refusal_is_not_taken_for_the_next_answer(repeated: bytes) -> None:
    server = Server(REFUSAL + ID % b"first" + EMPTY, repeated, OK + EMPTY)

    async def test(caller: Caller) -> None:
        assert await caller.fail("first") is AttemptResult.SHED
        assert await caller.fail("second") is AttemptResult.DIED
        assert server.connections == 1
        # The answer to the second request may still be on its way there.
        await caller.check_health()
        assert server.connections == 2

    run(server, test)


# Health checks share connections with requests, and their answers name no request.
@pytest.mark.parametrize("answer", [REFUSAL + EMPTY, OK + EMPTY])
def test_a_repeated_health_answer_is_not_taken_for_the_next_answer(
    answer: bytes,
) -> None:
    server = Server(answer, answer)

    async def test(caller: Caller) -> None:
        await caller.check_health()
        assert await caller.fail("second") is AttemptResult.DIED
        assert server.connections == 1

    run(server, test)


def test_the_answer_to_a_request_is_no_health_answer() -> None:
    server = Server(OK + ID % b"first" + EMPTY, OK + ID % b"first" + EMPTY)

    async def test(caller: Caller) -> None:
        assert await caller.send("first") == b""
        await asyncio.sleep(0.02)
        with pytest.raises(TryFailedError):
            await caller.check_health()

    run(server, test)


# Guards against an answer that stops within its head and passes for a whole one.
@pytest.mark.parametrize(
    "head",
    [
        OK + ID % b"first" + b"Content-Length: 12\r\n\r\n",
        OK + ID % b"first" + b"Transfer-Encoding: chunked\r\n\r\n",
        OK + ID % b"first" + b"\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK + ID % b"first" + b"\r\n",
    ],
    ids=["length", "chunked", "unframed", "interim"],
)
def test_an_answer_that_ends_within_its_head_is_none(head: bytes) -> None:
    async def test_cut(cut: bytes) -> None:
        async with running_server(Server(cut).serve) as port:
            caller = Caller(port)
            assert await caller.fail("first") is AttemptResult.DIED, cut
            await caller.client.close()

    async def test_all() -> None:
        async with asyncio.timeout(60):
            for length in range(len(head)):
                await test_cut(head[:length])

    asyncio.run(test_all())
