"""Steps of campaigns under faults."""

import threading
from typing import Any

from behave import then, use_step_matcher, when
from features.faults import FAULTS

from borageramp_bench.campaign import Campaign
from borageramp_bench.history import check_history

use_step_matcher("re")

NAMES = "|".join(FAULTS)


BUSY_READERS = 16


def run_campaign(
    context: Any, seconds: str, *faults: str, plain: bool = False, readers: int = 3
) -> None:
    fleet = context.fleet
    for name in fleet.entries:
        fleet.wait_ready(name)
    fleet.wait_warm()
    campaign = Campaign(fleet=fleet, plain_keys=plain, readers=readers)
    campaign.start()
    failures: list[BaseException] = []

    def inject(name: str) -> None:
        try:
            FAULTS[name](fleet, campaign, float(seconds))
        except BaseException as error:
            failures.append(error)

    threads = [threading.Thread(target=inject, args=(name,)) for name in faults]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.history = campaign.end()
    assert not failures, failures


@when(rf"callers work for (?P<seconds>\d+) seconds while (?P<fault>{NAMES})")
def step(context: Any, seconds: str, fault: str) -> None:
    run_campaign(context, seconds, fault)


@when(
    rf"callers work for (?P<seconds>\d+) seconds while (?P<first>{NAMES})"
    rf" and (?P<second>{NAMES})"
)
def step(context: Any, seconds: str, first: str, second: str) -> None:
    run_campaign(context, seconds, first, second)


@when(rf"busy callers work for (?P<seconds>\d+) seconds while (?P<fault>{NAMES})")
def step(context: Any, seconds: str, fault: str) -> None:
    run_campaign(context, seconds, fault, readers=BUSY_READERS)


@when(
    rf"callers with plain keys work for (?P<seconds>\d+) seconds"
    rf" while (?P<fault>{NAMES})"
)
def step(context: Any, seconds: str, fault: str) -> None:
    run_campaign(context, seconds, fault, plain=True)


@then("the history keeps every promise")
def step(context: Any) -> None:
    violations = check_history(context.history)
    assert not violations, "\n".join(violations[:20])


@then(r"at least (?P<share>\d+) percent of the requests were answered")
def step(context: Any, share: str) -> None:
    tried = context.history.tried
    answered = sum(1 for t in tried if t.status == 200 and t.whole and t.right)
    seen = 100 * answered / max(1, len(tried))
    print(f"answered {answered} of {len(tried)}: {seen:.1f}%")
    reasons: dict[str, int] = {}
    for t in tried:
        if t.status != 200:
            name = f"{t.status} {t.verdict}"
            reasons[name] = reasons.get(name, 0) + 1
    assert seen >= float(share), f"answered {seen:.1f}% of {len(tried)}: {reasons}"
