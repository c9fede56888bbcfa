"""HTTP resources for addresses, readiness, metrics and store changes."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from borageramp_core import HistoryLostError
from borageramp_core.routing import sample_instances
from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.routed.change_source import (
    ChangeSource,
    RelayUnavailableError,
)
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.routed.interfaces import DirectoryDialect
from borageramp_entry._internal.routed.relay_messages import (
    CHANGES_PATH,
    decode_query,
    encode_state,
)
from borageramp_entry._internal.serving.requests import Headers

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics

__all__ = [
    "ChangesResource",
    "DirectoryResource",
    "MetricsResource",
    "ReadinessResource",
]

MAX_ADDRESSES = 64
# Upper limit on the long poll of another instance.
MAX_CHANGES_WAIT_S = 5.0

# None of these resources uses a request body.
BODY_TIMEOUT_S = 2.0
JSON_CONTENT_TYPE = b"application/json"


def _send(
    request: HttpRequest,
    status: int,
    body: bytes,
    content_type: bytes,
    headers: Headers = (),
) -> None:
    request.answer(status, (("content-type", content_type), *headers), body)


class _Resource:
    """Base class of the HTTP resources."""

    def body_timeout_s(self, request: HttpRequest) -> float:
        """Return the timeout for receiving the body of a request."""
        return BODY_TIMEOUT_S

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return whether a request may run while others of its connection do."""
        return False


class DirectoryResource(_Resource):
    """Serves the addresses of instances that accept callers.

    Parameters
    ----------
    instances : InstanceDirectory
        Known instances of the fleet.
    ready : callable
        Returns whether this instance accepts callers.
    has_config : callable
        Returns whether a configuration has been received.
    dialect : DirectoryDialect
        Path and format of the responses.
    ttl_s : callable
        Returns the time in seconds for which callers may cache a response.
    rng : random.Random
        Random number generator for the selection of addresses.
    weighted : bool, optional
        Whether answers of small fleets also name larger machines more often.
    """

    def __init__(
        self,
        *,
        instances: InstanceDirectory,
        ready: Callable[[], bool],
        has_config: Callable[[], bool],
        dialect: DirectoryDialect,
        ttl_s: Callable[[], float],
        rng: random.Random,
        weighted: bool = False,
    ) -> None:
        self._weighted = weighted
        self._instances = instances
        self._ready = ready
        self._has_config = has_config
        self._dialect = dialect
        self._ttl_s = ttl_s
        self._rng = rng

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        if request.path.encode() != self._dialect.addresses_path:
            _send(request, 404, b"{}", JSON_CONTENT_TYPE)
            return
        if not self._has_config():
            # Other listed instances may not have a configuration yet either.
            _send(request, 503, b"{}", JSON_CONTENT_TYPE)
            return
        usable = self._instances.usable(own_ready=self._ready())
        if not usable:
            _send(request, 503, b"{}", JSON_CONTENT_TYPE)
            return
        named = sample_instances(
            usable, max_count=MAX_ADDRESSES, weighted=self._weighted, rng=self._rng
        )
        addresses = [i.caller_address for i in named]
        body = self._dialect.encode_addresses(addresses, ttl_s=self._ttl_s())
        _send(request, 200, body, JSON_CONTENT_TYPE)


class ReadinessResource(_Resource):
    """Serves the readiness check.

    Parameters
    ----------
    ready : callable
        Returns whether this instance accepts callers.
    path : bytes
        Path of the readiness check.
    """

    def __init__(self, *, ready: Callable[[], bool], path: bytes) -> None:
        self._ready = ready
        self._path = path

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        status = 200 if self._ready() else 503
        if request.path.encode() != self._path:
            status = 404
        _send(request, status, b"{}", JSON_CONTENT_TYPE)


class MetricsResource(_Resource):
    """Serves the metrics in Prometheus text format.

    Parameters
    ----------
    metrics : Metrics
        Metrics of this instance.
    """

    def __init__(self, *, metrics: "Metrics") -> None:
        self._metrics = metrics

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        _send(request, 200, self._metrics.text(), b"text/plain; version=0.0.4")


class ChangesResource(_Resource):
    """Serves store changes to instances that use this one as a relay.

    Parameters
    ----------
    source : ChangeSource
        Provides the changes.
    """

    def __init__(self, *, source: ChangeSource) -> None:
        self._source = source

    async def serve(self, request: HttpRequest) -> None:
        """Handle a request and send its response."""
        status, body = await self._read_changes(request)
        headers = encode_state(self._source.relay_state)
        _send(request, status, body, b"application/octet-stream", headers)

    async def _read_changes(self, request: HttpRequest) -> tuple[int, bytes]:
        if request.path != CHANGES_PATH:
            return 404, b"{}"
        args = parse_qs(request.target.partition("?")[2])
        own_era = self._source.relay_state.era or 0
        try:
            after, wait_s = decode_query(args, own_era=own_era)
        except (KeyError, ValueError):
            return 400, b"{}"
        try:
            changes = await self._source.wait_for_changes(
                after=after, wait_s=min(MAX_CHANGES_WAIT_S, wait_s)
            )
        except RelayUnavailableError:
            return 503, b"{}"
        except HistoryLostError:
            return 410, b"{}"
        return 200, changes
