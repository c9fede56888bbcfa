"""Keys of workspaces in the product's own interface."""

import hashlib

from twisted.web.server import Request

from borageramp_core import (
    CallerWorkspace,
    ConfigurationSnapshot,
    Reason,
    RefusedError,
    ServicePolicy,
    Verdict,
)
from borageramp_entry._internal.serving.requests import Headers

__all__ = ["identify", "name_workspace"]

KEY = "borageramp-workspace-key"
WORKSPACE = "borageramp-workspace"


def identify(
    request: Request, *, snapshot: ConfigurationSnapshot, policy: ServicePolicy
) -> CallerWorkspace | None:
    """Return the workspace of a request; ``None`` if it has none and needs none.

    Parameters
    ----------
    request : Request
        As received.
    snapshot : ConfigurationSnapshot
        Configuration in force.
    policy : ServicePolicy
        Settings of its service.

    Raises
    ------
    RefusedError
        If the service needs a key, and the request has not exactly one that is
        known.
    """
    if snapshot.keys is None:
        return None
    keys = request.requestHeaders.getRawHeaders(KEY.encode()) or []
    found, fault = None, "missing"
    if len(keys) > 1:
        fault = "repeated"
    elif keys and keys[0]:
        digest = hashlib.sha256(keys[0]).hexdigest()
        found, fault = snapshot.keys.find(digest.encode()), "unknown"
    if found is not None:
        return snapshot.workspaces[found]
    if policy.public:
        return None
    raise RefusedError(
        verdict=Verdict.NOT_RUN,
        reason=Reason.UNAUTHENTICATED,
        detail=f"the key of the workspace is {fault}",
        log_fields={"cause": fault, "revision": snapshot.revision},
    )


def name_workspace(headers: Headers, workspace: CallerWorkspace | None) -> Headers:
    """Return headers without keys, and with no other workspace than this one."""
    kept = tuple(h for h in headers if h[0].replace("_", "-") not in (KEY, WORKSPACE))
    if workspace is None:
        return kept
    return (*kept, (WORKSPACE, workspace.name.encode()))
