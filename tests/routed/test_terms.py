"""Deadlines and bodies of caller requests, and refusals of invalid ones."""

import random
from typing import Any

import pytest

from borageramp_core import Reason, RefusedError
from borageramp_core.routing import FleetState
from borageramp_entry._internal.border.http_request import HttpRequest
from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler
from borageramp_platform.messages import DEADLINE, REQUEST_ID, Callers
from tests.lib.routed import make_config

NOW_S = 100.0


def make_handler() -> CallerRequestHandler:
    fleet_state = FleetState()
    fleet_state.put("op/config", make_config())
    dispatcher: Any = None
    return CallerRequestHandler(
        fleet_state=fleet_state,
        dispatcher=dispatcher,
        dialect=Callers(),
        is_stopping=lambda: False,
        rng=random.Random(1),
        clock=lambda: NOW_S,
    )


def make_request(**headers: bytes) -> HttpRequest:
    channel: Any = None
    request = HttpRequest(channel, method="GET", target="/x")
    named_headers = {
        REQUEST_ID: b"1",
        **{k.replace("_", "-"): v for k, v in headers.items()},
    }
    request.headers = (("host", b"a.example"), *named_headers.items())
    return request


def build_refusal(request: HttpRequest) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        make_handler().build_routed_request(request, arrived_at_s=NOW_S)
    return caught.value


@pytest.mark.parametrize(
    "text", [b"nan", b"-5", b"", b"1e3", b"soon", b"inf", b"1.5.2"]
)
def test_an_invalid_deadline_is_refused(text: bytes) -> None:
    error = build_refusal(make_request(**{DEADLINE: text}))
    assert error.reason is Reason.BAD_REQUEST
    assert Callers().refusal_response(error, request_id="1").status == 400


@pytest.mark.parametrize(("text", "left_s"), [(b"500", 0.5), (b"250.5", 0.2505)])
def test_an_earlier_deadline_of_the_caller_is_used(text: bytes, left_s: float) -> None:
    routed = make_handler().build_routed_request(
        make_request(**{DEADLINE: text}), arrived_at_s=NOW_S
    )
    assert routed.caller.deadline_s == pytest.approx(NOW_S + left_s)
    assert routed.caller_timeout_s == pytest.approx(left_s)


def test_without_a_deadline_the_timeout_of_the_route_is_used() -> None:
    routed = make_handler().build_routed_request(make_request(), arrived_at_s=NOW_S)
    assert routed.caller.deadline_s == NOW_S + routed.route.timeout_s
    assert routed.caller_timeout_s is None


def test_a_late_body_is_refused_with_408() -> None:
    request = make_request()
    request.body_late = True
    error = build_refusal(request)
    assert error.reason is Reason.BODY_LATE
    assert Callers().refusal_response(error, request_id="1").status == 408


def test_a_body_that_is_too_large_is_refused_with_413() -> None:
    request = make_request()
    request.body_too_large = True
    assert (
        Callers().refusal_response(build_refusal(request), request_id="1").status == 413
    )
