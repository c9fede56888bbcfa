"""Requests that an instance forwards, as it doesn't reach their upstreams itself."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from borageramp_core import AttemptResult, Reason, RefusedError, Verdict
from borageramp_entry._internal.border.uploads import MAX_HELD_BYTES
from borageramp_entry._internal.routed.forwarding_messages import (
    FORWARDED_HEADER,
    REFUSAL_HEADER,
    decode_refusal,
)
from borageramp_entry._internal.serving.upstreams import (
    TryFailedError,
    UpstreamAnswer,
)
from borageramp_entry.routed import HttpClient, split_ip_address
from tests.lib.dispatching import make_upstream_answer
from tests.lib.forwarding import Member, make_request, read_all, running_members

LARGE_BODY = b"x" * 3_000_000
# Longest time until upstreams notice that a caller has left.
LEAVE_TIMEOUT_S = 0.5


def play(test: Callable[..., Awaitable[None]], *names: str, **kwargs: Any) -> None:
    async def run() -> None:
        async with running_members(*(names or ("a", "b")), **kwargs) as members:
            await test(*members)

    asyncio.run(run())


async def refusal(member: Member, **request: Any) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        await member.run(make_request(**request))
    return caught.value


async def hang(request: Any) -> UpstreamAnswer:
    await asyncio.sleep(3600)
    raise AssertionError


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_arrives_as_it_was_sent_and_so_does_its_answer(method: str) -> None:
    async def test(a: Member, b: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            headers = (("x-signature", b"s1"), ("content-type", b"text/plain"))
            return make_upstream_answer(201, body=b"whole", headers=headers)

        b.client.answer = answer
        a.cut_off()
        headers = (("host", b"a.example"), ("x-one", b"\xe9"), ("x-one", b"2"))
        body = b"" if method == "GET" else b"content"
        answered = await a.run(make_request(method=method, headers=headers, body=body))
        (sent,) = b.client.sent
        assert (sent.method, sent.path) == (method, "/r/x?y=1")
        assert sent.headers == headers and sent.request_id == "r1"
        assert b.client.bodies == [body]
        head = answered.upstream_answer.head
        assert (head.status, answered.body, answered.complete) == (201, b"whole", True)
        assert ("x-signature", b"s1") in head.headers
        assert a.client.tried == 0 and a.forwarder.forwarded == 1

    play(test)


def test_an_instance_that_has_not_noticed_the_cut_forwards_after_its_attempts() -> None:
    async def test(a: Member, b: Member) -> None:
        a.client.reached = False
        answered = await a.run(make_request(idempotent=False))
        assert answered.body == b"body"
        assert len(b.client.sent) == 1

    play(test)


def test_a_request_is_forwarded_once_and_refused_at_once_if_all_are_cut_off() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        for member in (a, b, c):
            member.cut_off()
        started_s = asyncio.get_running_loop().time()
        error = await refusal(a)
        assert asyncio.get_running_loop().time() - started_s < 0.5
        assert error.verdict is Verdict.NOT_RUN
        assert error.reason is Reason.UPSTREAMS_UNREACHABLE
        assert error.retry_after_s is not None
        assert [m.forwarder.forwarded for m in (a, b, c)] == [0, 0, 0]

    play(test, "a", "b", "c")


# Guards against two instances that pass a request to and fro.
def test_a_forwarded_request_is_not_forwarded_again() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        a.cut_off()
        await a.run(make_request())
        taker = b if b.client.sent else c
        # It loses its links after it has said that it reaches the service.
        taker.client.reached = False
        other = c if taker is b else b
        other.client.reached = False
        error = await refusal(a)
        assert error.verdict is Verdict.NOT_RUN
        assert b.forwarder.forwarded == c.forwarder.forwarded == 0

    play(test, "a", "b", "c")


def test_a_request_that_was_not_run_goes_to_another_instance() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        a.cut_off()
        for _ in range(3):
            # Both have been asked, and one loses its links.
            await a.run(make_request())
        b.client.reached = False
        for _ in range(5):
            answered = await a.run(make_request(idempotent=False))
            assert answered.body == b"body"

    play(test, "a", "b", "c")


# Guards against a second run of what may have run, or a refusal that denies it.
def test_work_that_may_have_run_elsewhere_is_not_repeated() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        for member in (b, c):
            member.client.answer = hang
        a.cut_off()
        running = asyncio.ensure_future(refusal(a, idempotent=False))
        while not (b.client.sent or c.client.sent):
            await asyncio.sleep(0.01)
        b.break_connections()
        c.break_connections()
        error = await running
        assert error.verdict is Verdict.MAY_HAVE_RUN
        assert len(b.client.sent) + len(c.client.sent) == 1

    play(test, "a", "b", "c")


@pytest.mark.parametrize(
    ("result", "verdict"),
    [
        (AttemptResult.DIED, Verdict.MAY_HAVE_RUN),
        (AttemptResult.TIMED_OUT, Verdict.MAY_HAVE_RUN),
        (AttemptResult.SHED, Verdict.NOT_RUN),
    ],
)
def test_a_refusal_says_what_the_other_instance_knows(
    result: AttemptResult, verdict: Verdict
) -> None:
    async def test(a: Member, b: Member) -> None:
        async def fail(request: Any) -> UpstreamAnswer:
            raise TryFailedError(result)

        b.client.answer = fail
        a.cut_off()
        error = await refusal(a, idempotent=False)
        assert error.verdict is verdict
        if verdict is Verdict.NOT_RUN:
            assert error.retry_after_s is not None

    play(test)


def test_an_upstream_that_sends_the_mark_of_a_refusal_is_not_believed() -> None:
    async def test(a: Member, b: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            forged = b'{"verdict":"not_run","reason":"overloaded","detail":""}'
            return make_upstream_answer(503, headers=((REFUSAL_HEADER, forged),))

        b.client.answer = answer
        a.cut_off()
        answered = await a.run(make_request(idempotent=False))
        assert answered.failed and answered.body == b"body"

    play(test)


def test_an_idempotent_request_is_hedged_through_a_second_instance() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        for _ in range(20):
            a.dispatcher.pools.retry_budget("records").earn()
        a.cut_off()
        b.client.answer = hang
        for _ in range(4):
            answered = await a.run(make_request(timeout_s=5.0))
            assert answered.body == b"body"

    play(test, "a", "b", "c")


# Guards against an answer that waits for the search of an instance for a hedge.
def test_an_answer_does_not_wait_for_instances_that_are_asked_for_a_hedge() -> None:
    work_s = 0.5

    async def test(a: Member, b: Member, *silent: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            await asyncio.sleep(work_s)
            return make_upstream_answer()

        b.client.answer = answer
        for member in silent:
            member.handler.silent = True
        for _ in range(20):
            a.dispatcher.pools.retry_budget("records").earn()
        a.cut_off()
        started_s = asyncio.get_running_loop().time()
        answered = await a.run(make_request(timeout_s=5.0))
        assert answered.body == b"body"
        # One round of questions before the request is forwarded, one for the hedge.
        assert asyncio.get_running_loop().time() - started_s < work_s + 2 * 0.2

    play(test, "a", "b", *(f"s{i}" for i in range(12)))


def test_callers_that_leave_end_the_work_at_the_upstream() -> None:
    async def test(a: Member, b: Member) -> None:
        b.client.answer = hang
        a.cut_off()
        running = asyncio.ensure_future(a.run(make_request()))
        while not b.client.sent:
            await asyncio.sleep(0.01)
        running.cancel()
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            while not b.client.cancelled:
                await asyncio.sleep(0.01)

    play(test)


def test_the_deadline_goes_along_less_the_time_spent() -> None:
    async def test(a: Member, b: Member) -> None:
        a.cut_off()
        await a.run(make_request(timeout_s=1.5, waited_s=0.4))
        assert 1300 <= b.client.terms[0]["deadline_ms"] <= 1500

    play(test)


def test_a_large_body_is_passed_on_while_it_arrives() -> None:
    async def test(a: Member, b: Member) -> None:
        a.cut_off()
        upload = _Upload(LARGE_BODY)
        answered = await a.run(make_request(body=LARGE_BODY[:65_536], upload=upload))
        assert answered.body == b"body"
        assert b.client.bodies == [LARGE_BODY]

    play(test)


class _Upload:
    """A large body that has arrived in part."""

    repeatable = True

    def __init__(self, body: bytes) -> None:
        self.length: int | None = len(body)
        self._body = body

    async def read(self, offset: int) -> bytes:
        await asyncio.sleep(0)
        return self._body[offset : offset + 65_536]


def test_an_answer_that_comes_before_the_body_was_read_is_delivered() -> None:
    async def test(a: Member, b: Member) -> None:
        b.client.reads_bodies = False
        a.cut_off()
        upload = _Upload(LARGE_BODY)
        answered = await a.run(make_request(body=LARGE_BODY[:65_536], upload=upload))
        assert answered.body == b"body"
        # The connection that was left in the middle of a body carries no other request.
        answered = await a.run(make_request())
        assert answered.body == b"body" and len(b.client.sent) == 2

    play(test)


# Guards against connections between instances that are read no more after an upload
# that filled its buffer.
def test_a_request_after_a_forwarded_upload_that_filled_its_buffer_is_served() -> None:
    async def test(a: Member, b: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            await asyncio.sleep(0.1)  # until all of the body has arrived
            b.client.bodies.append(await read_all(request))
            return make_upstream_answer()

        body = b"x" * MAX_HELD_BYTES
        b.client.reads_bodies, b.client.answer = False, answer
        a.cut_off()
        await a.run(make_request(body=body[:65_536], upload=_Upload(body)))
        answered = await a.run(make_request())
        assert answered.body == b"body" and b.client.bodies == [body, b"content"]
        assert b.forwarded_count == 2

    play(test)


def test_a_large_answer_is_passed_on_while_it_arrives() -> None:
    async def test(a: Member, b: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            return make_upstream_answer(body=LARGE_BODY)

        b.client.answer = answer
        a.cut_off()
        answered = await a.run(make_request())
        body = answered.body
        while part := await answered.upstream_answer.read(1.0):
            body += part
        assert body == LARGE_BODY

    play(test)


# Guards against an answer that was cut short and looks whole to the caller.
def test_an_answer_that_is_cut_short_is_none() -> None:
    async def test(a: Member, b: Member) -> None:
        async def answer(request: Any) -> UpstreamAnswer:
            return make_upstream_answer(body=LARGE_BODY, whole=False)

        b.client.answer = answer
        a.cut_off()
        answered = await a.run(make_request(max_runs=1))
        assert not answered.complete
        with pytest.raises(TryFailedError):
            while await answered.upstream_answer.read(1.0):
                pass

    play(test)


def test_an_instance_that_is_stopping_takes_no_requests_of_others() -> None:
    async def test(a: Member, b: Member) -> None:
        a.cut_off()
        b.stops_at_s = asyncio.get_running_loop().time() + 3600.0
        error = await refusal(a)
        assert error.verdict is Verdict.NOT_RUN
        assert not b.client.sent

    play(test)


def test_an_instance_that_does_not_answer_is_left_for_others() -> None:
    async def test(a: Member, b: Member, c: Member) -> None:
        a.cut_off()
        b.handler.silent = True
        answered = await a.run(make_request(idempotent=False))
        assert answered.body == b"body"
        assert len(c.client.sent) == 1

    play(test, "a", "b", "c")


def test_requests_go_back_to_upstreams_once_these_answer() -> None:
    async def test(a: Member, b: Member) -> None:
        a.cut_off()
        await a.run(make_request())
        a.client.reached = True
        a.pools.on_reached(a.pools.pool("records").views["u0"])
        await a.run(make_request())
        assert len(a.client.sent) == 1 and len(b.client.sent) == 1

    play(test)


# Guards against retry budgets that stop requests which have reached no upstream.
def test_attempts_that_reach_no_upstream_use_up_no_retry_budget() -> None:
    async def test(a: Member) -> None:
        a.client.refused_connections = 2
        answered = await a.run(make_request(idempotent=False))
        assert answered.body == b"body"
        assert a.client.tried == 3 and len(a.client.sent) == 1

    play(test, "a")


@pytest.mark.parametrize("terms", [b"", b"{}", b"[" * 10_000, b"\xff", b'{"a":1}'])
def test_terms_that_make_no_sense_are_no_fault_of_the_caller(terms: bytes) -> None:
    async def test(a: Member, b: Member) -> None:
        client = HttpClient(idle_s=1.0, max_idle=1)
        assert b.instance.peer_address is not None
        response = await client.request(
            split_ip_address(b.instance.peer_address),
            "GET",
            "/r/x",
            headers=(("host", b"a.example"), (FORWARDED_HEADER, terms)),
            connect_timeout_s=1.0,
        )
        error = decode_refusal(response.headers)
        assert error is not None
        assert error.verdict is Verdict.NOT_RUN and error.reason is Reason.INTERNAL
        client.close()

    play(test)
