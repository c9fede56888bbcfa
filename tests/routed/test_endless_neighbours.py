"""What peers that send without end cost the requests of others, with a real entry."""

import asyncio
from pathlib import Path

import pytest

from tests.lib.endless_peers import (
    NEIGHBOUR_REQUESTS,
    EndlessMessage,
    running_neighbours,
)
from tests.lib.entry_process import peak_bytes

# Memory of the smallest machines.
MAX_PEAK_BYTES = 200_000_000
# Requests to the faulty service, and faulty callers, at the same time.
FAULTY_REQUESTS = 20
FAULTY_CALLERS = 4
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 8192
SMALL_HEADERS = b"a:b\r\n" * 8192

ANSWERS = {
    "chunks of one byte": EndlessMessage(start=CHUNKED, block=SMALL_CHUNKS),
    "small trailers": EndlessMessage(
        start=CHUNKED + LARGE_CHUNK * 40 + b"0\r\n", block=SMALL_HEADERS
    ),
    "one trailer": EndlessMessage(
        start=CHUNKED + LARGE_CHUNK * 40 + b"0\r\na:", block=b"b" * 65_536
    ),
    "trailers after one chunk": EndlessMessage(
        start=CHUNKED + b"1\r\nx\r\n0\r\n", block=SMALL_HEADERS
    ),
    "small headers": EndlessMessage(start=b"", block=SMALL_HEADERS),
    "one header": EndlessMessage(start=b"a:", block=b"b" * 65_536),
    "a long body": EndlessMessage(
        start=b"Content-Length: 100000000000\r\n\r\n", block=b"x" * 65_536
    ),
}
UPLOADS = {
    "chunks of one byte": EndlessMessage(start=CHUNKED, block=SMALL_CHUNKS),
    "small trailers": EndlessMessage(
        start=CHUNKED + LARGE_CHUNK * 4 + b"0\r\n", block=SMALL_HEADERS
    ),
    "one trailer": EndlessMessage(
        start=CHUNKED + LARGE_CHUNK * 4 + b"0\r\na:", block=b"b" * 65_536
    ),
    "small headers": EndlessMessage(start=b"", block=SMALL_HEADERS),
    "a chunk extension": EndlessMessage(start=CHUNKED + b"1;", block=b"x" * 65_536),
    "large chunks": EndlessMessage(start=CHUNKED, block=LARGE_CHUNK),
}


def check(
    folder: Path, message: EndlessMessage, *, requests: int, uploads: int
) -> None:
    """Check that others are served beside, and that the memory is bounded."""

    async def run() -> None:
        answers = message if requests else None
        async with running_neighbours(folder, answers) as neighbours:
            neighbours.start_requests(requests)
            neighbours.start_uploads(message, uploads)
            await asyncio.sleep(0.3)
            took_s = await neighbours.served()
            peak = peak_bytes(neighbours.instance)
            assert len(took_s) == NEIGHBOUR_REQUESTS
            assert peak < MAX_PEAK_BYTES

    asyncio.run(run())


# Guards against an upstream whose answers never end and cost other callers theirs.
@pytest.mark.parametrize("case", ANSWERS)
def test_others_are_served_beside_answers_without_end(
    tmp_path: Path, case: str
) -> None:
    check(tmp_path, ANSWERS[case], requests=FAULTY_REQUESTS, uploads=0)


# Guards against a caller whose requests never end and cost other callers theirs.
@pytest.mark.parametrize("case", UPLOADS)
def test_others_are_served_beside_requests_without_end(
    tmp_path: Path, case: str
) -> None:
    check(tmp_path, UPLOADS[case], requests=0, uploads=FAULTY_CALLERS)
