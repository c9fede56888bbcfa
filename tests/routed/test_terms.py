"""Deadlines and bodies of caller requests, and refusals of invalid ones."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest
from structlog.testing import capture_logs

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import FleetState
from borageramp_entry._internal.border.http_request import HttpRequest
from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler
from borageramp_platform.messages import DEADLINE, REQUEST_ID, Callers
from tests.lib.routed import make_config, make_pools, make_route
from tests.lib.uploads import make_upload

NOW_S = 100.0


def make_handler(
    *, stops_at_s: float = float("inf"), **route: Any
) -> CallerRequestHandler:
    fleet_state = FleetState()
    fleet_state.put("op/config", make_config(1, make_route(**route)))
    dispatcher: Any = SimpleNamespace(pools=make_pools())
    return CallerRequestHandler(
        fleet_state=fleet_state,
        dispatcher=dispatcher,
        dialect=Callers(),
        stops_at_s=lambda: stops_at_s,
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


# Guards against requests that are accepted late in a planned stop and cut at its end
# without an answer. The route's timeout is 1 s, its mean work 0.1 s.
def test_a_request_that_may_not_end_before_a_shutdown_is_refused() -> None:
    handler = make_handler(stops_at_s=NOW_S + 0.7)
    with pytest.raises(RefusedError) as caught:
        handler.build_routed_request(make_request(), arrived_at_s=NOW_S)
    assert caught.value.reason is Reason.LEAVING
    assert caught.value.verdict is Verdict.NOT_RUN
    response = Callers().refusal_response(caught.value, request_id="1")
    assert response.status == 503 and ("retry-after", b"0.000") in response.headers


def test_the_deadline_of_a_request_is_before_the_last_one_of_a_shutdown() -> None:
    handler = make_handler(stops_at_s=NOW_S + 0.85)
    routed = handler.build_routed_request(make_request(), arrived_at_s=NOW_S)
    assert routed.caller.deadline_s == NOW_S + 0.85


def test_a_request_whose_deadline_is_before_the_shutdown_is_accepted() -> None:
    handler = make_handler(stops_at_s=NOW_S + 0.3)
    request = make_request(**{DEADLINE: b"200"})
    routed = handler.build_routed_request(request, arrived_at_s=NOW_S)
    assert routed.caller.deadline_s == pytest.approx(NOW_S + 0.2)


def test_a_refusal_without_a_route_logs_the_configuration_that_decided() -> None:
    handler = make_handler()
    handler.describe_knowledge = lambda: {"config_age_ms": 5.0, "era": 2}
    request: Any = make_request()
    request.headers = (("host", b"unknown.example"), (REQUEST_ID, b"1"))
    request.answer = lambda *args, **kwargs: None
    request.drained = AsyncMock()
    with capture_logs() as lines:
        asyncio.run(handler.serve(request))
    refused = next(line for line in lines if line["event"] == "refused")
    assert refused["status"] == 404
    assert (refused["config_age_ms"], refused["era"]) == (5.0, 2)


# Guards against requests that run beside others although they may run only once, or
# although their body is still arriving.
@pytest.mark.parametrize(
    ("idempotent", "fields", "overlaps"),
    [
        (True, {}, True),
        (False, {}, False),
        (True, {"received": False}, False),
        (True, {"body_late": True}, False),
        (True, {"upload": make_upload(length=9)}, False),
        (True, {"headers": (("host", b"unknown.example"),)}, False),
    ],
)
def test_requests_that_may_be_repeated_overlap(
    idempotent: bool, fields: dict[str, Any], overlaps: bool
) -> None:
    request = make_request()
    for name, value in ({"received": True} | fields).items():
        setattr(request, name, value)
    assert make_handler(idempotent=idempotent).may_overlap(request) is overlaps


# Guards against deadlines that begin when a request is served, not when it arrived: the
# route's timeout is 1 s.
@pytest.mark.parametrize(("waited_s", "left_s"), [(0.4, 0.6), (1.0, None)])
def test_the_wait_behind_other_requests_counts(
    waited_s: float, left_s: float | None
) -> None:
    handler, request = make_handler(), make_request()
    refusal = RefusedError(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED, detail="")
    run: Any = AsyncMock(side_effect=refusal)
    handler.dispatcher.run = run  # type: ignore[method-assign]
    request.arrived_at_s = NOW_S - waited_s
    request.channel = Mock(drained=AsyncMock())
    with capture_logs() as lines:
        asyncio.run(handler.serve(request))
    (ended,) = (line for line in lines if line["event"] == "request ended")
    assert ended["took_ms"] == pytest.approx(waited_s * 1000)
    assert run.called is (left_s is not None)
    if left_s is None:
        assert ended["outcome"] == "deadline_passed"
        return
    (routed,) = run.call_args.args
    assert routed.caller.deadline_s == pytest.approx(NOW_S + left_s)


# Guards against more requests at once than the machine's memory and link bear, and
# against callers that all return at once.
def test_beyond_the_most_unanswered_requests_a_request_is_refused_as_not_run() -> None:
    handler = make_handler()
    handler.max_unanswered = 1
    handler.build_routed_request(make_request(), arrived_at_s=NOW_S)
    in_dispatch: Any = object()
    handler._timeouts.add(in_dispatch)
    waits_s = set()
    for _ in range(5):
        with pytest.raises(RefusedError) as caught:
            handler.build_routed_request(make_request(), arrived_at_s=NOW_S)
        assert caught.value.verdict is Verdict.NOT_RUN
        assert caught.value.reason is Reason.OVERLOADED
        assert caught.value.retry_after_s is not None
        waits_s.add(caught.value.retry_after_s)
    assert len(waits_s) == 5 and all(0.5 <= s <= 1.5 for s in waits_s)
