"""Requests that follow a large upload on the same connection of their client."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Client, Entry, Store, Target, config, run_case  # noqa: E402

HOST = "lime.example"
ZONE = "tas-north"
# A body over 256 KiB and the mean one of soil-uploads; the largest has 360,000 bytes.
LARGE_BYTES, MEAN_BYTES = 270_000, 60_000
DEADLINE_MS = 2500
TIMEOUT_S = 1.2
# Time after the timeout at which the rule wants an answer.
ANSWER_SLACK_S = 0.5
PAUSE_S = 0.2
CLIENTS = 12
# Number and share of unanswered requests that the rule names.
MIN_UNANSWERED, MAX_SHARE = 8, 0.25


async def send(client, method_path, request_id, body, record):
    """Send a request and return its status; ``None`` without an answer in time."""
    head = (
        f"{method_path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Borageramp-Request-Id: {request_id}\r\n"
        f"Borageramp-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    sent_at_s = record.now_s()
    record.add(f"client sends {request_id}, {len(body)} bytes")
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            answer = await client.exchange(head.encode() + body)
    except TimeoutError:
        record.add(f"client: no answer to {request_id} until its deadline")
        return None, DEADLINE_MS / 1000
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        record.add(f"client: {request_id} ends with {error!r}")
        return None, record.now_s() - sent_at_s
    took_s = record.now_s() - sent_at_s
    record.add(f"client: {request_id} is answered {answer.first[1]}, {took_s:.3f} s")
    return answer.first[1], took_s


async def run_client(entry, number, body, record):
    """Send an upload, and then a booking; return whether that was answered in time."""
    client = await Client.connect(entry.front)
    try:
        status, _ = await send(
            client, f"POST /soil/{number}", f"upload-{number}", body, record
        )
        if status != "200":
            raise RuntimeError(f"upload {number} was not served")
        await asyncio.sleep(PAUSE_S)
        status, took_s = await send(
            client, f"POST /bookings/{number}", f"booking-{number}", b"paddock", record
        )
    finally:
        client.close()
    return status is not None and took_s <= TIMEOUT_S + ANSWER_SLACK_S


async def case(record, trouble, scratch):
    """Run the case; return whether the rule held."""
    store = Store(record)
    await store.start()
    targets = [
        Target(service, record, zone=ZONE, slots=3, work_s=0.11)
        for service in ["paddock-files"] * 6 + ["bookings"] * 6
    ]
    for target in targets:
        await target.start()
        target.register(store)
    routes = {
        "soil-uploads": {
            "kind": "upload",
            "path_prefix": "/soil/",
            "backend": "paddock-files",
            "timeout_s": DEADLINE_MS / 1000,
            "aim_s": 0.4,
        },
        "booking-confirms": {
            "kind": "unsafe",
            "path_prefix": "/bookings/",
            "backend": "bookings",
            "timeout_s": TIMEOUT_S,
            "aim_s": 0.3,
        },
    }
    services = ["paddock-files", "bookings"]
    store.put("op/config", config(1, host=HOST, routes=routes, services=services))
    entry = Entry(
        "front-tas-north-1",
        scratch,
        store_address=store.address,
        record=record,
        zone=ZONE,
    )
    body = os.urandom(LARGE_BYTES if trouble else MEAN_BYTES)
    try:
        await entry.start()
        answered = await asyncio.gather(
            *(run_client(entry, i, body, record) for i in range(CLIENTS))
        )
        arrived = {name for target in targets for _, name in target.arrivals}
        unanswered = answered.count(False)
        reached = sum(f"booking-{i}" in arrived for i in range(CLIENTS))
        record.add(f"bookings without an answer in time: {unanswered} of {CLIENTS}")
        record.add(f"bookings that reached a target: {reached}")
        return unanswered < MIN_UNANSWERED or unanswered <= MAX_SHARE * CLIENTS
    finally:
        await entry.stop()
        store.close()
        for target in targets:
            target.close()


if __name__ == "__main__":
    run_case(case, HERE)
