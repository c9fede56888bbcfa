"""The HTTP client, against servers that break the rules."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from borageramp_entry.routed import (
    BrokenExchangeError,
    HttpClient,
    NotConnectedError,
)
from tests.lib.stream_server import running_server

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
EMPTY = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
Test = Callable[[HttpClient, int], Awaitable[None]]


class Server:
    """Answers each request with the next of some answers."""

    def __init__(self, *answers: bytes, then: str = "keep") -> None:
        self._answers = list(answers)
        self._then = then
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while self._answers:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(self._answers.pop(0))
                await writer.drain()
            if self._then == "reset":
                # With this the system sends a reset in place of a clean end.
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                await asyncio.sleep(0.05)
                writer.transport.abort()
            elif self._then == "keep":
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def with_server(server: Server, test: Test) -> None:
    async def run() -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        async with running_server(server.serve) as port, asyncio.timeout(10):
            try:
                await test(client, port)
            finally:
                client.close()

    asyncio.run(run())


async def fetch(client: HttpClient, port: int) -> bytes:
    response = await client.request(
        ("127.0.0.1", port), "GET", "/x", connect_timeout_s=1.0
    )
    body = b""
    while part := await response.read():
        body += part
    # The connection is offered again a moment after the end of the answer.
    await asyncio.sleep(0.02)
    return body


def test_a_connection_is_used_again() -> None:
    server = Server(OK, OK)

    async def test(client: HttpClient, port: int) -> None:
        assert await fetch(client, port) == b"ok"
        assert await fetch(client, port) == b"ok"
        assert server.connections == 1 and client.opened == 1

    with_server(server, test)


@pytest.mark.parametrize("extra", [b"x", EMPTY])
def test_bytes_after_an_answer_spoil_the_connection(extra: bytes) -> None:
    server = Server(OK + extra, OK)

    async def test(client: HttpClient, port: int) -> None:
        assert await fetch(client, port) == b"ok"
        assert await fetch(client, port) == b"ok"
        assert server.connections == 2

    with_server(server, test)


def test_an_answer_without_a_length_ends_with_a_clean_close() -> None:
    async def test(client: HttpClient, port: int) -> None:
        assert await fetch(client, port) == b"all of it"

    with_server(Server(b"HTTP/1.1 200 OK\r\n\r\nall of it", then="close"), test)


@pytest.mark.parametrize(
    ("answer", "then"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", "close"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "close",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nhalf", "reset"),
        (b"HTTP/1.1 200 OK\r\ncontent-", "close"),
        (b"nonsense\r\n\r\n", "keep"),
        (b"", "close"),
    ],
)
def test_an_answer_that_is_cut_or_makes_no_sense_is_broken(
    answer: bytes, then: str
) -> None:
    async def test(client: HttpClient, port: int) -> None:
        with pytest.raises(BrokenExchangeError):
            await fetch(client, port)

    with_server(Server(answer, then=then), test)


def test_an_interim_answer_is_passed_over() -> None:
    async def test(client: HttpClient, port: int) -> None:
        assert await fetch(client, port) == b"ok"

    with_server(Server(b"HTTP/1.1 100 Continue\r\n\r\n" + OK), test)


def test_nothing_was_sent_where_nobody_listens() -> None:
    async def test(client: HttpClient, port: int) -> None:
        with pytest.raises(NotConnectedError):
            await client.request(("127.0.0.1", 1), "GET", "/", connect_timeout_s=1.0)

    with_server(Server(), test)


def test_a_request_that_is_cancelled_closes_its_connection() -> None:
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.read()
        closed.set()
        writer.close()

    async def run() -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        async with running_server(serve) as port, asyncio.timeout(5):
            asked = asyncio.ensure_future(fetch(client, port))
            await asyncio.sleep(0.1)
            asked.cancel()
            await closed.wait()

    asyncio.run(run())


def test_the_body_is_sent_with_its_length() -> None:
    server = Server(OK)

    async def test(client: HttpClient, port: int) -> None:
        await client.request(
            ("127.0.0.1", port),
            "POST",
            "/p?q=1",
            headers=(("host", b"a.example"),),
            body=b"data",
            connect_timeout_s=1.0,
        )
        (head,) = server.requests
        assert head.startswith(b"POST /p?q=1 HTTP/1.1\r\nhost: a.example\r\n")
        assert b"content-length: 4\r\n" in head

    with_server(server, test)


def test_connections_that_were_used_meanwhile_are_not_forgotten() -> None:
    server = Server(*[OK] * 4)

    async def test(client: HttpClient, port: int) -> None:
        await asyncio.gather(fetch(client, port), fetch(client, port))
        failed_at_s = asyncio.get_running_loop().time()
        await fetch(client, port)
        place = ("127.0.0.1", port)
        assert client.forget(place, idle_before_s=failed_at_s) == 1
        await fetch(client, port)
        assert client.opened == 2
        assert client.forget(place) == 1

    with_server(server, test)
