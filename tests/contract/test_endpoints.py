"""Connections to upstreams go to IP numbers, of either version."""

import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.web.client import URI

from borageramp_entry._internal.serving.endpoints import EndpointFactory, upstream_url
from tests.lib.builders import make_upstream


@pytest.mark.parametrize(
    ("host", "url"),
    [
        ("127.0.0.1", b"http://127.0.0.1:1000/health"),
        ("::1", b"http://[::1]:1000/health"),
    ],
)
def test_upstream_is_reached_without_resolving_a_name(host: str, url: bytes) -> None:
    made = upstream_url(make_upstream(host=host), "/health")
    assert made == url
    reactor = MemoryReactorClock()
    # Nothing resolves a name in this reactor; connecting to one would not begin.
    factory = EndpointFactory(reactor=reactor, connect_timeout_s=1.0)
    factory.endpointForURI(URI.fromBytes(made)).connect(None)
    assert [(c[0], c[1]) for c in reactor.tcpClients] == [(host, 1000)]
