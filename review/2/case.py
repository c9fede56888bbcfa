"""Downloads that are being sent when an entry ends its planned stop."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import LOOPBACK, Entry, Store, Target, config, run_case  # noqa: E402

HOST = "guides.example"
ZONE = "dk-east-a"
# Largest answer of guide-pack, and a time of work within what the site names.
BODY_BYTES = 540_000
WORK_S = 0.4
DEADLINE_MS = 4000
CLIENTS = 6
# Time after SIGTERM at which the clients connect. Their addresses hold for 2 s, for
# some clients three times as long; the entry listens for 2.5 s.
CONNECTED_AFTER_S = 2.2
# The round trip between client and entry on the site, Ethernet segments, and a small
# window: the client takes one window in each round trip.
ROUND_TRIP_S = 0.016
SEGMENT_BYTES = 1448
WINDOW_BYTES = 16_384


async def download(port, request_id, record):
    """Send a download and read its answer; return whether it came whole."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        await loop.sock_connect(sock, (LOOPBACK, port))
        head = (
            f"GET /guides/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Borageramp-Request-Id: {request_id}\r\n"
            f"Borageramp-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        )
        record.add(f"client sends {request_id}")
        await loop.sock_sendall(sock, head.encode())
        answer = b""
        end = "with the connection closed"
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while part := await loop.sock_recv(sock, WINDOW_BYTES):
                    answer += part
                    got = len(answer.partition(b"\r\n\r\n")[2])
                    if got >= BODY_BYTES:
                        end = "whole"
                        break
                    await asyncio.sleep(ROUND_TRIP_S)
        except ConnectionError as error:
            end = f"with {error!r}"
        except TimeoutError:
            end = "at its deadline"
    head, _, body = answer.partition(b"\r\n\r\n")
    status = head.split(b"\r\n")[0].decode("latin-1")
    record.add(
        f"client: answer to {request_id} ends {end}: {status!r}, "
        f"{len(body)} of {BODY_BYTES} bytes"
    )
    return end == "whole" and status.startswith("HTTP/1.1 200")


async def case(record, trouble, scratch):
    """Run the case; return whether the rule held."""
    store = Store(record)
    await store.start()
    body = bytes(i % 251 for i in range(BODY_BYTES))
    targets = [
        Target("arkiv", record, zone=ZONE, slots=3, work_s=WORK_S, body=body)
        for _ in range(8)
    ]
    for target in targets:
        await target.start()
        target.register(store)
    routes = {
        "guide-pack": {
            "kind": "download",
            "path_prefix": "/guides/",
            "backend": "arkiv",
            "timeout_s": 4.0,
            "aim_s": 0.6,
        }
    }
    store.put("op/config", config(1, host=HOST, routes=routes, services=["arkiv"]))
    entry = Entry(
        "front-dk-east-a-1",
        scratch,
        store_address=store.address,
        record=record,
        zone=ZONE,
    )
    try:
        await entry.start()
        if not await download(entry.front, "before", record):
            raise RuntimeError("a download failed before the stop")
        if trouble:
            entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(CONNECTED_AFTER_S)
        names = [f"during-{i}" for i in range(CLIENTS)]
        whole = await asyncio.gather(*(download(entry.front, n, record) for n in names))
        arrived = {name for target in targets for _, name in target.arrivals}
        lost = [
            name
            for name, is_whole in zip(names, whole, strict=True)
            if name in arrived and not is_whole
        ]
        record.add(f"passed on to a target and not answered whole: {lost}")
        if entry.process.returncode is not None:
            record.add(f"the entry ended with status {entry.process.returncode}")
        return not lost
    finally:
        await entry.stop()
        store.close()
        for target in targets:
            target.close()


if __name__ == "__main__":
    run_case(case, HERE)
