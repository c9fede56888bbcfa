"""Assembly of an entry that serves routes."""

import asyncio
import contextlib
import random
import socket
import uuid
from typing import TYPE_CHECKING, Any

from borageramp_core.routing import (
    ColdAllowance,
    ColdBounds,
    Fact,
    Instance,
    RelayPlan,
    UpstreamView,
)
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.border.server import HttpHandler, HttpServer
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.change_source import ChangeSource
from borageramp_entry._internal.routed.crashes import CrashWatch, make_suspects
from borageramp_entry._internal.routed.dispatch import RoutedDispatcher
from borageramp_entry._internal.routed.fleet_state import FleetStateTask
from borageramp_entry._internal.routed.front import Front
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.routed.instance_registration import (
    InstanceRegistrationTask,
    compute_lease_s,
)
from borageramp_entry._internal.routed.listener import BACKLOG
from borageramp_entry._internal.routed.pages import (
    ChangesResource,
    DirectoryResource,
    MetricsResource,
    ReadinessResource,
)
from borageramp_entry._internal.routed.pools import Pools
from borageramp_entry._internal.routed.ports import Platform
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.records import decode_record
from borageramp_entry._internal.serving.upstreams import UpstreamClient
from borageramp_entry._internal.store.base import Item

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics

__all__ = ["RoutedApp"]

_log = get_logger(__name__)

# Idle connections to upstreams are closed before most upstreams do so.
UPSTREAM_IDLE_S = 8.0
STOP_STEP_S = 0.05
# Bandwidth that the traffic of one core's work takes: with less, the link and
# not the core bounds what a machine carries.
MBPS_A_CORE = 50.0
METRICS_AFTER_S = 2.0
# Callers that connect while an entry starts wait for its first reading of the
# store no longer than this; then they are told to come back.
FIRST_READ_S = 0.3


class RoutedApp:
    """One entry that serves routes.

    Parameters
    ----------
    platform : Platform
        The platform that it runs on.
    listener : socket.socket
        Where callers connect.
    """

    def __init__(self, *, platform: Platform, listener: socket.socket) -> None:
        self._platform = platform
        self._listener = listener
        self._settings = platform.load_settings()
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random()
        self._closing = False
        self._known = asyncio.Event()
        self._background: list[asyncio.Task[Any]] = []
        self._pages: list[asyncio.Server] = []
        self._listing_task: asyncio.Task[None]
        settings = self._settings
        self._own = Instance(
            name=settings.name,
            incarnation=uuid.uuid4().hex[:12],
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            check_address=settings.check_address or settings.caller_address,
            peer_address=settings.peer_address,
            capacity=min(settings.cores, settings.link_mbps / MBPS_A_CORE),
        )
        self._store = platform.open_store(settings)
        self._build_fleet_state_sync()
        self._build_serving()

    def _build_fleet_state_sync(self) -> None:
        settings = self._settings
        self._relays = RelayPlan(own=self._own)
        self._source = ChangeSource(
            store=self._store,
            prefix=self._platform.watched_prefix,
            plan=self._relays,
            gather_s=settings.gather_s,
            clock=self._clock,
            on_watch_started=lambda: self._listing.renew_now(),
        )
        self._fleet_state_task = FleetStateTask(
            store=self._store,
            prefix=self._platform.watched_prefix,
            read_item=self._read_item,
            rejoin_s=settings.rejoin_s,
            source=self._source,
            on_change=self._on_change,
            rng=self._rng,
            clock=self._clock,
        )
        self._listing = InstanceRegistrationTask(
            store=self._store,
            instance=self._own,
            lease_s=compute_lease_s(
                absence_s=settings.absence_s, gather_s=settings.gather_s
            ),
            # Before there is any configuration too, so that the first one is
            # passed on by few.
            ready=lambda: (
                not self._closing and self._fleet_state_task.initial_sync_done
            ),
            is_relay=lambda: self._source.is_relay,
            on_store_checked=lambda answered: self._fleet_state_task.on_store_checked(
                answered=answered
            ),
            rng=self._rng,
        )
        self._instances = InstanceDirectory(
            own=self._own,
            ready_path=self._platform.directory.ready_path,
            store_age_s=self._fleet_state_task.age_s,
            rng=self._rng,
        )

    def _build_serving(self) -> None:
        bounds = self._settings.bounds
        self._client = UpstreamClient(
            dialect=self._platform.upstreams,
            idle_s=UPSTREAM_IDLE_S,
        )
        self._crashes = CrashWatch(
            instance=self._own.name,
            suspects=make_suspects(),
            store=self._store,
            client=self._client,
        )
        cold = ColdAllowance(
            member=self._own.name,
            bounds=ColdBounds(overage=bounds.cold_overage, slack=bounds.cold_slack),
        )
        self._pools = Pools(
            member=self._own.name,
            data_centre=self._own.data_centre,
            bounds=bounds,
            cold=cold,
            on_gone=self._on_upstream_gone,
            rng=self._rng,
        )
        self._prober = Prober(
            client=self._client,
            pools=self._pools,
            health_path=self._health_path,
            clock=self._clock,
        )
        dispatcher = RoutedDispatcher(
            pools=self._pools,
            prober=self._prober,
            client=self._client,
            crashes=self._crashes,
            rng=self._rng,
            clock=self._clock,
        )
        self._front = Front(
            world=self._fleet_state_task.world,
            dispatcher=dispatcher,
            dialect=self._platform.callers,
            closing=lambda: self._closing,
            rng=self._rng,
            clock=self._clock,
        )
        self._server = HttpServer(self._front)

    async def _serve_metrics(self) -> None:
        """Begin to measure, once there has been time to take up work.

        Loading the instruments takes a tenth of the time of a start, and
        callers wait for that.
        """
        await asyncio.sleep(METRICS_AFTER_S)
        from borageramp_entry._internal.metrics import Metrics

        metrics = Metrics(name=self._own.name, data_centre=self._own.data_centre)
        self._add_gauges(metrics)
        self._front.metrics = metrics
        page = MetricsResource(metrics=metrics)
        await self._listen_at(self._settings.metrics_address, page)

    def _add_gauges(self, metrics: "Metrics") -> None:
        gauge = metrics.gauge
        gauge("borageramp_in_flight", "Requests under way.", self._in_flight)
        gauge(
            "borageramp_store_age",
            "Seconds since the store last answered.",
            self._fleet_state_task.age_s,
        )
        gauge(
            "borageramp_probes_sent", "Probes sent.", lambda: float(self._prober.sent)
        )
        gauge(
            "borageramp_upstream_connections",
            "Connections opened to upstreams.",
            lambda: float(self._client.opened),
        )

    def _in_flight(self) -> float:
        return float(self._front.in_flight)

    def _read_item(self, item: Item) -> Fact | None:
        return decode_record(item) or self._platform.read_item(item)

    def _health_path(self, service: str) -> str | None:
        config = self._fleet_state_task.world.config
        settings = config.services.get(service) if config is not None else None
        return settings.health_path if settings is not None else None

    def _ready(self) -> bool:
        return not self._closing and self._fleet_state_task.world.config is not None

    def _on_upstream_gone(self, view: UpstreamView) -> None:
        self._client.forget(view.upstream)
        _log.info("upstream gone", upstream=view.registration.id)

    def _on_change(self) -> None:
        world = self._fleet_state_task.world
        if world.config is not None:
            self._known.set()
        self._instances.update(world.instances())
        self._relays.update(world.instances())
        self._pools.apply(world, entries=self._instances.names(), now_s=self._clock())
        for suspect in world.crash_suspects():
            self._crashes.learn(suspect)
        if world.config is not None:
            self._server.limits = world.config.limits
        listed = {i.name for i in world.instances()}
        self._listing.on_instances_changed(listed)
        _log.info(
            "knowledge changed",
            revision=world.revision,
            config_version=world.config.version if world.config else None,
            data_centres_out=sorted(world.data_centres_out()),
            upstreams=self._pools.upstreams,
            instances=len(listed),
        )

    def reload(self) -> None:
        """Take over settings that may change while the process runs."""
        try:
            settings = self._platform.load_settings()
        except Exception as error:
            _log.error("settings not reloaded", error=repr(error))
            return
        self._settings = settings
        self._pools.bounds = settings.bounds
        self._pools.cold.bounds = ColdBounds(
            overage=settings.bounds.cold_overage, slack=settings.bounds.cold_slack
        )
        _log.info("settings reloaded")

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, then stop without cutting a request.

        Parameters
        ----------
        stop : asyncio.Event
            Set when the entry has to stop.
        """
        await self._listen()
        self._listing_task = asyncio.ensure_future(self._listing.run())
        self._background.append(self._listing_task)
        for work in (
            self._fleet_state_task.run(),
            self._instances.run(),
            self._serve_metrics(),
        ):
            self._background.append(asyncio.ensure_future(work))
        await self._wait_for_fleet_state()
        port = await self._take_callers()
        _log.info("started", instance=self._own.name, incarnation=self._own.incarnation)
        await self._until(stop)
        await self._stop(port)

    async def _wait_for_fleet_state(self) -> None:
        """Leave callers that have connected unread until they can be served."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READ_S):
                await self._known.wait()

    async def _until(self, stop: asyncio.Event) -> None:
        """Wait for the order to stop; raises what ends a task before that."""
        running = {asyncio.ensure_future(stop.wait()), *self._background}
        while not stop.is_set():
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()

    async def _take_callers(self) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            self._server.connection, sock=self._listener, backlog=BACKLOG
        )

    async def _listen(self) -> None:
        settings = self._settings
        dialect = self._platform.directory
        directory = DirectoryResource(
            instances=self._instances,
            ready=self._ready,
            knows=lambda: self._fleet_state_task.world.config is not None,
            dialect=dialect,
            ttl_s=lambda: self._settings.directory_ttl_s,
            rng=self._rng,
        )
        readiness = ReadinessResource(ready=self._ready, path=dialect.ready_path)
        changes = ChangesResource(source=self._source)
        await self._listen_at(settings.directory_address, directory)
        await self._listen_at(settings.check_address, readiness)
        await self._listen_at(settings.peer_address, changes)

    async def _listen_at(self, address: str | None, handler: HttpHandler) -> None:
        if address is None:
            return
        host, number = split_address(address)
        server = HttpServer(handler)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server.connection, host, number)
        self._pages.append(listening)

    async def _stop(self, port: asyncio.Server) -> None:
        started_at_s = self._clock()
        self._closing = True
        _log.info("stopping", in_flight=self._front.in_flight)
        self._listing_task.cancel()
        withdrawing = asyncio.ensure_future(self._listing.unregister())
        # Callers keep their addresses for a while; until then they are served.
        await asyncio.sleep(self._settings.leave_s)
        port.close()
        until_s = started_at_s + self._settings.drain_s
        while self._server.close_idle() and self._clock() < until_s:
            await asyncio.sleep(STOP_STEP_S)
        for task in (*self._background, withdrawing):
            task.cancel()
        for page in self._pages:
            page.close()
        await self._client.close()
        self._source.close()
        self._store.close()
        took_s = self._clock() - started_at_s
        _log.info("stopped", in_flight=self._front.in_flight, took_s=round(took_s, 2))
