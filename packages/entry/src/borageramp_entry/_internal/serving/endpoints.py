"""Where connections to upstreams go: addresses by IP number, never names."""

from typing import Any

from twisted.internet import defer
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from borageramp_core import Upstream

__all__ = ["EndpointFactory", "upstream_url"]


def upstream_url(upstream: Upstream, path: str) -> bytes:
    """Return the URL of a path at an upstream."""
    host = f"[{upstream.host}]" if ":" in upstream.host else upstream.host
    return f"http://{host}:{upstream.port}{path}".encode()


@implementer(IStreamClientEndpoint)
class _NoDelayEndpoint:
    """An endpoint whose connections send small requests at once."""

    def __init__(self, endpoint: TCP4ClientEndpoint | TCP6ClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> "defer.Deferred[Any]":
        connected = self._endpoint.connect(factory)
        return connected.addCallback(_set_no_delay)


def _set_no_delay(connection: Any) -> Any:
    connection.transport.setTcpNoDelay(True)
    return connection


@implementer(IAgentEndpointFactory)
class EndpointFactory:
    """Makes the endpoints of upstreams.

    Twisted's own would ask a pool of threads to resolve each address.

    Parameters
    ----------
    reactor : object
        The running reactor.
    connect_timeout_s : float
        Time for opening a connection.
    """

    def __init__(self, *, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> _NoDelayEndpoint:
        """Return the endpoint of a URL, as the interface of Twisted asks."""
        host = uri.host.decode()
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = kind(self._reactor, host, uri.port, timeout=self._connect_timeout_s)
        return _NoDelayEndpoint(endpoint)
