"""What an adapter gives to an entry, so that it can run on a platform."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from borageramp_core import RefusedError
from borageramp_core.routing import StateItem
from borageramp_entry._internal.serving.dialect import UpstreamDialect
from borageramp_entry._internal.serving.requests import Headers
from borageramp_entry._internal.store.base import Item, Store
from borageramp_settings import RoutedSettings

__all__ = [
    "CallerDialect",
    "RequestMetadata",
    "DirectoryDialect",
    "Platform",
    "RefusalResponse",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """What a caller says of its request, besides the request itself.

    Attributes
    ----------
    request_id : str
        Identifier; empty if it gives none.
    deadline_s : float or None
        Seconds for which it waits; ``None`` if it doesn't say.
    error : str
        What is wrong with the terms; empty if nothing is.
    """

    request_id: str
    deadline_s: float | None
    error: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalResponse:
    """A refusal as callers understand it.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, bytes)
        Headers of the answer.
    body : bytes
        The body.
    """

    status: int
    headers: Headers
    body: bytes


class CallerDialect(Protocol):
    """The headers that callers send and understand."""

    def read_metadata(self, headers: Headers) -> RequestMetadata:
        """Read the terms of a request."""

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the headers of a request that go to the upstream."""

    def refusal_response(
        self, error: RefusedError, *, request_id: str
    ) -> RefusalResponse:
        """Return the answer for a refusal."""


class DirectoryDialect(Protocol):
    """How callers ask for addresses, and checks for readiness."""

    addresses_path: bytes
    ready_path: bytes

    def encode_addresses(self, addresses: Collection[str], *, ttl_s: float) -> bytes:
        """Return the body of an answer."""


class Platform(Protocol):
    """Everything that differs between platforms.

    Attributes
    ----------
    upstreams, callers, directory
        How messages to and from these are written.
    watched_prefix : str
        Keys of the store that an entry follows.
    """

    upstreams: UpstreamDialect
    callers: CallerDialect
    directory: DirectoryDialect
    watched_prefix: str

    def load_settings(self) -> RoutedSettings:
        """Read the settings of this process anew."""

    def open_store(self, settings: RoutedSettings) -> Store:
        """Return a client of the platform's store."""

    def read_item(self, item: Item) -> StateItem | None:
        """Read an item of the store; ``None`` if it is of no interest."""
