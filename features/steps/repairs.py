"""Steps on what the fleet repairs by itself."""

import time
from typing import Any

from behave import then, use_step_matcher, when

use_step_matcher("parse")


@when("callers go on reading for {seconds:d} seconds")
def step(context: Any, seconds: int) -> None:
    callers = [context.fleet.caller(name) for name in context.fleet.entries]
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        for caller in callers:
            caller.send("records", "/echo/1")


@then('an entry reports the repair "{kind}" because "{why}"')
def step(context: Any, kind: str, why: str) -> None:
    found = [
        repair
        for entry in context.fleet.entries.values()
        for repair in entry.status()["repairs"]
    ]
    assert any(f"{kind}:" in r and why in r for r in found), found
