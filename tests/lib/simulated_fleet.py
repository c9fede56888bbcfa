"""A fleet of instances that follow a simulated store, in simulated time."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import parse_qs

from borageramp_core import HistoryLostError
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
from borageramp_entry._internal.routed.records import (
    INSTANCES_PREFIX,
    decode_record,
)
from borageramp_entry._internal.routed.relay_messages import decode_query, encode_state
from borageramp_entry._internal.serving.http_client import NotConnectedError
from borageramp_entry._internal.serving.requests import Headers
from borageramp_entry._internal.store.base import Item
from borageramp_platform.boot import settings_from
from borageramp_platform.documents import read_item
from tests.lib.routed import (
    as_bytes,
    boot_document,
    config_document,
    make_instance,
    upstream_document,
)
from tests.lib.simulated_store import SimulatedStore, SimulatedStoreClient

__all__ = ["FleetMember", "SimulatedFleet"]

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAMS_PREFIX = "servers/"
LINK_DELAY_S = 0.001
LARGE_CAPACITY = 2.0
LARGE_PER_DATA_CENTRE = 2
RELAY_PORT = 7000


class _Response:
    def __init__(self, status: int, body: bytes, headers: Headers = ()) -> None:
        self.status = status
        self.headers = headers
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
        await asyncio.sleep(self._fleet.link_delay_s)
        args = parse_qs(path.partition("?")[2])
        if not self._fleet.names_era:
            del args["era"]
        after, wait_s = decode_query(args, own_era=peer.source.relay_state.era or 0)
        try:
            body = await peer.source.wait_for_changes(after=after, wait_s=wait_s)
        except RelayUnavailableError:
            return _Response(503, b"", peer.headers())
        except HistoryLostError:
            return _Response(410, b"", peer.headers())
        await asyncio.sleep(self._fleet.link_delay_s)
        if self._fleet.is_silent(peer.name):
            await asyncio.sleep(3600.0)
        return _Response(200, body, peer.headers())

    def close(self) -> None:
        """Do nothing."""


class FleetMember:
    """An instance of the fleet: its registration, and what it knows."""

    def __init__(self, fleet: "SimulatedFleet", instance: Instance, seed: int) -> None:
        self._fleet = fleet
        self.name = instance.name
        self.data_centre = instance.data_centre
        self.in_force: dict[object, float] = {}
        self.without_upstreams_at_s = float("inf")
        self._plan = RelayPlan(own=instance)
        self._rng = random.Random(seed)
        store: Any = SimulatedStoreClient(
            fleet.store,
            watch_wait_s=fleet.settings.watch_wait_s,
            is_silent=lambda: (
                fleet.is_silent(self.name) or self.name in fleet.cut_from_store
            ),
        )
        peers: Any = _PeerClient(fleet, self.name)
        self.source = ChangeSource(
            store=store,
            prefix="",
            plan=self._plan,
            gather_s=fleet.settings.gather_s,
            rng=self._rng,
            clock=_now_s,
            on_watch_started=lambda: self.registration.renew_now(),
            peers=peers,
        )
        self.state_task = FleetStateTask(
            store=store,
            prefix="",
            read_item=_read_item,
            rejoin_s=fleet.settings.rejoin_s,
            source=self.source,
            on_change=self._on_change,
            on_restored=lambda: self.registration.on_store_restored(),
            rng=self._rng,
            clock=_now_s,
        )
        self.registration = InstanceRegistrationTask(
            store=store,
            instance=instance,
            lease_s=compute_lease_s(
                absence_s=fleet.settings.absence_s, gather_s=fleet.settings.gather_s
            ),
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
        known = any(True for _ in state.registrations())
        if known:
            self.without_upstreams_at_s = float("inf")
        elif self.without_upstreams_at_s == float("inf"):
            self.without_upstreams_at_s = _now_s()
        for data_centre in state.evacuated_data_centres():
            self.in_force.setdefault(data_centre, _now_s())

    def upstream_names(self) -> set[str]:
        """Return the upstreams that the instance knows."""
        return {r.id for r in self.state_task.fleet_state.registrations()}

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres that the instance doesn't use."""
        return self.state_task.fleet_state.evacuated_data_centres()

    def usable_upstreams(self) -> set[str]:
        """Return the upstreams that the instance knows and that aren't leaving."""
        registrations = self.state_task.fleet_state.registrations()
        return {r.id for r in registrations if not r.leaving}

    def headers(self) -> Headers:
        """Return the headers of answers to instances that ask for changes."""
        return encode_state(self.source.relay_state) if self._fleet.names_era else ()

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
    bounds : dict of str to float
        The platform's bounds, which the settings of all instances follow from.
    seed : int
        Seed of all draws.

    Attributes
    ----------
    silent : set of str
        Instances that neither answer nor get answers.
    cut_from_store : set of str
        Instances that get no answers of the store.
    link_delay_s : float
        Time that a request to another instance takes, and its answer.
    accepts_connections : bool
        Whether silent instances accept connections, like one that stands still.
    names_era : bool
        Whether instances name an era to each other, unlike builds before that.
    """

    def __init__(
        self,
        *,
        sizes: dict[str, int],
        bounds: dict[str, float],
        seed: int = 1,
    ) -> None:
        self.store = SimulatedStore()
        self.settings = settings_from(json.dumps(boot_document(bounds=bounds)))
        self.silent: set[str] = set()
        self.cut_from_store: set[str] = set()
        self.link_delay_s = LINK_DELAY_S
        self.accepts_connections = True
        self.names_era = True
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

    def registered_instances(self) -> int:
        """Return how many instances are registered in the store."""
        return sum(key.startswith(INSTANCES_PREFIX) for key in self.store.items)

    def configure(self, version: int) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        self.store.put(CONFIG_KEY, as_bytes(config_document(version)))
        return _now_s()

    def evacuate(self, data_centre: str) -> float:
        """Evacuate a data centre; return the time of the acknowledgement."""
        self.store.put(EVACUATION_PREFIX + data_centre, b"{}")
        return _now_s()

    def register_upstream(self, name: str, *, leaving: bool = False) -> None:
        """Write the registration of an upstream."""
        state = "draining" if leaving else "ready"
        status = {"state": state, "seq": 1, "slow_start_s_time": 0}
        document = upstream_document(status=status)
        self.store.put(UPSTREAMS_PREFIX + name, as_bytes(document))

    def upstream_names(self) -> set[str]:
        """Return the upstreams that are registered."""
        return {
            key.removeprefix(UPSTREAMS_PREFIX)
            for key in self.store.items
            if key.startswith(UPSTREAMS_PREFIX)
        }

    def remove_upstream(self, name: str) -> float:
        """Remove a registration; return the time of the acknowledgement."""
        self.store.remove(UPSTREAMS_PREFIX + name)
        return _now_s()

    def removal_delays_s(self, *, since_s: float) -> dict[str, float]:
        """Return how long it took until an instance knew no upstream any more."""
        return {
            m.name: m.without_upstreams_at_s - since_s
            for m in self.members
            if m.name not in self.silent
        }

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
