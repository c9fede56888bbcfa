"""How requests and answers are written for upstreams."""

from dataclasses import dataclass
from typing import Protocol

from borageramp_core import LoadReport, Notice, Upstream
from borageramp_entry._internal.serving.reports import parse_report
from borageramp_entry._internal.serving.requests import (
    AnswerHead,
    CallerRequest,
    Headers,
)

__all__ = [
    "HOP_BY_HOP",
    "EntryDialect",
    "HeadOfAnswer",
    "UpstreamDialect",
    "pass_headers",
]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SHED_HEADER = "borageramp-shed"
SHED_MARK = b"not-run"
STATUS_UNAVAILABLE = 503
_OWN = HOP_BY_HOP | {"borageramp-request-id", "borageramp-deadline-ms"}


@dataclass(frozen=True, kw_only=True, slots=True)
class HeadOfAnswer:
    """Status and headers of an upstream's answer, and what they say.

    Attributes
    ----------
    head : AnswerHead
        Status and headers for the caller.
    report : LoadReport or None
        What the upstream said of itself.
    not_run : bool
        Whether the upstream said that it did not run the request.
    foreign : bool
        Whether the answer names another request.
    notice : Notice
        What the upstream asks for.
    """

    head: AnswerHead
    report: LoadReport | None = None
    not_run: bool = False
    foreign: bool = False
    notice: Notice = Notice()


class UpstreamDialect(Protocol):
    """The headers that upstreams understand and send."""

    def request_headers(
        self, request: CallerRequest, *, upstream: Upstream, deadline_ms: int
    ) -> Headers:
        """Return the headers of a request."""

    def read_head(
        self, status: int, headers: Headers, *, request_id: str
    ) -> HeadOfAnswer:
        """Read the head of an answer to a request."""


class EntryDialect:
    """The headers of this project's own interface."""

    def request_headers(
        self, request: CallerRequest, *, upstream: Upstream, deadline_ms: int
    ) -> Headers:
        """Return the headers of a request."""
        headers = [h for h in request.headers if h[0] not in _OWN]
        headers.append(("borageramp-request-id", request.request_id.encode()))
        headers.append(("borageramp-deadline-ms", b"%d" % max(1, deadline_ms)))
        if request.caller_key:
            headers.append(("idempotency-key", request.caller_key.encode()))
        return tuple(headers)

    def read_head(
        self, status: int, headers: Headers, *, request_id: str
    ) -> HeadOfAnswer:
        """Read the head of an answer to a request."""
        fields = dict(headers)
        load = fields.get("upstream-load")
        shed = fields.get(SHED_HEADER) == SHED_MARK
        passed = pass_headers(headers, but=HOP_BY_HOP | {"upstream-load"})
        return HeadOfAnswer(
            head=AnswerHead(status=status, headers=passed),
            report=parse_report(load.decode("latin-1")) if load else None,
            not_run=status == STATUS_UNAVAILABLE and shed,
        )


def pass_headers(headers: Headers, *, but: frozenset[str]) -> Headers:
    """Return headers to pass on, without those named."""
    return tuple(header for header in headers if header[0] not in but)
