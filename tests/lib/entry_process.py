"""An entry process under test, and upstreams for it."""

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import yaml

from borageramp_bench.processes import free_port
from borageramp_core.routing import Instance
from borageramp_entry._internal.serving.http_response import HttpResponse
from borageramp_entry.routed import HttpClient
from tests.lib.platform_store import FakeStore, running_store
from tests.lib.routed import (
    HERE,
    as_bytes,
    config_document,
    make_instance,
    upstream_document,
)
from tests.lib.stream_server import running_server

__all__ = [
    "GRACE_S",
    "WORK_S",
    "EntryProcess",
    "StubUpstream",
    "peak_bytes",
    "read_slowly",
    "run_with_instance",
    "run_with_log",
]

ROOT = Path(__file__).resolve().parents[2]
WORK_S = 0.6
# Time after SIGTERM at which the platform would kill an entry.
GRACE_S = 4.0
ROUTE_TIMEOUT_S = 3.0
# Small segments and windows, as over a real network: on loopback, the system would
# take large answers whole.
SEGMENT_BYTES = 1448
WINDOW_BYTES = 16_384


class StubUpstream:
    """Answers requests after ``WORK_S``, and health checks immediately.

    Attributes
    ----------
    address : str
        Address that it listens on.
    endless : bool
        Whether the bodies of its answers never end.
    reads : bool
        Whether it reads the bodies of requests.
    body : bytes
        Body of its answers.
    work_s : float
        Time until it answers a request.
    begun, served : int
        Requests that it has begun to work on, and those that it has answered.
    """

    def __init__(self) -> None:
        self.begun = 0
        self.served = 0
        self.address = ""
        self.endless = False
        self.reads = True
        self.body = b"done"
        self.work_s = WORK_S

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                echo = echoed_request_id(head)
                body = b"well"
                if "/healthz" not in head and not self.reads:
                    await asyncio.sleep(3600)
                if "/healthz" not in head and self.endless:
                    await send_endless_answer(writer, echo)
                if "/healthz" not in head:
                    self.begun += 1
                    await asyncio.sleep(self.work_s)
                    self.served += 1
                    body = self.body
                writer.write(
                    b"HTTP/1.1 200 OK\r\nBorageramp-Server-Load: 0,0,4,100\r\n"
                    b"Borageramp-Response-Signature: s\r\n"
                    + echo
                    + b"Content-Length: %d\r\n\r\n" % len(body)
                    + body
                )
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
        ):
            writer.close()


def echoed_request_id(head: str) -> bytes:
    """Return the header line that names the request; empty for a health check."""
    lines = [n for n in head.split("\r\n") if n.startswith("borageramp-request-id:")]
    return "".join(f"{line}\r\n" for line in lines).encode()


async def send_endless_answer(writer: asyncio.StreamWriter, echo: bytes) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nBorageramp-Response-Signature: s\r\n"
        + echo
        + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    while True:
        writer.write(b"8000\r\n" + b"x" * 32_768 + b"\r\n")
        await writer.drain()


class EntryProcess:
    """An entry process and the ports that it listens on.

    Parameters
    ----------
    store : FakeStore
        Store that it uses.
    folder : Path
        Where its settings file is written.
    name, data_centre : str
        Its name, and where it says that it is.
    root : Path
        Checkout that it runs from; by default this one.
    limits : dict, optional
        Limits of its machine, as the platform names them.
    max_descriptors : int, optional
        Open descriptors that it may have; by default as many as this process.
    """

    def __init__(
        self,
        store: FakeStore,
        folder: Path,
        *,
        name: str = "front-1",
        data_centre: str = HERE,
        root: Path = ROOT,
        limits: dict[str, Any] | None = None,
        max_descriptors: int | None = None,
    ) -> None:
        self.name = name
        self.root = root
        self.data_centre = data_centre
        self.front, self.check, self.directory = (free_port() for _ in range(3))
        self.internal = [free_port(), free_port()]
        self.boot = folder / f"{name}.yaml"
        self._store = store
        self._limits = limits or {}
        self._max_descriptors = max_descriptors
        self.write_boot(probes_per_s=60)
        self.client = HttpClient(idle_s=5.0, max_idle=4)

    def write_boot(self, *, probes_per_s: float) -> None:
        bounds = {
            "grace_s": GRACE_S,
            "ttl_max_s": 0.5,
            "probes_per_s": probes_per_s,
        }
        boot = {
            "node_name": self.name,
            "ip": "127.0.0.1",
            "zone": self.data_centre,
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "readiness": f"127.0.0.1:{self.check}",
                "directory": f"127.0.0.1:{self.directory}",
            },
            "internal_ports": self.internal,
            "bounds": bounds,
            "limits": self._limits,
            "platform": {"address": self._store.address},
        }
        self.boot.write_text(yaml.safe_dump(boot))

    def record(self) -> Instance:
        """Return the record by which it registers itself, but for its incarnation."""
        return make_instance(
            self.name,
            data_centre=self.data_centre,
            caller_address=f"127.0.0.1:{self.front}",
            check_address=f"127.0.0.1:{self.check}",
            peer_address=f"127.0.0.1:{self.internal[0]}",
        )

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.root / "platform" / "start.py"),
            env=os.environ | {"BORAGERAMP_BOOT": str(self.boot)},
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=self._limit_descriptors if self._max_descriptors else None,
        )

    def _limit_descriptors(self) -> None:
        assert self._max_descriptors is not None
        soft_and_hard = (self._max_descriptors, self._max_descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, soft_and_hard)

    async def send(
        self,
        port: int,
        path: str,
        *,
        method: str = "GET",
        request_id: str = "r1",
        deadline_ms: int = 3000,
        body: bytes = b"",
    ) -> HttpResponse:
        return await self.client.request(
            ("127.0.0.1", port),
            method,
            path,
            headers=(
                ("host", b"a.example"),
                ("borageramp-request-id", request_id.encode()),
                ("borageramp-deadline-ms", b"%d" % deadline_ms),
            ),
            body=body,
            connect_timeout_s=1.0,
        )

    async def get(self, port: int, path: str, **request: Any) -> tuple[int, bytes]:
        response = await self.send(port, path, **request)
        body = b""
        while part := await response.read():
            body += part
        return response.status, body

    async def wait_until_ready(self) -> None:
        """Wait until the process is ready; fail if it ends first."""
        while True:
            if self.process.returncode is not None:
                out, _ = await self.process.communicate()
                raise AssertionError(f"{self.name} ended: {out.decode()[-4000:]}")
            try:
                if (await self.get(self.check, "/-/readyz"))[0] == 200:
                    return
            except Exception:
                # Not listening yet.
                pass
            await asyncio.sleep(0.05)

    async def stop(self) -> list[str]:
        """Stop the process; return the events of its log."""
        return [line["event"] for line in await self.stop_with_log()]

    async def stop_with_log(self) -> list[dict[str, Any]]:
        """Stop the process; return the lines of its log."""
        self.client.close()
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        out, _ = await self.process.communicate()
        return [json.loads(line) for line in out.decode().splitlines()]


def peak_bytes(instance: EntryProcess) -> int:
    """Return the peak resident memory of a process that runs."""
    assert instance.process.returncode is None, "the process has ended"
    status = Path(f"/proc/{instance.process.pid}/status").read_text()
    (line,) = (text for text in status.splitlines() if text.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


async def read_slowly(
    port: int, request: bytes, *, pause_s: float, delay_s: float = 0.0
) -> bytes:
    """Send a request; return what was read until the connection ended.

    Parameters
    ----------
    port : int
        Port on the loopback address.
    request : bytes
        The request.
    pause_s : float
        Pause after each window that was read.
    delay_s : float
        Time from the request until the first window is read.
    """
    loop = asyncio.get_running_loop()
    answer = b""
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, request)
        await asyncio.sleep(delay_s)
        try:
            while part := await loop.sock_recv(sock, WINDOW_BYTES):
                answer += part
                await asyncio.sleep(pause_s)
        except ConnectionError:
            return answer
    return answer


InstanceTest = Callable[[EntryProcess, FakeStore, StubUpstream], Awaitable[None]]


def run_with_instance(folder: Path, test: InstanceTest) -> list[str]:
    """Run a test with an entry process; return the events of its log."""
    return [line["event"] for line in run_with_log(folder, test)]


def run_with_log(
    folder: Path, test: InstanceTest, *, route_timeout_s: float = ROUTE_TIMEOUT_S
) -> list[dict[str, Any]]:
    """Run a test with an entry process; return the lines of its log."""

    async def run() -> list[dict[str, Any]]:
        upstream = StubUpstream()
        async with running_server(upstream.serve) as port, running_store() as store:
            config = config_document(timeout_s=route_timeout_s)
            store.put("op/config", as_bytes(config))
            address = upstream.address = f"127.0.0.1:{port}"
            store.put("servers/u1", as_bytes(upstream_document(address=address)))
            instance = EntryProcess(store, folder)
            await instance.start()
            try:
                async with asyncio.timeout(60):
                    await instance.wait_until_ready()
                    await test(instance, store, upstream)
            finally:
                lines = await instance.stop_with_log()
        return lines

    return asyncio.run(run())
