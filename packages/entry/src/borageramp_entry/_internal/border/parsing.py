"""Checks of a caller's request."""

import re
import uuid
from dataclasses import dataclass

from twisted.web.server import Request

from borageramp_core import (
    CallerWorkspace,
    ConfigurationSnapshot,
    Reason,
    RefusedError,
    ServicePolicy,
    Verdict,
)
from borageramp_entry._internal.border.http import BoundedRequest
from borageramp_entry._internal.border.workspaces import identify, name_workspace
from borageramp_entry._internal.serving.requests import CallerRequest, Headers

__all__ = ["ParsedRequest", "parse_request", "request_id_of"]

_TOKEN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
_KEY = re.compile(r"[\x21-\x7e]{1,255}")
MS_PER_S = 1000
RETRY_AFTER_S = 0.5
# Headers that belong to this hop.
_OWN_HEADERS = frozenset(
    {
        "host",
        "borageramp-service",
        "borageramp-deadline-ms",
        "borageramp-request-id",
        "idempotency-key",
        "idempotency-key-issued-ms",
        "expect",
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class ParsedRequest:
    """A checked request with the settings that hold for it.

    Attributes
    ----------
    request : CallerRequest
        The request.
    policy : ServicePolicy
        Settings of its service.
    workspace : str
        Workspace of the caller; empty if it has none.
    """

    request: CallerRequest
    policy: ServicePolicy
    workspace: str = ""


def bad_request(detail: str) -> RefusedError:
    """Return the refusal of a malformed request."""
    return RefusedError(
        verdict=Verdict.NOT_RUN, reason=Reason.BAD_REQUEST, detail=detail
    )


def request_id_of(request: Request) -> str:
    """Return the caller's request identifier, or a new one."""
    given = request.getHeader("borageramp-request-id") or ""
    return given if _TOKEN.fullmatch(given) else uuid.uuid4().hex


def parse_request(
    request: BoundedRequest,
    *,
    request_id: str,
    snapshot: ConfigurationSnapshot,
    now_s: float,
) -> ParsedRequest:
    """Check a caller's request.

    Parameters
    ----------
    request : BoundedRequest
        As received.
    request_id : str
        Its identifier.
    snapshot : ConfigurationSnapshot
        Configuration in force.
    now_s : float
        Present time.

    Raises
    ------
    RefusedError
        If it is malformed, too large, for an unknown service, or has no key of a
        workspace that it needs, or if there is no configuration yet. Of a request
        with an idempotency key an earlier try may have run, so its verdict is no
        better than ``MAY_HAVE_RUN``.
    """
    try:
        return _parse(request, request_id=request_id, snapshot=snapshot, now_s=now_s)
    except RefusedError as error:
        if _KEY.fullmatch(request.getHeader("idempotency-key") or ""):
            error.verdict = Verdict.MAY_HAVE_RUN
        raise


def _parse(
    request: BoundedRequest,
    *,
    request_id: str,
    snapshot: ConfigurationSnapshot,
    now_s: float,
) -> ParsedRequest:
    if snapshot.revision == 0:
        raise RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.NOT_SERVING,
            detail="this entry has no configuration yet",
            retry_after_s=RETRY_AFTER_S,
        )
    name = request.getHeader("borageramp-service") or ""
    if not name:
        raise bad_request("the header Borageramp-Service is missing")
    service = snapshot.services.get(name)
    if service is None:
        raise RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.UNKNOWN_SERVICE,
            detail=f"there is no service {name[:64]!r}",
        )
    policy = service.policy
    workspace = identify(request, snapshot=snapshot, policy=policy)
    headers = _headers(request)
    if snapshot.keys is not None:
        headers = name_workspace(headers, workspace)
    body = _body(request, policy)
    key = _key(request, policy)
    parsed = CallerRequest(
        request_id=request_id,
        service=name,
        class_name=_class_name(request, policy, workspace),
        deadline_s=now_s + _deadline_s(request, policy),
        method=request.method.decode("latin-1"),
        path=request.uri.decode("latin-1"),
        headers=headers,
        body=body,
        key=key,
        caller_key=key,
        issued_ms=_issued_ms(request) if key else None,
    )
    return ParsedRequest(
        request=parsed,
        policy=policy,
        workspace="" if workspace is None else workspace.name,
    )


def _body(request: BoundedRequest, policy: ServicePolicy) -> bytes:
    content = request.content
    body: bytes = content.read() if content is not None else b""
    if request.body_too_large or len(body) > policy.max_body_bytes:
        raise RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.BODY_TOO_LARGE,
            detail=f"the body is larger than {policy.max_body_bytes} bytes",
        )
    return body


def _deadline_s(request: Request, policy: ServicePolicy) -> float:
    given = request.getHeader("borageramp-deadline-ms")
    if given is None:
        return policy.default_deadline_s
    if not given.isascii() or not given.isdigit() or not 0 < int(given[:10]):
        raise bad_request("Borageramp-Deadline-Ms is not a positive whole number")
    return min(int(given[:10]) / MS_PER_S, policy.max_deadline_s)


def _class_name(
    request: Request, policy: ServicePolicy, workspace: CallerWorkspace | None
) -> str:
    own = None if workspace is None else workspace.class_name
    if own is not None and own in policy.class_weights:
        return own
    given = request.getHeader("borageramp-class")
    if given is None:
        return policy.default_class
    if given not in policy.class_weights:
        raise bad_request(f"there is no class {given[:64]!r}")
    return given


def _key(request: Request, policy: ServicePolicy) -> str:
    given = request.getHeader("idempotency-key") or ""
    if policy.idempotent:
        return ""
    if not given:
        raise RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.KEY_REQUIRED,
            detail="the service is not idempotent and needs Idempotency-Key",
        )
    if not _KEY.fullmatch(given):
        raise bad_request("Idempotency-Key is malformed")
    return given


def _issued_ms(request: Request) -> int | None:
    given = request.getHeader("idempotency-key-issued-ms")
    if given is None:
        return None
    if not given.isascii() or not given.isdigit() or len(given) > 15:
        raise bad_request("Idempotency-Key-Issued-Ms is not a whole number")
    return int(given)


def _headers(request: Request) -> Headers:
    return tuple(
        (name.decode("latin-1").lower(), value)
        for name, values in request.requestHeaders.getAllRawHeaders()
        if name.decode("latin-1").lower() not in _OWN_HEADERS
        for value in values
    )
