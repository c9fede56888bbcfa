"""Sending of large request bodies to upstreams while they arrive."""

import asyncio
from typing import Any

import pytest

from borageramp_entry._internal.border.uploads import Upload
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry.routed import BrokenExchangeError, HttpClient
from tests.lib.stream_server import running_server
from tests.lib.uploads import make_upload, run_with_timeout

PART = b"x" * 16_384


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
