"""Links between processes under test, and how they are cut."""

import asyncio
import os
import socket
import time
from collections.abc import Iterator

import pytest

from borageramp_bench import links as links_module
from borageramp_bench.links import Links

CONNECT_S = 0.3


@pytest.fixture
def links() -> Iterator[Links]:
    links = Links()
    links.add_source("here", os.getpid)
    try:
        yield links
    finally:
        links.close()


@pytest.fixture
def server() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


def is_open(connection: socket.socket, *, for_s: float) -> bool:
    """Return whether a connection stays open for a time."""
    connection.settimeout(for_s)
    try:
        return connection.recv(1) != b""
    except TimeoutError:
        return True
    except ConnectionError:
        return False


def test_a_connection_is_forwarded_until_its_link_is_cut(
    links: Links, server: socket.socket
) -> None:
    port = links.add("there", server.getsockname()[1])
    with socket.create_connection(("127.0.0.1", port)) as connection:
        assert is_open(connection, for_s=0.1)
        links.cut("here", "there")
        assert not is_open(connection, for_s=2.0)


# Guards against a connection that outlives a cut, as it was being made at that moment.
def test_a_connection_that_is_being_made_is_cut_too(
    links: Links, server: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = asyncio.open_connection

    async def connect_slowly(host: str, port: int) -> object:
        await asyncio.sleep(CONNECT_S)
        return await connect(host, port)

    monkeypatch.setattr(links_module.asyncio, "open_connection", connect_slowly)
    port = links.add("there", server.getsockname()[1])
    with socket.create_connection(("127.0.0.1", port)) as connection:
        time.sleep(CONNECT_S / 3)
        links.cut("here", "there")
        assert not is_open(connection, for_s=2.0)
