"""A machine gets SIGTERM while long requests are at work."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    BOUNDS,
    Answer,
    Deployment,
    Target,
    config,
    route,
    run_case,
)

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "service"
DEADLINE_S = 10.0
SENT_BEFORE_S = 0.3
# From here on, what the target still works on is excused.
LAST_SIXTH_S = BOUNDS["grace_s"] * 5 / 6
# When targets are to be done, in seconds after the SIGTERM.
DONE_AT_S = (1.0, 3.0, 4.5, 4.93, 4.95, 4.97, 5.3, 5.6)
KINDS = {"/unsafe/": "POST", "/download/": "GET"}


async def case(deployment: Deployment) -> bool:
    """Return whether requests were cut that the rule does not excuse."""
    store, record = deployment.store, deployment.record
    routes = [
        route(
            kind.strip("/"),
            kind,
            SERVICE,
            kind=kind.strip("/"),
            timeout_s=DEADLINE_S,
            aim_s=8.0,
        )
        for kind in KINDS
    ]
    store.put("op/config", config(3, *routes, services=[SERVICE]))
    for zone in ZONES:
        name = f"target-{zone}"
        target = Target(name, service=SERVICE, zone=zone, record=record, slots=12)
        await deployment.add_target(target)
        await deployment.add_entry(f"front-{zone}", zone=zone, zones=ZONES)
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)

    front = deployment.entries[0]
    done_at_s: list[float] = []
    sending: list[asyncio.Future[Answer]] = []
    for prefix, method in KINDS.items():
        for at_s in DONE_AT_S:
            path = f"{prefix}{int((SENT_BEFORE_S + at_s) * 1000)}"
            sent = deployment.client.send(
                front.front, path, method=method, deadline_s=DEADLINE_S
            )
            sending.append(asyncio.ensure_future(sent))
            done_at_s.append(at_s)
    await asyncio.sleep(SENT_BEFORE_S)
    signalled_s = record.now_s()
    if deployment.trouble:
        front.send_signal(signal.SIGTERM)
        record.add("SIGTERM", to=front.name)

    lost = 0
    answers = await asyncio.gather(*sending)
    # Targets notice the end of a connection a little later.
    await asyncio.sleep(0.5)
    runs = {i: run for t in deployment.targets for i, run in t.runs.items()}
    for answer, at_s in zip(answers, done_at_s, strict=True):
        run = runs.get(answer.request_id, {"end": "not run", "ended_s": 0.0})
        ended_s = run["ended_s"] - signalled_s
        # The target was at work, would have been done before the last sixth, and
        # was not at work in it.
        cut = not answer.of_target and run["end"] == "dropped"
        counts = cut and ended_s < LAST_SIXTH_S and at_s < LAST_SIXTH_S
        lost += counts
        line = (
            f"{answer.request_id}: due {at_s:.2f} s after the SIGTERM; answered "
            f"{answer.ended_s - signalled_s:.2f} s after it with {answer.status}, "
            f"{'of a target' if answer.of_target else 'of its own'}; "
            f"run {run['end']} at {ended_s:.2f} s{'; LOST' if counts else ''}"
        )
        print(line)
        record.add("result", line=line)
    print(f"{lost} of {len(answers)} requests lost")
    return lost > 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case, limit_s=60))
