"""Steps of the caller's path."""

import time
import urllib.request
from typing import Any

from behave import then, when

from borageramp_bench.caller import Answer

FAULTS: dict[str, dict[str, Any]] = {
    "no service": {"service": ""},
    "an unknown service": {"service": "nothing"},
    "a malformed deadline": {"headers": {"Borageramp-Deadline-Ms": "soon"}},
    "a zero deadline": {"headers": {"Borageramp-Deadline-Ms": "0"}},
    "an unknown class": {"class_name": "royal"},
    "a body over the limit": {"method": "POST", "body": b"x" * 5000},
    "no key": {"service": "referrals", "method": "POST", "body": b"{}"},
    "a broken key": {"service": "referrals", "method": "POST", "key": "a b"},
    "an undated plain key": {"service": "referrals", "method": "POST", "key": "k1"},
}


@when("a caller in {data_centre} asks for addresses")
def step(context: Any, data_centre: str) -> None:
    context.addresses = context.fleet.caller(data_centre=data_centre).addresses()


@then("{name} is the first of {count:d} addresses")
def step(context: Any, name: str, count: int) -> None:
    assert len(context.addresses) == count, context.addresses
    assert context.addresses[0] == context.fleet.entries[name].caller_address


@when("a caller sends a read")
def step(context: Any) -> None:
    context.answer = context.fleet.caller().send("records", "/echo/1")


@then("the answer has status {status:d} and verdict {verdict}")
def step(context: Any, status: int, verdict: str) -> None:
    answer: Answer = context.answer
    assert (answer.status, answer.verdict) == (status, verdict), answer


@when("a caller sends a request with no deadline")
def step(context: Any) -> None:
    address = context.fleet.entries["entry-1"].caller_address
    headers = {"Borageramp-Service": "records"}
    context.answer = context.fleet.caller().exchange(address, "GET", "/echo", headers)


@when("a caller sends a request with {fault}")
def step(context: Any, fault: str) -> None:
    arguments = {"service": "records", **FAULTS[fault]}
    service = arguments.pop("service")
    entry = context.fleet.entries["entry-1"]
    context.answer = context.fleet.caller().send(
        service, "/echo/1", address=entry.caller_address, **arguments
    )


@then("the refusal is {status:d} {reason} with verdict {verdict}")
def step(context: Any, status: int, reason: str, verdict: str) -> None:
    answer: Answer = context.answer
    seen = (answer.status, answer.reason, answer.verdict)
    assert seen == (status, reason, verdict), answer
    assert answer.data["reason"] == reason
    assert "Traceback" not in answer.body.decode()


@then("the refusal is logged once")
def step(context: Any) -> None:
    time.sleep(0.05)
    log = context.fleet.entries["entry-1"].process.log()
    request_id = context.answer.headers["borageramp-request-id"]
    records = [r for r in log if r.get("request_id") == request_id]
    final = [r for r in records if r["event"] == "final refusal"]
    assert len(final) == 1, records
    assert not [r for r in records if r["level"] == "error"]


@when("an operator asks for metrics")
def step(context: Any) -> None:
    address = context.fleet.entries["entry-1"].operator_address
    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        context.metrics = response.read().decode()


@then('the metrics hold "{name}"')
def step(context: Any, name: str) -> None:
    assert name in context.metrics
