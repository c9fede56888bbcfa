"""A small fake of the platform's key-value store, with faults to order."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.lib.stream_server import running_server

__all__ = ["FakeStore", "running_store"]

PAGE = 3


class FakeStore:
    """Items under one revision counter.

    Attributes
    ----------
    fault : str
        ``busy``, ``many``, ``silent``, ``reset``, ``lost`` (writes are done and
        not answered), ``deaf`` (watches hear nothing while they wait), ``unheard``
        (watches are never answered) or empty.
    calls : list of str
        Method and path of each call.
    era : str
        History that answers name; none if empty.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.oldest = 0
        self.fault = ""
        self.calls: list[str] = []
        self.era = ""
        self.leases: set[int] = set()
        self._changed = asyncio.Event()
        self.address = ""

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._tell(item)

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._tell({"key": key, "revision": self.revision, "removed": True})

    def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self) -> None:
        self.oldest = self.revision
        self.events.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        name = url.path.removeprefix("/-/")
        if name == "kv-range":
            return 200, self._range(query)
        if name == "kv-key":
            item = self.items.get(query["key"])
            revision = {"current_rev": self.revision}
            return (404, revision) if item is None else (200, item | revision)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._txn(body)
        return self._lease(method, name, body)

    def _range(self, query: dict[str, str]) -> Any:
        keys = sorted(
            k
            for k in self.items
            if k.startswith(query.get("path_prefix", "")) and k > query.get("after", "")
        )
        return {
            "items": [self.items[k] for k in keys[:PAGE]],
            "has_more": len(keys) > PAGE,
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        if after < self.oldest:
            return 410, {}
        changed = self._changed
        if self.fault == "unheard":
            await asyncio.sleep(3600)
        if self.fault == "deaf":
            await asyncio.sleep(int(query["wait_ms"]) / 1000)
        elif not [e for e in self.events if e["revision"] > after]:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        if after < self.oldest:
            return 410, {}
        events = [e for e in self.events if e["revision"] > after]
        return 200, {"events": events, "current_rev": self.revision}

    def _txn(self, body: Any) -> tuple[int, Any]:
        for row in body.get("expected", []):
            found = self.items.get(row["key"], {"revision": 0})
            if found["revision"] != row["revision"]:
                return 412, {"items": [found] if "value" in found else []}
        for put in body.get("puts", []):
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            self.put(put["key"], base64.b64decode(put["value"]), lease=put["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _lease(self, method: str, name: str, body: Any) -> tuple[int, Any]:
        if name == "kv-lease":
            lease = 100 + len(self.leases)
            self.leases.add(lease)
            return 200, {"lease": lease, "ttl_s_time": body["ttl_s_time"]}
        lease = int(name.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
        return 200, {"ttl_s_time": 3}

    def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._exchange(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        method, target, _ = head.split("\r\n")[0].split(" ")
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        raw = await reader.readexactly(length)
        self.calls.append(f"{method} {target.partition('?')[0]}")
        status: int = 503
        reply: Any = {}
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
            writer.transport.abort()
            return False
        if self.fault == "many":
            status = 429
        elif self.fault != "busy":
            status, reply = await self.answer(
                method, target, json.loads(raw) if raw else {}
            )
        if self.fault == "lost" and method == "POST":
            await asyncio.sleep(3600)
        body = json.dumps(reply).encode()
        era = f"store-era: {self.era}\r\n".encode() if self.era else b""
        status_line = b"HTTP/1.1 %d x\r\n%scontent-length: %d\r\n\r\n"
        writer.write(status_line % (status, era, len(body)) + body)
        await writer.drain()
        return True


@asynccontextmanager
async def running_store() -> AsyncIterator[FakeStore]:
    """Run a store on a free port."""
    store = FakeStore()
    async with running_server(store.serve) as port:
        store.address = f"127.0.0.1:{port}"
        yield store
