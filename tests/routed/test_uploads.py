"""Streaming of large request bodies to upstreams."""

import asyncio

import pytest

from borageramp_entry._internal.border.connection import (
    MAX_DROPPED_BYTES,
    REST_TIMEOUT_S,
    STREAM_FROM_BYTES,
)
from borageramp_entry._internal.border.uploads import MAX_HELD_BYTES, Upload
from borageramp_entry._internal.serving.requests import BodyCutError
from tests.lib.connections import CallerConnection, run_connection
from tests.lib.uploads import make_upload, run_with_timeout

PART = b"x" * 16_384
SMALL_BODY = b"y" * 1000


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
        assert upload.repeatable and await upload.read(1) == b"bcd"

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


# Guards against a caller that sends without end after its last answer.
def test_what_arrives_after_the_last_answer_is_limited() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(10 * MAX_DROPPED_BYTES))
        connection.requests[0].answer(413, (), b"too large")
        for _ in range(MAX_DROPPED_BYTES // len(PART)):
            await connection.send(PART)
        assert not connection.transport.aborted
        await connection.send(PART)
        assert connection.transport.aborted

    run_connection(test, answers=False, max_body_bytes=200_000)


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


# Guards against a request that waits until its deadline for a body that can't come.
def test_an_upload_that_becomes_malformed_is_cut() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(b"POST /u HTTP/1.1\r\nHost: a\r\n")
        await connection.send(b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(5):
            await connection.send(b"%x\r\n%b\r\n" % (len(PART), PART))
        await connection.send(b"no size\r\n")
        (request,) = connection.requests
        assert request.upload is not None
        with pytest.raises(BodyCutError):
            await request.upload.read(5 * len(PART))
        request.answer(502, (), b"cut")
        assert connection.transport.ended and b"connection: close" in connection.answer

    run_connection(test, answers=False)


def test_a_body_of_the_maximum_size_is_accepted() -> None:
    async def test(connection: CallerConnection) -> None:
        await connection.send(head(STREAM_FROM_BYTES))
        await connection.send(b"x" * STREAM_FROM_BYTES)
        (request,) = connection.requests
        assert not request.body_too_large

    run_connection(test, max_body_bytes=STREAM_FROM_BYTES)
