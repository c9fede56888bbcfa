"""What a caller's malformed request is told."""

import io

import pytest
from twisted.web.test.requesthelper import DummyChannel

from borageramp_core import ConfigurationSnapshot, Reason, RefusedError, Verdict
from borageramp_entry._internal.border.http import BoundedRequest
from borageramp_entry._internal.border.parsing import parse_request
from tests.lib.builders import make_service, make_snapshot, make_upstream

SNAPSHOT = make_snapshot(
    make_service(make_upstream(), name="referrals", idempotent=False)
)


def make_request(**headers: str) -> BoundedRequest:
    request = BoundedRequest(DummyChannel(), False)
    request.method, request.uri = b"POST", b"/x"
    request.content = io.BytesIO()
    for name, value in headers.items():
        request.requestHeaders.setRawHeaders(name.replace("_", "-"), [value])
    return request


def refusal(
    request: BoundedRequest, snapshot: ConfigurationSnapshot = SNAPSHOT
) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        parse_request(request, request_id="r", snapshot=snapshot, now_s=0.0)
    return caught.value


def test_entry_without_configuration_does_not_call_a_service_unknown() -> None:
    error = refusal(
        make_request(borageramp_service="referrals"), ConfigurationSnapshot()
    )
    assert (error.reason, error.verdict) == (Reason.NOT_SERVING, Verdict.NOT_RUN)
    assert error.retry_after_s


@pytest.mark.parametrize(
    "headers",
    [
        {"borageramp_service": "gone"},
        {"borageramp_service": ""},
        {"borageramp_service": "referrals", "borageramp_class": "royal"},
        {"borageramp_service": "referrals", "borageramp_deadline_ms": "x"},
    ],
)
def test_refusal_before_the_key_is_checked_does_not_say_not_run(
    headers: dict[str, str],
) -> None:
    error = refusal(make_request(idempotency_key="b1.e-1.1.x", **headers))
    assert error.verdict is Verdict.MAY_HAVE_RUN
    assert refusal(make_request(**headers)).verdict is Verdict.NOT_RUN


def test_malformed_key_cannot_have_run() -> None:
    request = make_request(borageramp_service="referrals", idempotency_key="a b")
    assert refusal(request).verdict is Verdict.NOT_RUN


def test_deadline_is_capped() -> None:
    request = make_request(
        borageramp_service="referrals",
        idempotency_key="b1.e-1.1.x",
        borageramp_deadline_ms="999999999",
    )
    parsed = parse_request(request, request_id="r", snapshot=SNAPSHOT, now_s=0.0)
    assert parsed.request.deadline_s == parsed.policy.max_deadline_s
