"""Connections of a site on twisted.web at the end of a planned stop."""

from typing import Any

import pytest
from twisted.internet.testing import StringTransport
from twisted.web.resource import Resource

from borageramp_entry._internal.border.http import DrainingSite

REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"


class AnswerResource(Resource):
    isLeaf = True

    def render(self, request: Any) -> bytes:
        return b"answer"


class SlowTransport(StringTransport):
    """A transport that stays open until a test says that all of it was sent."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing."""

    def loseConnection(self) -> None:
        """Keep the connection until :meth:`on_sent`."""
        self.disconnecting = True

    def on_sent(self) -> None:
        """End the connection as its transport does once all was sent."""
        self.connected = False


@pytest.fixture
def connection() -> tuple[DrainingSite, Any, SlowTransport]:
    site = DrainingSite(AnswerResource())
    channel: Any = site.buildProtocol(None)
    transport = SlowTransport()
    channel.makeConnection(transport)
    channel.callLater = lambda *_, **__: None
    return site, channel, transport


# Guards against a planned stop that ends while answers are being sent.
def test_a_connection_is_left_until_its_answer_was_sent(
    connection: tuple[DrainingSite, Any, SlowTransport],
) -> None:
    site, channel, transport = connection
    channel.dataReceived(REQUEST)
    assert transport.value().endswith(b"answer")
    assert site.close_idle() == 1
    assert transport.disconnecting
    transport.on_sent()
    assert site.close_idle() == 0
