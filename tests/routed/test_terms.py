"""What callers say of their requests, and what is refused for it."""

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
    named = {REQUEST_ID: b"1", **{k.replace("_", "-"): v for k, v in headers.items()}}
    request.headers = (("host", b"a.example"), *named.items())
    return request


def refusal_of(request: HttpRequest) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        make_handler().build_routed_request(request, arrived_at_s=NOW_S)
    return caught.value


@pytest.mark.parametrize(
    "text", [b"nan", b"-5", b"", b"1e3", b"soon", b"inf", b"1.5.2"]
)
def test_a_deadline_that_is_no_time_is_refused(text: bytes) -> None:
    error = refusal_of(make_request(**{DEADLINE: text}))
    assert error.reason is Reason.BAD_REQUEST
    assert Callers().refusal_response(error, request_id="1").status == 400


@pytest.mark.parametrize(("text", "left_s"), [(b"500", 0.5), (b"250.5", 0.2505)])
def test_a_deadline_is_the_callers_if_it_is_earlier(text: bytes, left_s: float) -> None:
    routed = make_handler().build_routed_request(
        make_request(**{DEADLINE: text}), arrived_at_s=NOW_S
    )
    assert routed.caller.deadline_s == pytest.approx(NOW_S + left_s)
    assert routed.caller_timeout_s == pytest.approx(left_s)


def test_without_a_deadline_the_route_has_one() -> None:
    routed = make_handler().build_routed_request(make_request(), arrived_at_s=NOW_S)
    assert routed.caller.deadline_s == NOW_S + routed.route.timeout_s
    assert routed.caller_timeout_s is None


def test_a_body_that_did_not_come_was_not_run() -> None:
    request = make_request()
    request.body_late = True
    error = refusal_of(request)
    assert error.reason is Reason.BODY_LATE
    assert Callers().refusal_response(error, request_id="1").status == 408


def test_a_body_that_is_too_large_is_said_to_be() -> None:
    request = make_request()
    request.body_too_large = True
    assert Callers().refusal_response(refusal_of(request), request_id="1").status == 413
