"""A machine that is lost in an outage of the store, in the directory after it."""

import asyncio
import json
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BOUNDS,
    LOOPBACK,
    Client,
    Entry,
    Store,
    Target,
    config,
    run_case,
)

HOST = "records.example"
ZONE = "nbi-a"
# Longest outage of this kind in the site file (`busy`).
OUTAGE_S = 8.0
# Time after the start of the outage at which the machine is lost.
LOST_AFTER_S = 0.1
QUESTION_INTERVAL_S = 0.1
# Answers that the rule allows.
MAX_ANSWERS = 3


async def resolve(entry):
    """Ask the directory of an entry; return the addresses that it names."""
    client = await Client.connect(entry.directory)
    try:
        head = (
            f"GET /-/resolve?name={HOST}&region=ke-central&zone={ZONE} HTTP/1.1\r\n"
            f"Host: {LOOPBACK}:{entry.directory}\r\n\r\n"
        )
        answer = await client.exchange(head.encode())
    finally:
        client.close()
    if answer.first[1] != "200":
        return []
    return json.loads(answer.body)["addresses"]


async def case(record, trouble, scratch):
    """Run the case; return whether the rule held."""
    store = Store(record)
    await store.start()
    leases = asyncio.ensure_future(store.expire_leases())
    target = Target("records", record, zone=ZONE)
    await target.start()
    target.register(store)
    routes = {
        "case-read": {
            "kind": "safe",
            "path_prefix": "/records/",
            "backend": "records",
            "timeout_s": 1.0,
            "aim_s": 0.25,
        }
    }
    store.put("op/config", config(1, host=HOST, routes=routes, services=["records"]))
    entries = [
        Entry(
            f"front-{ZONE}-{i}",
            scratch,
            store_address=store.address,
            record=record,
            zone=ZONE,
        )
        for i in (1, 2, 3)
    ]
    try:
        await asyncio.gather(*(entry.start() for entry in entries))
        await asyncio.sleep(5.0)
        # The one that renews its lease most often has most of it left at any moment.
        entries.sort(key=lambda entry: store.renewals(entry.name), reverse=True)
        lost, *others = entries
        lost_address = f"{LOOPBACK}:{lost.front}"
        named_first = [lost_address in await resolve(entry) for entry in entries]
        if not all(named_first):
            raise RuntimeError("not all entries are named at first")
        if trouble:
            store.go_down(busy=True)
            await asyncio.sleep(LOST_AFTER_S)
        lost.send_signal(signal.SIGKILL)
        await lost.process.wait()
        lost_at_s = record.now_s()
        if trouble:
            await asyncio.sleep(OUTAGE_S - LOST_AFTER_S)
            store.come_back()
            # From now on the other machines are in touch.
            await asyncio.sleep(BOUNDS["contact_s"])
        else:
            await asyncio.sleep(BOUNDS["contact_s"] + 3.0)
        named = 0
        for _ in range(30):
            for entry in others:
                age_s = record.now_s() - lost_at_s
                addresses = await resolve(entry)
                if lost_address in addresses and age_s > BOUNDS["contact_s"] + 3.0:
                    named += 1
                    record.add(
                        f"{entry.name} names {lost.name} and {len(addresses) - 1} "
                        f"others {age_s:.2f} s after its end"
                    )
            await asyncio.sleep(QUESTION_INTERVAL_S)
        record.add(f"answers that name the lost machine: {named}")
        return named <= MAX_ANSWERS
    finally:
        await asyncio.gather(*(entry.stop() for entry in entries))
        leases.cancel()
        store.close()
        target.close()


if __name__ == "__main__":
    run_case(case, HERE)
