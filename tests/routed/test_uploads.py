"""Large bodies of requests, passed on while they arrive."""

import asyncio
from typing import Any

import pytest

from borageramp_entry._internal.border.connection import (
    REST_TIMEOUT_S,
    STREAM_FROM_BYTES,
)
from borageramp_entry._internal.border.uploads import MAX_HELD_BYTES, Upload
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry._internal.serving.requests import BodyCutError
from borageramp_entry.routed import BrokenExchangeError, HttpClient
from tests.lib.connections import CallerConnection, run_connection

PART = b"x" * 16_384
SMALL = b"y" * 1000
ENDS = (b"END", b"0\r\n\r\n")


class Pausing:
    """A connection that notes whether it is read."""

    paused = False

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


def run(test: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await test()

    asyncio.run(bounded())


def test_a_body_is_read_as_it_arrives_and_again_from_its_start() -> None:
    async def test() -> None:
        upload = Upload(length=4, connection=Pausing())
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
        upload = Upload(length=None, connection=caller)
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
        upload = Upload(length=9, connection=Pausing())
        reading = asyncio.ensure_future(upload.read(0))
        await asyncio.sleep(0)
        upload.on_cut()
        with pytest.raises(BodyCutError):
            await reading

    run(test)


def head(length: int) -> bytes:
    return b"POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length


def test_a_small_body_is_held_whole() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(SMALL)))
        await connection.send(SMALL[:500])
        assert connection.requests == []
        await connection.send(SMALL[500:])
        (request,) = connection.requests
        assert request.upload is None and request.body == SMALL

    run_connection(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_served_before_all_of_it_is_there(chunked: bool) -> None:
    body = PART * 8

    async def test(connection: CallerConnection) -> None:
        if chunked:
            await connection.send(b"POST /u HTTP/1.1\r\nHost: a\r\n")
            await connection.send(b"Transfer-Encoding: chunked\r\n\r\n")
            parts = [b"%x\r\n%b\r\n" % (len(PART), PART)] * 8
        else:
            await connection.send(head(len(body)))
            parts = [PART] * 8
        for part in parts[:5]:
            await connection.send(part)
        (request,) = connection.requests
        assert request.upload is not None
        assert request.upload.length == (None if chunked else len(body))
        assert not request.upload.ended
        for part in parts[5:]:
            await connection.send(part)
        if chunked:
            await connection.send(b"0\r\n\r\n")
        read = b""
        while part := await request.upload.read(len(read)):
            read += part
        assert read == body
        assert request.upload.ended and len(connection.requests) == 1

    run_connection(test, answers=False)


def test_a_refusal_is_sent_before_the_rest_of_the_body() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(PART) * 8))
        await connection.send(PART * 5)
        connection.requests[0].answer(503, (), b"refused")
        assert connection.answer.endswith(b"refused")
        # The rest is no request, and what follows it is one.
        await connection.send(PART * 3 + b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
        assert len(connection.requests) == 2
        assert connection.requests[1].path == "/next"
        await asyncio.sleep(REST_TIMEOUT_S * 2)
        assert not connection.transport.aborted

    run_connection(test, answers=False)


def test_a_rest_that_does_not_come_ends_the_connection() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(PART) * 8))
        await connection.send(PART * 5)
        connection.requests[0].answer(503, (), b"refused")
        await asyncio.sleep(REST_TIMEOUT_S + 0.1)
        assert connection.transport.aborted

    run_connection(test, answers=False)


def test_a_body_that_says_it_is_too_large_is_served_at_once() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(10_000_000))
        (request,) = connection.requests
        assert request.body_too_large
        request.answer(413, (), b"too large")
        # The caller reads the answer before its connection is reset.
        assert connection.transport.ended and not connection.transport.aborted
        await connection.send(PART)
        await asyncio.sleep(REST_TIMEOUT_S + 0.1)
        assert connection.transport.aborted

    run_connection(test, answers=False, max_body_bytes=200_000)


def test_a_body_that_grows_too_large_ends_its_connection() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(b"POST /u HTTP/1.1\r\nHost: a\r\n")
        await connection.send(b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(20):
            await connection.send(b"%x\r\n%b\r\n" % (len(PART), PART))
        assert connection.transport.aborted

    run_connection(test, answers=False, max_body_bytes=200_000)


def test_the_largest_body_allowed_is_taken() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(STREAM_FROM_BYTES))
        await connection.send(b"x" * STREAM_FROM_BYTES)
        (request,) = connection.requests
        assert not request.body_too_large

    run_connection(test, max_body_bytes=STREAM_FROM_BYTES)


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
            upload = Upload(length=length, connection=Pausing())
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
        upload = Upload(length=8 * len(PART), connection=Pausing())
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
        upload = Upload(length=8 * len(PART), connection=Pausing())
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
