"""Assembly of an entry from its parts."""

import asyncio
import random
import uuid
from collections.abc import Iterable
from typing import Any

from grpclib.server import Server
from twisted.internet.interfaces import IListeningPort

from borageramp_core import (
    Balancer,
    ClaimTable,
    DecisionLog,
    ListedEntry,
    Membership,
    Ownership,
    ServingLease,
    Suspects,
    SuspectTry,
    WarmUp,
)
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.border.callers import CallerResource
from borageramp_entry._internal.border.http import DrainingSite
from borageramp_entry._internal.border.operators import OperatorResource
from borageramp_entry._internal.border.peers import PeerService
from borageramp_entry._internal.border.services import EntryServices
from borageramp_entry._internal.border.statuspage import StatusPage
from borageramp_entry._internal.control.changes import ChangeWriter
from borageramp_entry._internal.control.configuration import (
    ConfigurationTask,
    Held,
)
from borageramp_entry._internal.control.peers import PeerTask, PeerTasks
from borageramp_entry._internal.control.registry import RegistryTask
from borageramp_entry._internal.control.status import FleetState, StatusExchange
from borageramp_entry._internal.lifecycle import PlannedStop
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.metrics import Metrics
from borageramp_entry._internal.reporting import Reporter
from borageramp_entry._internal.serving.binding import KeyBinder
from borageramp_entry._internal.serving.dispatcher import Dispatcher, DispatchParts
from borageramp_entry._internal.serving.keyed import KeyedRequests
from borageramp_entry._internal.serving.placement import PlacementTask
from borageramp_entry._internal.serving.probing import ProbeTask
from borageramp_entry._internal.serving.relay import PeerRelay
from borageramp_entry._internal.serving.upstreams import UpstreamClient
from borageramp_entry._internal.store.etcd import EtcdStore
from borageramp_settings import EntrySettings

__all__ = ["EntryApp"]

_log = get_logger(__name__)

# A peer is offered to callers this many heartbeats after its last word.
ALIVE_BEATS = 4
LIST_INTERVAL_S = 1.0
TELL_PEERS_WITHIN_S = 0.1
HOUSEKEEPING_INTERVAL_S = 1.0
CLEAN_EVERY = 60
SILENT_S = 30.0


class EntryApp:
    """One entry.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    reactor : object
        The running reactor.
    """

    def __init__(self, *, settings: EntrySettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random(settings.seed)
        self._background: list[asyncio.Task[None]] = []
        self._placements: dict[str, PlacementTask] = {}
        self._stopping = False
        self._own = ListedEntry(
            name=settings.name,
            incarnation=f"{settings.name}-{uuid.uuid4().hex[:12]}",
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
        )
        self._reporter = Reporter(
            decisions=DecisionLog(entry=settings.name),
            metrics=Metrics(name=settings.name, data_centre=settings.data_centre),
        )
        self._store = EtcdStore(
            endpoints=settings.store_endpoints,
            timeout_s=settings.store_timeout_s,
            # Not the seeded source: two entries may not choose the same lease.
            rng=random.SystemRandom(),
        )
        self._build_control()
        self._build_serving()
        self._build_borders()

    def _build_control(self) -> None:
        settings = self._settings
        incarnation = self._own.incarnation
        self._fleet = FleetState(
            membership=Membership(
                own=self._own, timeout_s=ALIVE_BEATS * settings.heartbeat_interval_s
            ),
            ownership=Ownership(member=incarnation, settle_s=settings.owner_settle_s),
            warmup=WarmUp(),
            suspects=Suspects(),
            claims=ClaimTable(incarnation=incarnation, started_at_s=self._clock()),
        )
        self._lease = ServingLease(member=incarnation, lease_s=settings.serving_lease_s)
        self._configuration = ConfigurationTask(
            store=self._store,
            poll_interval_s=settings.store_poll_interval_s,
            clock=self._clock,
            on_change=self._on_configuration,
            on_confirmed=lambda at_s: self._lease.renew_from_store(sent_at_s=at_s),
        )
        self._exchange = StatusExchange(
            fleet=self._fleet,
            reporter=self._reporter,
            revision=lambda: self._configuration.held.revision,
            serving=lambda: self._services.may_serve(),
            in_flight=self._in_flight,
            store_reachable=lambda: self._lease.store_reachable(now_s=self._clock()),
            suspect_tries=self._suspect_tries,
            clock=self._clock,
        )
        self._peers = PeerTasks(
            make=self._make_peer,
            membership=self._fleet.membership,
            seeds=settings.seeds,
        )
        self._registry = RegistryTask(
            store=self._store,
            own=self._own,
            lease_s=settings.list_lease_s,
            interval_s=LIST_INTERVAL_S,
            on_list=self._on_list,
            on_lease_taken_again=lambda: self._reporter.repaired(
                "lease taken again", entry=settings.name
            ),
            clock=self._clock,
        )

    def _make_peer(self, address: str) -> PeerTask:
        return PeerTask(
            address=address,
            exchange=self._exchange,
            configuration=self._configuration,
            lease=self._lease,
            interval_s=self._settings.heartbeat_interval_s,
            timeout_s=self._settings.heartbeat_timeout_s,
            clock=self._clock,
        )

    def _build_serving(self) -> None:
        membership = self._fleet.membership
        relay = PeerRelay(membership=membership, peers=self._peers, clock=self._clock)
        self._client = UpstreamClient()
        parts = DispatchParts(
            client=self._client,
            relay=relay,
            reporter=self._reporter,
            may_serve=lambda: self._services.may_serve(),
            tell_peers=self._tell_peers,
            clock=self._clock,
        )
        dispatcher = Dispatcher(find_task=self._placements.get, parts=parts)
        self._binder = KeyBinder(
            store=self._store,
            claims=self._fleet.claims,
            clock=self._clock,
            rng=random.Random(),
        )
        keyed = KeyedRequests(
            claims=self._fleet.claims,
            binder=self._binder,
            dispatcher=dispatcher,
            relay=relay,
            membership=membership,
            reporter=self._reporter,
            clock=self._clock,
        )
        self._services = EntryServices(
            fleet=self._fleet,
            configuration=self._configuration,
            lease=self._lease,
            dispatcher=dispatcher,
            keyed=keyed,
            reporter=self._reporter,
            address_ttl_s=self._settings.address_ttl_s,
            rng=self._rng,
            clock=self._clock,
            closing=lambda: self._stopping,
        )
        self._probes = ProbeTask(
            reactor=self._reactor,
            snapshot=self._services.snapshot,
            ownership=self._fleet.ownership,
            tasks=self._tasks,
            may_serve=self._services.may_serve,
            reporter=self._reporter,
            clock=self._clock,
        )

    def _build_borders(self) -> None:
        self._callers = CallerResource(services=self._services, clock=self._clock)
        self._site = DrainingSite(self._callers)
        page = StatusPage(services=self._services, tasks=self._tasks, clock=self._clock)
        operators = OperatorResource(
            services=self._services,
            writer=ChangeWriter(store=self._store),
            peers=self._peers,
            page=page,
            clock=self._clock,
        )
        self._operator_site = DrainingSite(operators)
        self._peer_server = Server(
            [
                PeerService(
                    services=self._services,
                    exchange=self._exchange,
                    hurry_peers=self._peers.hurry,
                    clock=self._clock,
                )
            ]
        )
        gauge = self._reporter.metrics.gauge
        gauge(
            "borageramp_revision",
            "Revision in force.",
            lambda: self._configuration.held.revision,
        )
        gauge(
            "borageramp_serving",
            "Whether the entry takes work.",
            lambda: float(self._services.may_serve()),
        )
        gauge("borageramp_in_flight", "Requests under way.", self._in_flight)
        gauge("borageramp_store_calls", "Calls to the store.", self._store_calls)

    def _store_calls(self) -> float:
        return float(self._store.calls)

    def _tasks(self) -> Iterable[PlacementTask]:
        return self._placements.values()

    def _in_flight(self) -> int:
        return self._callers.in_flight + sum(t.in_flight for t in self._tasks())

    def _suspect_tries(self) -> Iterable[SuspectTry]:
        now_s = self._clock()
        return (
            s for t in self._tasks() for s in t.balancer.isolation.tries(now_s=now_s)
        )

    async def _tell_peers(self) -> None:
        await self._peers.tell_all(within_s=TELL_PEERS_WITHIN_S)

    def _on_list(self, entries: Iterable[ListedEntry]) -> None:
        membership = self._fleet.membership
        membership.update_listed(entries)
        self._peers.update()
        self._apply_membership()

    def _apply_membership(self) -> None:
        membership = self._fleet.membership
        self._fleet.ownership.update(membership.owners(), now_s=self._clock())
        self._lease.retain_members(membership.voters())

    def _on_configuration(self, held: Held) -> None:
        snapshot = held.snapshot
        for name, service in snapshot.services.items():
            task = self._placements.get(name)
            if task is None:
                self._placements[name] = self._new_placement(name, held)
            elif not task.is_current(service, snapshot):
                task.apply(service, snapshot)
        for name in [n for n in self._placements if n not in snapshot.services]:
            del self._placements[name]
        windows = [s.policy.key_window_s for s in snapshot.services.values()]
        self._fleet.claims.window_s = max(windows, default=600.0)
        _log.info(
            "configuration in force",
            revision=held.revision,
            operation_id=held.operation_id,
        )
        self._peers.hurry()

    def _new_placement(self, name: str, held: Held) -> PlacementTask:
        return PlacementTask(
            balancer=Balancer(
                service=held.snapshot.services[name],
                snapshot=held.snapshot,
                ownership=self._fleet.ownership,
                warmup=self._fleet.warmup,
                suspects=self._fleet.suspects,
                rng=random.Random(self._rng.random()),
            ),
            may_serve=lambda: self._services.may_serve(),
            on_news=self._peers.hurry,
            reporter=self._reporter,
            clock=self._clock,
        )

    async def _housekeeping(self) -> None:
        beats = 0
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now_s = self._clock()
            self._fleet.claims.expire(now_s=now_s)
            self._fleet.membership.drop_unresponsive(now_s=now_s, timeout_s=SILENT_S)
            self._peers.update()
            self._apply_membership()
            beats += 1
            if beats % CLEAN_EVERY == 0:
                window_s = self._fleet.claims.window_s
                await self._binder.clean(longest_window_s=window_s)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then stop without cutting a request.

        Parameters
        ----------
        stop : asyncio.Event
            Set when the entry has to stop.
        """
        port = await self._listen()
        self._peers.update()
        for work in (
            self._configuration.run(),
            self._registry.run(),
            self._probes.run(),
            self._housekeeping(),
        ):
            self._background.append(asyncio.ensure_future(work))
        _log.info("started", incarnation=self._own.incarnation, **self._addresses())
        stopped = asyncio.ensure_future(stop.wait())
        await asyncio.wait(
            [stopped, *self._background], return_when=asyncio.FIRST_COMPLETED
        )
        self._raise_failed()
        await self._stop(port)

    def _raise_failed(self) -> None:
        for task in self._background:
            if task.done():
                task.result()

    def _addresses(self) -> dict[str, str]:
        return {
            "callers": self._own.caller_address,
            "operators": self._own.operator_address,
            "peers": self._own.peer_address,
        }

    async def _listen(self) -> IListeningPort:
        listen = self._settings.peer_listen_address or self._own.peer_address
        host, port = split_address(listen)
        await self._peer_server.start(host, port)
        host, port = split_address(self._own.operator_address)
        self._reactor.listenTCP(port, self._operator_site, interface=host)
        host, port = split_address(self._own.caller_address)
        listening: IListeningPort = self._reactor.listenTCP(
            port, self._site, interface=host, backlog=512
        )
        return listening

    async def _stop(self, port: IListeningPort) -> None:
        self._stopping = True
        planned = PlannedStop(
            membership=self._fleet.membership,
            registry=self._registry,
            peers=self._peers,
            claims=self._fleet.claims,
            site=self._site,
            in_flight=self._in_flight,
            settle_keyed=lambda s: self._services.keyed.settle(within_s=s),
            clock=self._clock,
        )
        await planned.run(
            port,
            address_ttl_s=self._settings.address_ttl_s,
            drain_s=self._settings.drain_s,
        )
        for task in self._background:
            task.cancel()
        self._peers.stop()
        self._peer_server.close()
        await self._client.close()
        self._store.close()
