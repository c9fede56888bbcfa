"""Large bodies of requests, passed on while they arrive."""

import asyncio
from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from borageramp_core.routing import CallerLimits
from borageramp_entry._internal.border.uploads import (
    MAX_HELD_BYTES,
    REST_TIMEOUT_S,
    STREAM_FROM_BYTES,
    Upload,
)
from borageramp_entry._internal.routed.front import FrontSite
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.requests import BodyCutError
from borageramp_entry.routed import BrokenExchangeError, HttpClient

PART = b"x" * 16_384
SMALL = b"y" * 1000
ENDS = (b"END", b"0\r\n\r\n")


class Pausing:
    """A connection that notes whether it is read."""

    paused = False

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False


def run(test: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await test()

    asyncio.run(bounded())


def test_a_body_is_read_as_it_arrives_and_again_from_its_start() -> None:
    async def test() -> None:
        upload = Upload(length=4, transport=Pausing())
        upload.on_data(b"ab")
        assert await upload.read(0) == b"ab"
        reading = asyncio.ensure_future(upload.read(2))
        await asyncio.sleep(0)
        upload.on_data(b"cd")
        upload.on_end()
        assert await reading == b"cd"
        assert await upload.read(4) == b""
        assert upload.repeatable and await upload.read(1) == b"b"

    run(test)


def test_a_caller_is_not_read_while_too_much_is_held() -> None:
    async def test() -> None:
        caller = Pausing()
        upload = Upload(length=None, transport=caller)
        while not caller.paused:
            upload.on_data(PART)
        offset = 0
        while offset < MAX_HELD_BYTES:
            offset += len(await upload.read(offset))
        # It waits for more, so that there has to be room.
        reading = asyncio.ensure_future(upload.read(offset))
        await asyncio.sleep(0)
        assert not caller.paused and not upload.repeatable
        with pytest.raises(BodyCutError):
            await upload.read(0)
        reading.cancel()

    run(test)


def test_a_caller_that_leaves_ends_the_reading() -> None:
    async def test() -> None:
        upload = Upload(length=9, transport=Pausing())
        reading = asyncio.ensure_future(upload.read(0))
        await asyncio.sleep(0)
        upload.on_cut()
        with pytest.raises(BodyCutError):
            await reading

    run(test)


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = True
        self.disconnecting = True


class Keeping(Resource):
    """Keeps each request, to be answered by the test."""

    isLeaf = True

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Any] = []

    def render(self, request: Any) -> int:
        self.requests.append(request)
        return NOT_DONE_YET


class Connection:
    """A caller's connection to a site whose time is simulated."""

    def __init__(self, *, max_body_bytes: int = 1_000_000) -> None:
        self.clock = Clock()
        self.resource = Keeping()
        site = FrontSite(self.resource, reactor=self.clock)
        site.limits = CallerLimits(max_body_bytes=max_body_bytes)
        self.channel: Any = site.buildProtocol(None)
        self.transport = Transport()
        self.channel.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.channel.dataReceived(data)

    def send_head(self, length: int) -> None:
        self.send(b"POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length)

    def answer(self, number: int, body: bytes) -> None:
        request = self.resource.requests[number]
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()


@pytest.fixture
def connection() -> Connection:
    return Connection()


def test_a_small_body_is_held_whole(connection: Connection) -> None:
    connection.send_head(len(SMALL))
    connection.send(SMALL[:500])
    assert connection.resource.requests == []
    connection.send(SMALL[500:])
    (request,) = connection.resource.requests
    assert request.upload is None and request.content.read() == SMALL


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_served_before_all_of_it_is_there(chunked: bool) -> None:
    connection = Connection()
    body = PART * 8
    head = b"POST /u HTTP/1.1\r\nHost: a\r\n"
    if chunked:
        connection.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
        parts = [b"%x\r\n%b\r\n" % (len(PART), PART)] * 8
    else:
        connection.send(head + b"Content-Length: %d\r\n\r\n" % len(body))
        parts = [PART] * 8
    for part in parts[:5]:
        connection.send(part)
    (request,) = connection.resource.requests
    assert request.upload.length == (None if chunked else len(body))
    assert not request.upload.ended
    for part in parts[5:]:
        connection.send(part)
    if chunked:
        connection.send(b"0\r\n\r\n")

    async def test() -> None:
        read = b""
        while part := await request.upload.read(len(read)):
            read += part
        assert read == body

    assert request.upload.ended and len(connection.resource.requests) == 1
    run(test)


def test_a_refusal_is_sent_before_the_rest_of_the_body(connection: Connection) -> None:
    connection.send_head(len(PART) * 8)
    connection.send(PART * 5)
    connection.answer(0, b"refused")
    assert connection.transport.value().endswith(b"refused")
    # The rest is no request, and what follows it is one.
    connection.send(PART * 3 + b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(connection.resource.requests) == 2
    assert connection.resource.requests[1].path == b"/next"
    connection.clock.advance(REST_TIMEOUT_S * 2)
    assert not connection.transport.aborted


def test_a_rest_that_does_not_come_ends_the_connection(connection: Connection) -> None:
    connection.send_head(len(PART) * 8)
    connection.send(PART * 5)
    connection.answer(0, b"refused")
    connection.clock.advance(REST_TIMEOUT_S + 0.1)
    assert connection.transport.aborted


def test_a_body_that_says_it_is_too_large_is_served_at_once() -> None:
    connection = Connection(max_body_bytes=200_000)
    connection.send_head(10_000_000)
    connection.send(PART)
    (request,) = connection.resource.requests
    assert request.body_too_large


def test_a_body_that_grows_too_large_ends_its_connection() -> None:
    connection = Connection(max_body_bytes=200_000)
    connection.send(b"POST /u HTTP/1.1\r\nHost: a\r\n")
    connection.send(b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(20):
        connection.send(b"%x\r\n%b\r\n" % (len(PART), PART))
    assert connection.transport.aborted


def test_the_largest_body_allowed_is_taken() -> None:
    connection = Connection(max_body_bytes=STREAM_FROM_BYTES)
    connection.send_head(STREAM_FROM_BYTES)
    connection.send(b"x" * STREAM_FROM_BYTES)
    (request,) = connection.resource.requests
    assert not request.body_too_large


class UploadServer:
    """Reads bodies, and notes what it got on each connection."""

    def __init__(self, *, answer_after_bytes: int | None = None) -> None:
        self._answer_after_bytes = answer_after_bytes
        self.received: list[bytes] = []
        self.ended: list[bool] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.received)
        self.received.append(b"")
        self.ended.append(False)
        answered = False
        while data := await self._read(reader):
            self.received[number] += data
            after = self._answer_after_bytes
            if after is not None and len(self.received[number]) > after:
                if not answered:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                answered = True
            elif after is None and self.received[number].endswith(
                (b"END", b"0\r\n\r\n")
            ):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.ended[number] = True
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(65_536)
        except ConnectionError:
            return b""


async def send(client: HttpClient, port: int, upload: Upload) -> HttpResponse:
    return await client.request(
        ("127.0.0.1", port), "POST", "/u", upload=upload, connect_timeout_s=1.0
    )


def with_server(server: UploadServer, test: Any) -> None:
    async def serve() -> None:
        listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        client = HttpClient(idle_s=5.0, max_idle=4)
        await test(client, listening.sockets[0].getsockname()[1])
        client.close()
        listening.close()

    run(serve)


@pytest.mark.parametrize("length", [None, 7 * len(PART) + 3])
def test_a_body_arrives_unchanged_and_the_connection_is_kept(
    length: int | None,
) -> None:
    server = UploadServer()

    async def test(client: HttpClient, port: int) -> None:
        for _ in range(2):
            upload = Upload(length=length, transport=Pausing())
            sending = asyncio.ensure_future(send(client, port, upload))
            for _ in range(7):
                upload.on_data(PART)
                await asyncio.sleep(0.001)
            upload.on_data(b"END")
            upload.on_end()
            assert await (await sending).read() == b"ok"
            await asyncio.sleep(0.02)
        assert client.opened == 1
        (got,) = server.received
        head = b"transfer-encoding: chunked" if length is None else b"content-length"
        assert got.count(head) == 2
        assert got.count(b"x") == 2 * 7 * len(PART)

    with_server(server, test)


def test_an_answer_before_the_body_was_read_spoils_the_connection() -> None:
    server = UploadServer(answer_after_bytes=20_000)

    async def test(client: HttpClient, port: int) -> None:
        upload = Upload(length=8 * len(PART), transport=Pausing())
        upload.on_data(PART * 2)
        response = await send(client, port, upload)
        assert await response.read() == b"ok"
        # What comes now is due to nobody.
        upload.on_data(PART * 6)
        upload.on_end()
        response = await client.request(
            ("127.0.0.1", port), "POST", "/v", body=PART * 2, connect_timeout_s=1.0
        )
        assert client.opened == 2 and server.ended[0]
        assert server.received[0].count(b"HTTP/1.1") == 1

    with_server(server, test)


@pytest.mark.parametrize("end", ["cut", "short", "long"])
def test_a_body_that_breaks_off_is_never_whole(end: str) -> None:
    server = UploadServer()

    async def test(client: HttpClient, port: int) -> None:
        upload = Upload(length=8 * len(PART), transport=Pausing())
        upload.on_data(PART * (9 if end == "long" else 2))
        sending = asyncio.ensure_future(send(client, port, upload))
        await asyncio.sleep(0.05)
        upload.on_cut() if end == "cut" else upload.on_end()
        with pytest.raises(BrokenExchangeError):
            await sending
        while not server.ended[0]:
            await asyncio.sleep(0.01)
        body = server.received[0].partition(b"\r\n\r\n")[2]
        assert len(body) < 8 * len(PART)

    with_server(server, test)
