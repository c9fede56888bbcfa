"""Steps on requests that crash upstreams."""

import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import yaml
from behave import given, then, use_step_matcher, when

from borageramp_bench.caller import Answer
from borageramp_bench.fleet import Fleet
from borageramp_bench.processes import wait_until

use_step_matcher("parse")

TRIES_BESIDE = 8
SETTLE_S = 0.5
FAST_S = 0.005
SLOW_MS = 600
USUAL_HEDGE_RATIO = 0.05


@contextmanager
def readers_beside(
    fleet: Fleet, count: int, *, slow: int = 0
) -> Iterator[list[Answer]]:
    """Have readers work, some of them slow; yields the last answers to reads."""
    addresses = [e.caller_address for e in fleet.entries.values()]
    ending = threading.Event()
    answers: list[Answer] = []

    def work(index: int) -> None:
        caller = fleet.caller()
        number = 0
        while not ending.is_set():
            number += 1
            query = f"?takes_ms={SLOW_MS}" if index >= count else ""
            path = f"/echo/beside-{index}-{number}{query}"
            for attempt in range(TRIES_BESIDE):
                address = addresses[(index + attempt) % len(addresses)]
                answer = caller.send("records", path, address=address)
                if answer.status == 200:
                    break
                time.sleep(0.05)
            answers.append(answer)

    threads = [threading.Thread(target=work, args=(i,)) for i in range(count + slow)]
    for thread in threads:
        thread.start()
    time.sleep(SETTLE_S)
    yield answers
    time.sleep(SETTLE_S)
    ending.set()
    for thread in threads:
        thread.join()


def crash(
    context: Any,
    path: str,
    *,
    times: int,
    beside: int,
    slow: int = 0,
    class_name: str | None = None,
) -> None:
    """Send a request that crashes upstreams through one entry after another."""
    fleet = context.fleet
    # One that is known from an earlier scenario would be refused at once.
    path += f"{'&' if '?' in path else '?'}mark={uuid.uuid4().hex}"
    addresses = [e.caller_address for e in fleet.entries.values()]
    caller = fleet.caller()
    context.crashes = []
    with readers_beside(fleet, beside, slow=slow) as answers:
        for index in range(times):
            address = addresses[index % len(addresses)]
            answer = caller.send(
                "records", path, address=address, class_name=class_name
            )
            context.crashes.append(answer)
    context.beside = answers
    context.dead = [n for n, p in fleet.upstreams.items() if not p.alive]


def hurry(fleet: Fleet, upstream: str) -> None:
    """Have an upstream answer fast again, also one that has just started."""

    def told() -> bool:
        fleet.behave(upstream, service_s=FAST_S)
        return True

    wait_until(told, upstream)


@given("each read takes {millis:d} ms")
def step(context: Any, millis: int) -> None:
    context.fleet.wait_warm()
    for plan in context.fleet.plan.upstreams:
        if plan.service == "records":
            context.fleet.behave(plan.name, service_s=millis / 1000)
            context.add_cleanup(hurry, context.fleet, plan.name)


@when("a request that crashes upstreams is sent {count:d} times beside others")
def step(context: Any, count: int) -> None:
    crash(context, "/crash", times=count, beside=8)


@when(
    "a request that crashes upstreams after {millis:d} ms is sent {count:d} times"
    " beside {readers:d} readers and {slow:d} slow ones"
)
def step(context: Any, millis: int, count: int, readers: int, slow: int) -> None:
    path = f"/crash?delay_ms={millis}"
    crash(context, path, times=count, beside=readers, slow=slow)


@given("only urgent reads are hedged")
def step(context: Any) -> None:
    set_hedge_ratio(context.fleet, 0.0)
    context.add_cleanup(set_hedge_ratio, context.fleet, USUAL_HEDGE_RATIO)


def set_hedge_ratio(fleet: Fleet, ratio: float) -> None:
    """Set the share of reads that may be hedged, urgent ones aside."""
    tree = fleet.tree()
    tree["services"]["records"]["hedge_ratio"] = ratio
    path = fleet.directory / "hedges.yaml"
    path.write_text(yaml.safe_dump(tree))
    result = fleet.cli("config", "set", str(path))
    assert result.code == 0, result


@when(
    "an urgent request that crashes upstreams after {millis:d} ms is sent"
    " {count:d} times beside {readers:d} readers and {slow:d} slow ones"
)
def step(context: Any, millis: int, count: int, readers: int, slow: int) -> None:
    warm_up_budget(context.fleet)
    crash(
        context,
        f"/crash?delay_ms={millis}",
        times=count,
        beside=readers,
        slow=slow,
        class_name="urgent",
    )


def warm_up_budget(fleet: Fleet) -> None:
    """Send urgent reads, which earn the hedges of those that follow."""
    caller = fleet.caller()
    for entry in fleet.entries.values():
        for _ in range(4):
            caller.send(
                "records", "/echo/1", address=entry.caller_address, class_name="urgent"
            )


@then("at most {count:d} upstreams died")
def step(context: Any, count: int) -> None:
    assert 1 <= len(context.dead) <= count, context.dead


@then("the requests beside it were answered in the end")
def step(context: Any) -> None:
    bad = [a for a in context.beside if a.status != 200]
    assert context.beside and not bad, bad[:3]


@then("the last refusal of it has reason {reason}")
def step(context: Any, reason: str) -> None:
    last = context.crashes[-1]
    assert last.reason == reason, last
