"""Steps of the operators' path."""

import json
import time
from typing import Any

from behave import given, then, use_step_matcher, when

from borageramp_bench.fleet import CliResult
from borageramp_bench.processes import free_port, wait_until

use_step_matcher("parse")

OPERATION_ID = "feature-operation"


def _write(context: Any, text: str) -> str:
    path = context.fleet.directory / "operator.yaml"
    path.write_text(text)
    return str(path)


def _no_entry(context: Any) -> CliResult:
    address = f"127.0.0.1:{free_port()}"
    return context.fleet.cli("status", "--entry", address)


def _stale(context: Any) -> CliResult:
    tree = str(context.fleet.write_tree())
    context.fleet.cli("upstream", "drain", "records", "records-5")
    result = context.fleet.cli("config", "set", tree, "--base-revision", "1")
    context.fleet.cli("upstream", "undrain", "records", "records-5")
    return result


def _store_down(context: Any) -> CliResult:
    context.fleet.store_control("fault", down=True)
    return context.fleet.cli("data-centre", "out", "north")


CASES = {
    "no entry to reach": _no_entry,
    "a file that is missing": lambda c: c.fleet.cli("check", "/nonexistent"),
    "a file that is no YAML": lambda c: c.fleet.cli("check", _write(c, "a: [")),
    "a file with two faults": lambda c: c.fleet.cli(
        "config", "set", _write(c, "global: {slots: 0}\nnothing: 1\n")
    ),
    "a stale base revision": _stale,
    "an unknown data centre": lambda c: c.fleet.cli("data-centre", "out", "moon"),
    "an unknown request": lambda c: c.fleet.cli("explain", "no-such-request"),
    "the store down": _store_down,
}


@when("an operator runs a command with {case}")
def step(context: Any, case: str) -> None:
    context.result = CASES[case](context)


@then('the command exits with {code:d} and says "{words}"')
def step(context: Any, code: int, words: str) -> None:
    result: CliResult = context.result
    assert result.code == code, result
    assert words in result.out + result.err, result
    assert "Traceback" not in result.err


def _drain_with_id(context: Any) -> CliResult:
    arguments = ("records", "records-4", "--operation-id", OPERATION_ID)
    return context.fleet.cli("upstream", "drain", *arguments)


@when("the store loses the answer of a change")
def step(context: Any) -> None:
    # The first write may be a lease; only the commit's answer is to be lost.
    context.fleet.cli("upstream", "undrain", "records", "records-4")
    context.fleet.store_control("fault", lose_answers=3)
    context.operation_id = "lost-operation"
    arguments = ("records", "records-4", "--operation-id", context.operation_id)
    context.result = context.fleet.cli("upstream", "drain", *arguments)
    context.add_cleanup(
        context.fleet.cli, "upstream", "undrain", "records", "records-4"
    )


@when("the store loses the answer of a change and goes down")
def step(context: Any) -> None:
    context.operation_id = OPERATION_ID
    fleet = context.fleet
    fleet.cli("upstream", "undrain", "records", "records-4")
    fleet.store_control("fault", drop_after_write=True)
    context.result = _drain_with_id(context)


@when("the store is back and the operator repeats the command")
def step(context: Any) -> None:
    context.fleet.store_control("fault")
    time.sleep(1.5)
    context.result = _drain_with_id(context)
    context.add_cleanup(
        context.fleet.cli, "upstream", "undrain", "records", "records-4"
    )


@then("the change is accepted once")
def step(context: Any) -> None:
    assert context.result.code == 0, context.result
    context.fleet.store_control("fault")
    wait_until(lambda: context.fleet.cli("config", "history").code == 0, "history")
    history = context.fleet.cli("config", "history", "--format", "json")
    operations = json.loads(history.out)["operations"]
    ours = [o for o in operations if o["operation_id"] == context.operation_id]
    assert len(ours) == 1, operations


@when("an operator drains {upstream} and the store goes down")
def step(context: Any, upstream: str) -> None:
    _drain(context, upstream)
    context.fleet.store_control("fault", down=True)


@when("an operator drains {upstream}")
def step(context: Any, upstream: str) -> None:
    _drain(context, upstream)


def _drain(context: Any, upstream: str) -> None:
    context.result = context.fleet.cli(
        "upstream", "drain", "records", upstream, entries=["entry-1"]
    )
    assert context.result.code == 0, context.result

    def undo() -> None:
        context.fleet.store_control("fault")
        wait_until(
            lambda: (
                context.fleet.cli("upstream", "undrain", "records", upstream).code == 0
            ),
            "undrain",
        )

    context.add_cleanup(undo)


def _state(status: dict[str, Any], upstream: str) -> str:
    state: str = status["services"]["records"]["upstreams"][upstream]["state"]
    return state


@then("every entry has the revision and shows {upstream} as out")
def step(context: Any, upstream: str) -> None:
    def everywhere() -> bool:
        statuses = [e.status() for e in context.fleet.entries.values()]
        same = len({s["revision"] for s in statuses}) == 1
        return same and all(_state(s, upstream) == "out" for s in statuses)

    wait_until(everywhere, "in force everywhere", within_s=3.0)


@then("for {seconds:d} seconds every serving entry shows {upstream} as out")
def step(context: Any, seconds: int, upstream: str) -> None:
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        statuses = [e.status() for e in context.fleet.entries.values()]
        assert all(s["serving"] for s in statuses)
        assert all(_state(s, upstream) == "out" for s in statuses)
        time.sleep(0.1)


@given("{entry} is cut from the store")
def step(context: Any, entry: str) -> None:
    context.fleet.links.cut(entry, "store")
    status = context.fleet.entries[entry].status
    wait_until(lambda: not status()["store_reachable"], "cut", within_s=8.0)


@then("{entry} shows {upstream} as out within {seconds:d} seconds and serves")
def step(context: Any, entry: str, upstream: str, seconds: int) -> None:
    status = context.fleet.entries[entry].status
    wait_until(lambda: _state(status(), upstream) == "out", "news", float(seconds))
    assert status()["serving"] and not status()["store_reachable"]


@given("{entry} is cut off from all")
def step(context: Any, entry: str) -> None:
    context.fleet.links.isolate(entry)


@then("{entry} refuses reads with {reason} within {seconds:d} seconds")
def step(context: Any, entry: str, reason: str, seconds: int) -> None:
    address = context.fleet.entries[entry].caller_address
    caller = context.fleet.caller()
    wait_until(
        lambda: caller.send("records", "/echo", address=address).reason == reason,
        "refusals",
        float(seconds),
    )
    answer = caller.send("records", "/echo", address=address)
    assert answer.verdict == "not_run" and answer.headers["retry-after"]


@when("the cuts heal")
def step(context: Any) -> None:
    context.fleet.links.heal()


@then("{entry} serves again within {seconds:d} seconds")
def step(context: Any, entry: str, seconds: int) -> None:
    address = context.fleet.entries[entry].caller_address
    caller = context.fleet.caller()
    wait_until(
        lambda: caller.send("records", "/echo", address=address).status == 200,
        "service",
        float(seconds),
    )


@given("the store is down")
def step(context: Any) -> None:
    context.fleet.store_control("fault", down=True)


@when("{entry} is killed and started again with seeds")
def step(context: Any, entry: str) -> None:
    fleet = context.fleet
    peers = [
        m["name"]
        for m in fleet.entries[entry].status()["entries"]
        if m["name"] != entry
    ]
    context.revision = fleet.entries[peers[0]].status()["revision"]
    context.peers = peers
    fleet.entries[entry].process.kill()
    fleet.add_seeds(entry, peers)
    fleet.entries[entry].process.start()
    fleet.wait_live(entry)


@then("{entry} has the revision of its peers within {seconds:d} seconds")
def step(context: Any, entry: str, seconds: int) -> None:
    status = context.fleet.entries[entry].status
    wait_until(
        lambda: status()["revision"] == context.revision, "revision", float(seconds)
    )


@then("the entries that were up went on serving")
def step(context: Any) -> None:
    for name in context.peers:
        assert context.fleet.entries[name].status()["serving"], name


@when("a read goes through {entry}")
def step(context: Any, entry: str) -> None:
    context.answer = context.fleet.caller().send(
        "records", "/echo/1", address=context.fleet.entries[entry].caller_address
    )


@then("its explanation names the upstream that ran it")
def step(context: Any) -> None:
    result = context.fleet.cli("explain", context.answer.request_id)
    assert result.code == 0, result
    assert f"upstream={context.answer.data['upstream']}" in result.out, result.out


@then("the status names every entry, data centre and upstream")
def step(context: Any) -> None:
    fleet = context.fleet
    result = fleet.cli("status")
    names = [*fleet.entries, *fleet.upstreams, "north", "south", "west"]
    missing = [name for name in names if name not in result.out]
    assert result.code == 0 and not missing, (missing, result.out)
