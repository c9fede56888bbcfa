"""A fleet of instances that follow a simulated store, in simulated time."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

from borageramp_core import HistoryLostError, OutcomeUnknownError, StoreUnavailableError
from borageramp_core.routing import Instance, RelayPlan, StateItem
from borageramp_entry._internal.routed.change_source import (
    ChangeSource,
    RelayUnavailableError,
)
from borageramp_entry._internal.routed.fleet_state import FleetStateTask
from borageramp_entry._internal.routed.instance_registration import (
    InstanceRegistrationTask,
    compute_lease_s,
)
from borageramp_entry._internal.routed.records import decode_record
from borageramp_entry._internal.serving.http_client import NotConnectedError
from borageramp_entry._internal.store.base import Change, Commit, Item, Listing, Outcome
from borageramp_platform.documents import read_item
from tests.lib.routed import as_bytes, config_document, make_instance

__all__ = ["FleetMember", "SimulatedFleet", "SimulatedStore"]

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
CALL_TIMEOUT_S = 1.5
STORE_DELAY_S = 0.004
LINK_DELAY_S = 0.001
LARGE_CAPACITY = 2.0
LARGE_PER_DATA_CENTRE = 2
RELAY_PORT = 7000
ABSENCE_S = 6.0
REJOIN_S = 2.0


class SimulatedStore:
    """Items with one revision counter, watches and leases.

    Attributes
    ----------
    calls : int
        Calls that count in full.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.log: list[tuple[int, str, Item | None]] = []
        self.revision = 1
        self.calls = 0
        self._pending_watches: set[int] = set()
        self._unheard_watches: set[int] = set()
        self._watch_count = 0
        self._lease_count = 0
        self._leases: dict[int, tuple[float, float, set[str]]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = Item(key=key, value=value, revision=self.revision)
        self.items[key] = item
        self._append(key, item)

    def remove(self, key: str) -> None:
        """Delete an item."""
        self.revision += 1
        del self.items[key]
        self._append(key, None)

    def _append(self, key: str, item: Item | None) -> None:
        self.log.append((self.revision, key, item))
        self._changed.set()
        self._changed = asyncio.Event()

    def lose_pending_watches(self) -> None:
        """Answer no watch that waits now; later ones, and other calls, are answered."""
        self._unheard_watches |= self._pending_watches

    async def wait_for_changes(self, *, after: int, wait_s: float) -> None:
        """Wait for a change after a revision, at most ``wait_s`` seconds."""
        self._watch_count += 1
        number = self._watch_count
        self._pending_watches.add(number)
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= after or number in self._unheard_watches:
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self._pending_watches.discard(number)
        if number in self._unheard_watches:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailableError("no answer")

    def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        self._lease_count += 1
        self._leases[self._lease_count] = (_now_s() + ttl_s, ttl_s, set())
        return self._lease_count

    def keep(self, lease_id: int) -> bool:
        """Renew a lease; return whether it exists."""
        if lease_id not in self._leases:
            return False
        _, ttl_s, keys = self._leases[lease_id]
        self._leases[lease_id] = (_now_s() + ttl_s, ttl_s, keys)
        return True

    def attach(self, lease_id: int, key: str) -> None:
        """Delete a key when a lease ends."""
        self._leases[lease_id][2].add(key)

    async def expire_leases(self) -> None:
        """End leases that are not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for lease_id, (until_s, _, keys) in list(self._leases.items()):
                if until_s <= _now_s():
                    del self._leases[lease_id]
                    for key in keys & set(self.items):
                        self.remove(key)


class _StoreClient:
    """The store as one instance reaches it."""

    def __init__(self, fleet: "SimulatedFleet", name: str) -> None:
        self._fleet = fleet
        self._store = fleet.store
        self._name = name

    async def _call(self) -> None:
        self._store.calls += 1
        if self._fleet.is_silent(self._name):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError("no answer")
        await asyncio.sleep(STORE_DELAY_S)

    async def read(self, prefix: str) -> Listing:
        await self._call()
        items = tuple(i for k, i in self._store.items.items() if k.startswith(prefix))
        return Listing(items=items, revision=self._store.revision)

    async def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[Change]:
        after = from_revision - 1
        wait_s = self._fleet.first_watch_wait_s
        while True:
            await self._call()
            await self._store.wait_for_changes(after=after, wait_s=wait_s)
            wait_s = self._fleet.watch_wait_s
            if self._fleet.is_silent(self._name):
                await asyncio.sleep(CALL_TIMEOUT_S)
                raise StoreUnavailableError("no answer")
            latest = {k: i for r, k, i in self._store.log if r > after}
            after = self._store.revision
            yield Change(
                written=tuple(i for i in latest.values() if i is not None),
                deleted=tuple(k for k, i in latest.items() if i is None),
                revision=after,
            )

    async def commit(self, commits: list[Commit]) -> list[Outcome]:
        await self._call()
        for put in (p for c in commits for p in c.puts):
            assert put.value is not None
            self._store.put(put.key, put.value)
            self._store.attach(put.lease_id, put.key)
        return [Outcome(succeeded=True, revision=self._store.revision)]

    async def grant_lease(self, ttl_s: float) -> int:
        await self._call()
        return self._store.grant(ttl_s)

    async def keep_lease(self, lease_id: int) -> bool:
        self._store.calls -= 1
        await self._call()
        return self._store.keep(lease_id)


class _Response:
    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self._body = body

    async def read_all(self) -> bytes:
        return self._body


class _PeerClient:
    """HTTP client of an instance for others, over simulated links."""

    def __init__(self, fleet: "SimulatedFleet", name: str) -> None:
        self._fleet = fleet
        self._name = name
        self._connected: set[int] = set()

    async def request(
        self,
        place: tuple[str, int],
        method: str,
        path: str,
        *,
        connect_timeout_s: float,
    ) -> _Response:
        peer = self._fleet.members[place[1] - RELAY_PORT]
        if self._fleet.is_silent(peer.name) or self._fleet.is_silent(self._name):
            if place[1] in self._connected:
                self._connected.discard(place[1])
                await asyncio.sleep(3600.0)
            await asyncio.sleep(connect_timeout_s)
            if not self._fleet.accepts_connections:
                raise NotConnectedError("no answer")
            await asyncio.sleep(3600.0)
        self._connected.add(place[1])
        await asyncio.sleep(LINK_DELAY_S)
        query = dict(p.split("=") for p in path.partition("?")[2].split("&"))
        try:
            body = await peer.source.wait_for_changes(
                after=int(query["after"]), wait_s=float(query["wait_s"])
            )
        except RelayUnavailableError:
            return _Response(503, b"")
        except HistoryLostError:
            return _Response(410, b"")
        await asyncio.sleep(LINK_DELAY_S)
        if self._fleet.is_silent(peer.name):
            await asyncio.sleep(3600.0)
        return _Response(200, body)

    def close(self) -> None:
        """Do nothing."""


class FleetMember:
    """An instance of the fleet: its registration, and what it knows."""

    def __init__(self, fleet: "SimulatedFleet", instance: Instance, seed: int) -> None:
        self.name = instance.name
        self.data_centre = instance.data_centre
        self.in_force: dict[object, float] = {}
        self._plan = RelayPlan(own=instance)
        self._rng = random.Random(seed)
        store: Any = _StoreClient(fleet, self.name)
        peers: Any = _PeerClient(fleet, self.name)
        self.source = ChangeSource(
            store=store,
            prefix="",
            plan=self._plan,
            gather_s=fleet.gather_s,
            clock=_now_s,
            on_watch_started=lambda: self.registration.renew_now(),
            peers=peers,
        )
        self.state_task = FleetStateTask(
            store=store,
            prefix="",
            read_item=_read_item,
            rejoin_s=REJOIN_S,
            source=self.source,
            on_change=self._on_change,
            rng=self._rng,
            clock=_now_s,
        )
        self.registration = InstanceRegistrationTask(
            store=store,
            instance=instance,
            lease_s=compute_lease_s(absence_s=ABSENCE_S, gather_s=fleet.gather_s),
            ready=lambda: self.state_task.initial_sync_done,
            is_relay=lambda: self.source.is_relay,
            on_store_checked=lambda ok: self.state_task.on_store_checked(answered=ok),
            rng=self._rng,
        )

    @property
    def is_relay(self) -> bool:
        """Whether this instance watches the store."""
        return self.source.is_relay

    def _on_change(self) -> None:
        state = self.state_task.fleet_state
        self._plan.update(state.instances())
        self.registration.on_instances_changed({i.name for i in state.instances()})
        version = state.config.version if state.config is not None else 0
        self.in_force.setdefault(version, _now_s())
        for data_centre in state.evacuated_data_centres():
            self.in_force.setdefault(data_centre, _now_s())

    def tasks(self) -> list[asyncio.Task[None]]:
        """Start what the instance runs."""
        return [
            asyncio.ensure_future(self.state_task.run()),
            asyncio.ensure_future(self.registration.run()),
        ]


class SimulatedFleet:
    """Instances in several data centres, two large ones in each.

    Parameters
    ----------
    sizes : dict of str to int
        Instances by data centre.
    gather_s : float
        Time in seconds for which relays gather changes.
    watch_wait_s, first_watch_wait_s : float
        How long the store lets a watch wait, and the first one.
    seed : int
        Seed of all draws.

    Attributes
    ----------
    silent : set of str
        Instances that neither answer nor get answers.
    accepts_connections : bool
        Whether silent instances accept connections, like one that stands still.
    """

    def __init__(
        self,
        *,
        sizes: dict[str, int],
        gather_s: float,
        watch_wait_s: float = 30.0,
        first_watch_wait_s: float = 0.5,
        seed: int = 1,
    ) -> None:
        self.store = SimulatedStore()
        self.gather_s = gather_s
        self.watch_wait_s = watch_wait_s
        self.first_watch_wait_s = first_watch_wait_s
        self.silent: set[str] = set()
        self.accepts_connections = True
        places = [(dc, i) for dc, size in sizes.items() for i in range(size)]
        self.members = [
            FleetMember(
                self,
                make_instance(
                    f"{data_centre}-{i}",
                    data_centre=data_centre,
                    capacity=LARGE_CAPACITY if i < LARGE_PER_DATA_CENTRE else 0.2,
                    peer_address=f"127.0.0.1:{RELAY_PORT + number}",
                ),
                seed * 1000 + number,
            )
            for number, (data_centre, i) in enumerate(places)
        ]
        self._tasks: list[asyncio.Task[None]] = []

    def is_silent(self, name: str) -> bool:
        """Return whether an instance is silent."""
        return name in self.silent

    def relays(self) -> list[FleetMember]:
        """Return the instances that watch the store."""
        return [m for m in self.members if m.is_relay]

    def configure(self, version: int) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        self.store.put(CONFIG_KEY, as_bytes(config_document(version)))
        return _now_s()

    def evacuate(self, data_centre: str) -> float:
        """Evacuate a data centre; return the time of the acknowledgement."""
        self.store.put(EVACUATION_PREFIX + data_centre, b"{}")
        return _now_s()

    def delays_s(self, what: object, *, since_s: float) -> dict[str, float]:
        """Return how long a version or evacuation took, for all but silent ones."""
        return {
            m.name: m.in_force.get(what, float("inf")) - since_s
            for m in self.members
            if m.name not in self.silent
        }

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["SimulatedFleet"]:
        """Run all instances until each follows the store or a relay."""
        self._tasks = [asyncio.ensure_future(self.store.expire_leases())]
        for member in self.members:
            self._tasks += member.tasks()
        await asyncio.sleep(10.0)
        try:
            yield self
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _read_item(item: Item) -> StateItem | None:
    return decode_record(item) or read_item(item)
