"""Limits on what callers may send, and how long they may take."""

from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from borageramp_core.routing import CallerLimits
from borageramp_entry._internal.routed.front import FrontSite

HEADER_TIMEOUT_S = 5.0
WHOLE = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled: bool) -> None:
        pass


class Empty(Resource):
    isLeaf = True

    def render(self, request: Any) -> bytes:
        return b""


class Connection:
    """A caller's connection to a site whose time is simulated."""

    def __init__(self) -> None:
        self.clock = Clock()
        site = FrontSite(Empty(), reactor=self.clock)
        site.limits = CallerLimits(
            header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=60.0
        )
        self.channel: Any = site.buildProtocol(None)
        self.transport = Transport()
        self.channel.makeConnection(self.transport)

    @property
    def answer(self) -> bytes:
        return self.transport.value()


@pytest.fixture
def connection() -> Connection:
    return Connection()


def test_a_header_section_that_does_not_end_is_refused(connection: Connection) -> None:
    connection.channel.dataReceived(b"GET / HTTP/1.1\r\n")
    # Whoever sends a little now and then is not idle.
    for _ in range(9):
        connection.clock.advance(HEADER_TIMEOUT_S / 10)
        connection.channel.dataReceived(b"X-Slow: 1\r\n")
    assert connection.answer == b""
    connection.clock.advance(HEADER_TIMEOUT_S / 5)
    assert connection.answer.startswith(b"HTTP/1.1 408 ")
    assert connection.transport.disconnecting


def test_half_of_a_first_line_is_refused_too(connection: Connection) -> None:
    connection.channel.dataReceived(b"GE")
    connection.clock.advance(HEADER_TIMEOUT_S + 0.1)
    assert connection.answer.startswith(b"HTTP/1.1 408 ")


def test_a_whole_header_section_needs_no_timer(connection: Connection) -> None:
    connection.channel.dataReceived(WHOLE)
    connection.clock.advance(HEADER_TIMEOUT_S + 0.1)
    assert b" 408 " not in connection.answer


def test_a_section_in_two_parts_ends_its_timer(connection: Connection) -> None:
    connection.channel.dataReceived(WHOLE[:20])
    connection.clock.advance(HEADER_TIMEOUT_S / 2)
    connection.channel.dataReceived(WHOLE[20:])
    connection.clock.advance(HEADER_TIMEOUT_S)
    assert b" 408 " not in connection.answer


def test_a_connection_without_a_request_may_stay_idle(connection: Connection) -> None:
    connection.channel.dataReceived(WHOLE)
    connection.clock.advance(HEADER_TIMEOUT_S * 5)
    assert not connection.transport.disconnecting


def test_the_end_of_a_connection_ends_its_timer(connection: Connection) -> None:
    connection.channel.dataReceived(b"GE")
    connection.channel.connectionLost()
    connection.clock.advance(HEADER_TIMEOUT_S + 0.1)
    assert connection.answer == b""
