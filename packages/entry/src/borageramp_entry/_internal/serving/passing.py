"""A request on its way between two entries."""

from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_wire import peer_pb2

__all__ = ["pack_request", "unpack_request"]

MS_PER_S = 1000


def pack_request(
    request: CallerRequest,
    *,
    purpose: str,
    owner: str,
    excluded: frozenset[str] = frozenset(),
    now_s: float,
) -> peer_pb2.ExecuteRequest:
    """Return the message that passes a request on.

    Parameters
    ----------
    request : CallerRequest
        The request.
    purpose : str
        ``claim``, ``warm_up`` or ``suspect``.
    owner : str
        Incarnation of the peer.
    excluded : frozenset of str
        Upstreams that have already failed it.
    now_s : float
        Present time of this entry.
    """
    left_s = request.deadline_s - now_s
    return peer_pb2.ExecuteRequest(
        request_id=request.request_id,
        service=request.service,
        class_name=request.class_name,
        deadline_ms=max(0, int(left_s * MS_PER_S)),
        method=request.method,
        path=request.path,
        headers=[
            peer_pb2.Header(name=name, value=value) for name, value in request.headers
        ],
        body=request.body,
        key=request.key,
        caller_key=request.caller_key,
        purpose=purpose,
        owner=owner,
        excluded=sorted(excluded),
    )


def unpack_request(message: peer_pb2.ExecuteRequest, *, now_s: float) -> CallerRequest:
    """Return the request that a peer passed on.

    Parameters
    ----------
    message : ExecuteRequest
        The message.
    now_s : float
        Present time of this entry.
    """
    claim = message.purpose == "claim"
    return CallerRequest(
        request_id=message.request_id,
        service=message.service,
        class_name=message.class_name,
        deadline_s=now_s + message.deadline_ms / MS_PER_S,
        method=message.method,
        path=message.path,
        headers=tuple((h.name, h.value) for h in message.headers),
        body=message.body,
        key=message.key,
        caller_key=message.caller_key,
        owner=message.owner if claim else "",
        passed_on=not claim,
        excluded=frozenset(message.excluded),
    )
