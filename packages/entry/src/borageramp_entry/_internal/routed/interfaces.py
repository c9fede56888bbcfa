"""Interfaces that a platform adapter implements."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from borageramp_core import RefusedError
from borageramp_core.routing import RolloutRecord, StateItem
from borageramp_entry._internal.serving.dialect import UpstreamDialect
from borageramp_entry._internal.serving.requests import Headers
from borageramp_entry._internal.store.base import Item, Put, Store
from borageramp_settings import RoutedSettings

__all__ = [
    "CallerDialect",
    "RequestMetadata",
    "DirectoryDialect",
    "Platform",
    "RefusalResponse",
    "WorkspaceDialect",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestMetadata:
    """Metadata that a caller sends in the headers of a request.

    Attributes
    ----------
    request_id : str
        Request identifier; empty if the caller sends none.
    deadline_s : float or None
        Seconds for which the caller waits; ``None`` if it sends no deadline.
    error : str
        Description of invalid metadata; empty if it is valid.
    """

    request_id: str
    deadline_s: float | None
    error: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusalResponse:
    """HTTP response for a refused request.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, bytes)
        Response headers.
    body : bytes
        Response body.
    """

    status: int
    headers: Headers
    body: bytes


class WorkspaceDialect(Protocol):
    """Headers with the key of a caller's workspace, and with its name."""

    def read_keys(self, headers: Headers) -> tuple[bytes, ...]:
        """Return the values of the headers with a key, in their order."""

    def drop_keys(self, headers: Headers) -> Headers:
        """Return the headers without keys, and without names that may pass for them."""

    def set_workspace(self, headers: Headers, name: str) -> Headers:
        """Return the headers with the name of the workspace in place of any other.

        An empty name stands for no workspace.
        """


class CallerDialect(WorkspaceDialect, Protocol):
    """Reads and writes the headers that callers use."""

    def read_metadata(self, headers: Headers) -> RequestMetadata:
        """Parse the metadata of a request."""

    def forwarded_headers(self, headers: Headers) -> Headers:
        """Return the request headers that are forwarded to the upstream."""

    def refusal_response(
        self, error: RefusedError, *, request_id: str
    ) -> RefusalResponse:
        """Return the HTTP response for a refused request."""


class DirectoryDialect(Protocol):
    """Paths and response format of the address directory and readiness check."""

    addresses_path: bytes
    ready_path: bytes

    def encode_addresses(self, addresses: Collection[str], *, ttl_s: float) -> bytes:
        """Return the response body for a list of addresses."""


class Platform(Protocol):
    """Platform-specific parts of an entry.

    Attributes
    ----------
    upstreams, callers, directory
        Message formats for upstreams, callers and the address directory.
    watched_prefix : str
        Prefix of the store keys that an entry watches.
    """

    upstreams: UpstreamDialect
    callers: CallerDialect
    directory: DirectoryDialect
    watched_prefix: str

    def load_settings(self) -> RoutedSettings:
        """Load the current settings of this process."""

    def open_store(self, settings: RoutedSettings) -> Store:
        """Return a client for the platform's store."""

    def read_item(self, item: Item) -> StateItem | None:
        """Parse an item of the store; return ``None`` if an entry doesn't use it."""

    def encode_rollout_status(self, record: RolloutRecord) -> Put:
        """Return the write of the public status of a rollout."""
