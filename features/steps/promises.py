"""Steps of single promises."""

import concurrent.futures
import http.client
import socket
import threading
import time
from typing import Any

from behave import given, then, use_step_matcher, when
from features.faults import FAULTS

from borageramp_bench.campaign import Campaign
from borageramp_bench.history import ProbeBudget
from borageramp_bench.hop import resident_bytes
from borageramp_bench.processes import wait_until

use_step_matcher("parse")


@when("nobody calls for {seconds:d} seconds while {fault}")
def step(context: Any, seconds: int, fault: str) -> None:
    fleet = context.fleet
    campaign = Campaign(fleet=fleet, readers=0, writers=0)
    started_at_s = time.time()
    campaign.start()
    FAULTS[fault](fleet, campaign, float(seconds))
    context.history = campaign.end()
    context.history.probe_budget = ProbeBudget(
        interval_s=1.0, span_s=time.time() - started_at_s
    )


@then("upstreams were probed")
def step(context: Any) -> None:
    assert context.history.probes


@when('a caller asks records for "{path}"')
def step(context: Any, path: str) -> None:
    context.answer = context.fleet.caller().send("records", path)


@then("the answer is not whole")
def step(context: Any) -> None:
    assert context.answer.status == 200 and not context.answer.whole


@then("the first part came before a quarter of the time")
def step(context: Any) -> None:
    answer = context.answer
    assert answer.whole and answer.first_byte_s < answer.total_s / 4, answer


@when('a caller goes away from "{path}"')
def step(context: Any, path: str) -> None:
    address = context.fleet.entries["entry-1"].caller_address
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request("GET", path, headers={"Borageramp-Service": "records"})
    response = connection.getresponse()
    response.read1(10)
    context.gone_at_s = time.time()
    response.close()
    connection.close()


@then("the upstream sees the cancellation")
def step(context: Any) -> None:
    since_s = context.gone_at_s
    wait_until(
        lambda: any(r["at_s"] >= since_s for r in context.fleet.runs("cancelled")),
        "cancellation",
        within_s=3.0,
    )


@when("a slow caller reads {size:d} bytes")
def step(context: Any, size: int) -> None:
    entry = context.fleet.entries["entry-1"]
    host, _, port = entry.caller_address.rpartition(":")
    before_bytes = resident_bytes(entry.process.pid)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.connect()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    headers = {"Borageramp-Service": "records", "Borageramp-Deadline-Ms": "20000"}
    connection.request("GET", f"/big?bytes={size}", headers=headers)
    response = connection.getresponse()
    time.sleep(1.0)
    context.grown_bytes = resident_bytes(entry.process.pid) - before_bytes
    context.slow_whole = len(response.read()) == size


@then("the slow answer is whole and the entry grew by less than {size:d} bytes")
def step(context: Any, size: int) -> None:
    assert context.slow_whole
    assert context.grown_bytes < size, context.grown_bytes


@given("{upstream} takes {millis:d} ms")
def step(context: Any, upstream: str, millis: int) -> None:
    # A cold upstream gets nothing from entries that don't own it.
    context.fleet.wait_warm()
    context.fleet.behave(upstream, service_s=millis / 1000)
    context.add_cleanup(context.fleet.behave, upstream, service_s=0.005)


@when("callers send {count:d} reads in a row")
def step(context: Any, count: int) -> None:
    context.gone_at_s = time.time()
    context.hedges_before = _hedges(context)
    caller = context.fleet.caller()
    address = context.fleet.entries["entry-1"].caller_address
    context.answers = [
        caller.send("records", f"/echo/{i}", address=address) for i in range(count)
    ]


@then("every read was answered")
def step(context: Any) -> None:
    bad = [a for a in context.answers if a.status != 200]
    assert not bad, bad[:3]


@then("some read was hedged")
def step(context: Any) -> None:
    assert _hedges(context) > context.hedges_before


def _hedges(context: Any) -> int:
    status = context.fleet.entries["entry-1"].status()
    return int(status["services"]["records"]["hedges_spent"])


@when("a long answer is under way through entry-2 during {stop}")
def step(context: Any, stop: str) -> None:
    fleet = context.fleet
    fleet.wait_ready("entry-2")
    address = fleet.entries["entry-2"].caller_address
    path = "/stream?parts=40&interval_ms=100"
    with concurrent.futures.ThreadPoolExecutor() as pool:
        long_answer = pool.submit(
            fleet.caller().send, "records", path, address=address, deadline_ms=15000
        )
        time.sleep(0.5)
        run = next(r for r in reversed(fleet.runs()) if r["path"] == "/stream")
        undo = _stop(fleet, stop, run["upstream"])
        context.answer = long_answer.result(timeout=30)
    undo()


def _stop(fleet: Any, stop: str, upstream: str) -> Any:
    if stop == "the stop of its entry":
        process = fleet.entries["entry-2"].process
        process.terminate()
        return lambda: process.wait(within_s=30)
    if stop == "the drain of its upstream":
        assert fleet.cli("upstream", "drain", "records", upstream).code == 0
        return lambda: fleet.cli("upstream", "undrain", "records", upstream)
    centre = next(u.data_centre for u in fleet.plan.upstreams if u.name == upstream)
    assert fleet.cli("data-centre", "out", centre).code == 0
    return lambda: fleet.cli("data-centre", "in", centre)


@then("the long answer is whole")
def step(context: Any) -> None:
    answer = context.answer
    wanted = "".join(f"part {i}\n" for i in range(40))
    assert answer.whole and answer.body.decode() == wanted, answer


@when(
    "{count:d} callers at once ask for reads of {service:d} ms"
    " with a deadline of {deadline:d} ms"
)
def step(context: Any, count: int, service: int, deadline: int) -> None:
    fleet = context.fleet
    fleet.wait_warm()
    names = [u.name for u in fleet.plan.upstreams if u.service == "records"]
    for name in names:
        fleet.behave(name, service_s=service / 1000)
        context.add_cleanup(fleet.behave, name, service_s=0.005)

    def ask(index: int) -> Any:
        return fleet.caller().send(
            "records",
            f"/echo/{index}",
            address=fleet.entries["entry-1"].caller_address,
            deadline_ms=deadline,
        )

    # The first ones teach the entry how long a read takes.
    for index in range(20):
        ask(index)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(ask, range(count)))


@then("every answer came or was refused within {limit:d} ms")
def step(context: Any, limit: int) -> None:
    late = [a for a in context.answers if a.total_s * 1000 > limit]
    assert not late, late[:3]
    assert any(a.status != 200 for a in context.answers)


@then("each refusal says when to come back")
def step(context: Any) -> None:
    for answer in context.answers:
        if answer.status != 200:
            assert answer.headers.get("retry-after"), answer


@when("callers of both classes overload records for {seconds:d} seconds")
def step(context: Any, seconds: int) -> None:
    fleet = context.fleet
    fleet.wait_warm()
    names = [u.name for u in fleet.plan.upstreams if u.service == "records"]
    for name in names:
        fleet.behave(name, service_s=0.1)
        context.add_cleanup(fleet.behave, name, service_s=0.005)
    until_s = time.monotonic() + seconds
    context.by_class = {"urgent": [], "normal": []}

    def work(index: int) -> None:
        class_name = "urgent" if index % 10 == 0 else "normal"
        caller = fleet.caller()
        address = fleet.entries["entry-1"].caller_address
        while time.monotonic() < until_s:
            answer = caller.send(
                "records",
                "/echo/x",
                class_name=class_name,
                address=address,
                deadline_ms=1500,
            )
            context.by_class[class_name].append(answer)

    threads = [threading.Thread(target=work, args=(i,)) for i in range(80)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("the urgent reads were answered and the others not starved")
def step(context: Any) -> None:
    urgent, normal = context.by_class["urgent"], context.by_class["normal"]
    assert all(a.status == 200 for a in urgent), [a for a in urgent if a.status != 200]
    served = sorted(a.total_s for a in normal if a.status == 200)
    assert served
    urgent_s = sorted(a.total_s for a in urgent)
    # Most urgent reads beat the middle of the others, in the same run.
    assert urgent_s[int(0.75 * len(urgent_s))] < served[len(served) // 2]


@given("referrals take {millis:d} ms")
def step(context: Any, millis: int) -> None:
    fleet = context.fleet
    fleet.wait_warm()
    for plan in fleet.plan.upstreams:
        if plan.service == "referrals":
            fleet.behave(plan.name, service_s=millis / 1000)
            context.add_cleanup(fleet.behave, plan.name, service_s=0.03)
    context.key = fleet.caller("entry-1").new_key()


@when("a referral is sent with a deadline of {deadline:d} ms")
def step(context: Any, deadline: int) -> None:
    context.answer = _refer(context, "entry-1", deadline)


@when("the same referral is sent again with a deadline of {deadline:d} ms")
def step(context: Any, deadline: int) -> None:
    context.answer = _refer(context, "entry-2", deadline)


def _refer(context: Any, entry: str, deadline_ms: int) -> Any:
    fleet = context.fleet
    return fleet.caller(entry).send(
        "referrals",
        "/echo/late",
        method="POST",
        key=context.key,
        body=b"{}",
        deadline_ms=deadline_ms,
        address=fleet.entries[entry].caller_address,
    )


@then("it gets {status:d} {reason} with verdict {verdict} within {limit:d} ms")
def step(context: Any, status: int, reason: str, verdict: str, limit: int) -> None:
    answer = context.answer
    seen = (answer.status, answer.reason, answer.verdict)
    assert seen == (status, reason, verdict), answer
    assert answer.total_s * 1000 < limit, answer


@then("it is answered, and ran once")
def step(context: Any) -> None:
    assert context.answer.status == 200, context.answer
    runs = [r for r in context.fleet.runs() if r["key"] == context.key]
    assert len(runs) == 1, runs


@when("a referral was answered through {entry} and its owner {owner} is frozen")
def step(context: Any, entry: str, owner: str) -> None:
    fleet = context.fleet
    fleet.wait_warm()
    context.key = fleet.caller(owner).new_key()
    assert _refer(context, entry, 2000).status == 200
    fleet.entries[owner].process.freeze()
    # The time after which a silent peer counts as gone.
    time.sleep(3.0)


@when("a referral was answered through {entry} and {owner} stops")
def step(context: Any, entry: str, owner: str) -> None:
    fleet = context.fleet
    fleet.wait_ready(owner)
    fleet.wait_warm()
    context.key = fleet.caller(owner).new_key()
    assert _refer(context, entry, 2000).status == 200
    process = fleet.entries[owner].process
    process.terminate()
    assert process.wait(within_s=40) == 0


@then("its repeat is answered through {first} and {second} at once")
def step(context: Any, first: str, second: str) -> None:
    for entry in (first, second):
        answer = _refer(context, entry, 2000)
        assert answer.status == 200, answer
        assert answer.headers["borageramp-replayed"] == "1"
