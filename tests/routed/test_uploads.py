"""Streaming of large request bodies to upstreams."""

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
from tests.lib.stream_server import running_server

PART = b"x" * 16_384
SMALL_BODY = b"y" * 1000
ENDS = (b"END", b"0\r\n\r\n")


def make_upload(*, length: int | None) -> Upload:
    return Upload(length=length, on_room=lambda: None)


def run_with_timeout(test: Any) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(10):
            await test()

    asyncio.run(bounded())


def test_a_body_is_read_while_it_arrives_and_again_from_its_start() -> None:
    async def test() -> None:
        upload = make_upload(length=4)
        upload.on_data(b"ab")
        assert await upload.read(0) == b"ab"
        reading = asyncio.ensure_future(upload.read(2))
        await asyncio.sleep(0)
        upload.on_data(b"cd")
        upload.on_end()
        assert await reading == b"cd"
        assert await upload.read(4) == b""
        assert upload.repeatable and await upload.read(1) == b"b"

    run_with_timeout(test)


def test_reading_pauses_while_the_buffer_is_full() -> None:
    async def test() -> None:
        read_on = asyncio.Event()
        upload = Upload(length=None, on_room=read_on.set)
        while not upload.is_full:
            upload.on_data(PART)
        offset = 0
        while offset < MAX_HELD_BYTES:
            offset += len(await upload.read(offset))
        assert upload.is_full and not read_on.is_set()
        # A waiting reader needs more data, so the caller must be read again.
        reading = asyncio.ensure_future(upload.read(offset))
        await asyncio.sleep(0)
        assert read_on.is_set() and not upload.is_full and not upload.repeatable
        with pytest.raises(BodyCutError):
            await upload.read(0)
        reading.cancel()

    run_with_timeout(test)


def test_a_disconnect_of_the_caller_ends_a_pending_read() -> None:
    async def test() -> None:
        upload = make_upload(length=9)
        reading = asyncio.ensure_future(upload.read(0))
        await asyncio.sleep(0)
        upload.on_cut()
        with pytest.raises(BodyCutError):
            await reading

    run_with_timeout(test)


def head(length: int) -> bytes:
    return b"POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length


def test_a_small_body_is_buffered_completely() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(SMALL_BODY)))
        await connection.send(SMALL_BODY[:500])
        assert connection.requests == []
        await connection.send(SMALL_BODY[500:])
        (request,) = connection.requests
        assert request.upload is None and request.body == SMALL_BODY

    run_connection(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_is_served_before_it_has_arrived_completely(chunked: bool) -> None:
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


NEXT_REQUEST = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
FULL_BODY = PART * (MAX_HELD_BYTES // len(PART) + 1)


# Guards against connections that are read no more after an upload that filled its
# buffer, so that the next request there is never answered.
@pytest.mark.parametrize("end", ["read", "unread", "refused"])
def test_the_request_after_an_upload_that_filled_its_buffer_is_served(
    end: str,
) -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(FULL_BODY)))
        await connection.send(FULL_BODY[:-1])
        (request,) = connection.requests
        assert request.upload is not None and connection.transport.paused
        # The system may hold the end of the body already, or a part that was read.
        connection.protocol.data_received(FULL_BODY[-1:])
        if end == "read":
            read = b""
            while part := await request.upload.read(len(read)):
                read += part
            assert read == FULL_BODY
        request.answer(503 if end == "refused" else 200, (), b"answer")
        await asyncio.sleep(0.02)
        assert not connection.transport.paused
        await connection.send(NEXT_REQUEST)
        assert [r.path for r in connection.requests] == ["/u", "/next"]

    run_connection(test, answers=False)


# Guards against a pause that outlives its request if the request is refused before
# its body has arrived.
def test_the_request_after_a_refused_upload_with_a_full_buffer_is_served() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(2 * len(FULL_BODY)))
        await connection.send(FULL_BODY)
        assert connection.transport.paused
        connection.requests[0].answer(503, (), b"refused")
        assert not connection.transport.paused
        await connection.send(FULL_BODY)
        await connection.send(NEXT_REQUEST)
        assert [r.path for r in connection.requests] == ["/u", "/next"]

    run_connection(test, answers=False)


# Guards against bytes that stay unread until the time for them is over.
def test_a_connection_that_ends_reads_what_still_arrives() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(2 * len(FULL_BODY)))
        await connection.send(FULL_BODY)
        assert connection.transport.paused
        connection.requests[0].answer(503, (), b"refused", last=True)
        assert connection.transport.ended and not connection.transport.paused

    run_connection(test, answers=False)


# Guards against answers that are lost as their connection is closed with unread bytes.
def test_a_connection_with_requests_that_are_not_read_ends_after_its_caller() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(NEXT_REQUEST * 2)
        assert connection.transport.paused
        connection.requests[0].answer(200, (), b"mine", last=True)
        assert connection.transport.ended and not connection.transport.closed
        assert not connection.transport.paused
        await asyncio.sleep(REST_TIMEOUT_S + 0.1)
        assert connection.transport.closed and len(connection.requests) == 1

    run_connection(test, answers=False)


def test_a_refusal_is_sent_before_the_rest_of_the_body() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(PART) * 8))
        await connection.send(PART * 5)
        connection.requests[0].answer(503, (), b"refused")
        assert connection.answer.endswith(b"refused")
        # The rest of the body is discarded; the request after it is parsed.
        await connection.send(PART * 3 + b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
        assert len(connection.requests) == 2
        assert connection.requests[1].path == "/next"
        await asyncio.sleep(REST_TIMEOUT_S * 2)
        assert not connection.transport.aborted

    run_connection(test, answers=False)


def test_an_incomplete_body_after_a_refusal_ends_the_connection() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(len(PART) * 8))
        await connection.send(PART * 5)
        connection.requests[0].answer(503, (), b"refused")
        await asyncio.sleep(REST_TIMEOUT_S + 0.1)
        assert connection.transport.aborted

    run_connection(test, answers=False)


def test_a_declared_length_that_is_too_large_is_served_immediately() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(10_000_000))
        (request,) = connection.requests
        assert request.body_too_large
        request.answer(413, (), b"too large")
        # The caller must be able to read the answer before its connection is reset.
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


def test_a_body_of_the_maximum_size_is_accepted() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(STREAM_FROM_BYTES))
        await connection.send(b"x" * STREAM_FROM_BYTES)
        (request,) = connection.requests
        assert not request.body_too_large

    run_connection(test, max_body_bytes=STREAM_FROM_BYTES)


class UploadServer:
    """Reads bodies and records the bytes received on each connection."""

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


def run_with_server(server: UploadServer, test: Any) -> None:
    async def serve() -> None:
        client = HttpClient(idle_s=5.0, max_idle=4)
        async with running_server(server.serve) as port:
            await test(client, port)
            client.close()

    run_with_timeout(serve)


@pytest.mark.parametrize("length", [None, 7 * len(PART) + 3])
def test_a_body_arrives_unchanged_and_the_connection_is_kept(
    length: int | None,
) -> None:
    server = UploadServer()

    async def test(client: HttpClient, port: int) -> None:
        for _ in range(2):
            upload = make_upload(length=length)
            sending = asyncio.ensure_future(send(client, port, upload))
            for _ in range(7):
                upload.on_data(PART)
                await asyncio.sleep(0.001)
            upload.on_data(b"END")
            upload.on_end()
            assert await (await sending).read() == b"ok"
            await asyncio.sleep(0.02)
        assert client.opened == 1
        (data_received,) = server.received
        head = b"transfer-encoding: chunked" if length is None else b"content-length"
        assert data_received.count(head) == 2
        assert data_received.count(b"x") == 2 * 7 * len(PART)

    run_with_server(server, test)


def test_an_answer_before_the_end_of_the_body_prevents_reuse() -> None:
    server = UploadServer(answer_after_bytes=20_000)

    async def test(client: HttpClient, port: int) -> None:
        upload = make_upload(length=8 * len(PART))
        upload.on_data(PART * 2)
        response = await send(client, port, upload)
        assert await response.read() == b"ok"
        # The rest of the body must not reach the next request.
        upload.on_data(PART * 6)
        upload.on_end()
        response = await client.request(
            ("127.0.0.1", port), "POST", "/v", body=PART * 2, connect_timeout_s=1.0
        )
        assert client.opened == 2 and server.ended[0]
        assert server.received[0].count(b"HTTP/1.1") == 1

    run_with_server(server, test)


@pytest.mark.parametrize("end", ["cut", "short", "long"])
def test_a_truncated_or_overlong_body_never_looks_complete(end: str) -> None:
    server = UploadServer()

    async def test(client: HttpClient, port: int) -> None:
        upload = make_upload(length=8 * len(PART))
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

    run_with_server(server, test)
