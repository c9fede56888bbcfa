"""A caller's request, and where its answer goes."""

from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "AnswerHead",
    "AnswerSink",
    "BodyCutError",
    "BodySource",
    "CallerRequest",
    "Headers",
]

Headers = tuple[tuple[str, bytes], ...]


class BodyCutError(Exception):
    """The rest of a request's body can't be read."""


class BodySource(Protocol):
    """The body of a request that may still be arriving.

    Attributes
    ----------
    length : int or None
        Its length in bytes; ``None`` if that is not known.
    """

    length: int | None

    @property
    def repeatable(self) -> bool:
        """Whether it can still be read from its start."""

    async def read(self, offset: int) -> bytes:
        """Return the next part from an offset on; empty at the end.

        Raises
        ------
        BodyCutError
            If that part can't be read.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """A request that passed the checks at the border.

    Attributes
    ----------
    request_id : str
        Identifier for logs and explanations.
    service, class_name : str
        Service asked for, and class of the request.
    deadline_s : float
        Time at which the caller gives up.
    method, path : str
        HTTP method, and path with its query.
    headers : tuple of (str, bytes)
        Headers for the upstream.
    body : bytes
        The whole body, or its first part if there is an ``upload``.
    upload : BodySource or None
        The whole body while it arrives, if it is large.
    key : str
        Key that decides on the request; empty if it has none.
    caller_key : str
        Key as the caller gave it, for the upstream.
    issued_ms : int or None
        Time of issue of a plain key, in milliseconds since the epoch.
    owner : str
        Incarnation that a peer took this entry to answer for; empty if the
        request came from a caller.
    passed_on : bool
        Whether a peer passed it on.
    excluded : frozenset of str
        Upstreams that failed it at that peer.
    """

    request_id: str
    service: str
    class_name: str
    deadline_s: float
    method: str
    path: str
    headers: Headers
    body: bytes
    upload: BodySource | None = None
    key: str = ""
    caller_key: str = ""
    issued_ms: int | None = None
    owner: str = ""
    passed_on: bool = False
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, bytes)
        Headers of the answer.
    """

    status: int
    headers: Headers


class AnswerSink(Protocol):
    """Where an answer goes."""

    def start(self, head: AnswerHead) -> None:
        """Begin the answer; nothing is retried after this."""

    async def write(self, chunk: bytes) -> None:
        """Pass a part on; waits while the reader is slow."""

    def finish(self) -> None:
        """End a whole answer."""

    def abort(self) -> None:
        """End an answer that was cut short, so that the reader notices."""
