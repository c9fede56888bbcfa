"""A request that is passed on is the same request at the other entry."""

from borageramp_entry._internal.serving.passing import pack_request, unpack_request
from borageramp_entry._internal.serving.requests import CallerRequest


def make_request(**fields: object) -> CallerRequest:
    """Return a keyed request with 2 seconds left at time 10."""
    values: dict[str, object] = {
        "request_id": "r1",
        "service": "records",
        "class_name": "urgent",
        "deadline_s": 12.0,
        "method": "POST",
        "path": "/a?b=c",
        "headers": (("accept", b"*/*"),),
        "body": b"body",
        "key": "k1",
        "caller_key": "k1",
        **fields,
    }
    return CallerRequest(**values)  # type: ignore[arg-type]


def pass_on(request: CallerRequest, *, purpose: str) -> CallerRequest:
    """Return what a peer, whose clock shows 100, takes a request for."""
    message = pack_request(
        request,
        purpose=purpose,
        owner="peer-1",
        excluded=frozenset({"records/u1", "records/u2"}),
        now_s=10.0,
    )
    return unpack_request(
        type(message).FromString(message.SerializeToString()), now_s=100.0
    )


def test_suspect_is_not_tried_again_where_it_failed() -> None:
    taken = pass_on(make_request(), purpose="suspect")
    assert taken.excluded == {"records/u1", "records/u2"}
    assert taken.passed_on and taken.owner == ""


def test_claim_goes_through_whole_and_keeps_the_time_left() -> None:
    taken = pass_on(make_request(), purpose="claim")
    expected = make_request(
        deadline_s=102.0,
        owner="peer-1",
        excluded=frozenset({"records/u1", "records/u2"}),
    )
    assert taken == expected
