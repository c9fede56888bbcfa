"""Assembly and lifecycle of a routed entry."""

import asyncio
import contextlib
import random
import socket
from typing import Any

from borageramp_core.routing import StopSchedule
from borageramp_entry._internal.border.server import HttpServer
from borageramp_entry._internal.logs import get_logger, to_ms
from borageramp_entry._internal.routed.attempts import answer_buffers
from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler
from borageramp_entry._internal.routed.caller_server import serve_callers
from borageramp_entry._internal.routed.forwarded_handler import (
    ForwardedRequestHandler,
    PeerHandler,
    ReachabilityCheck,
    peer_limits,
)
from borageramp_entry._internal.routed.interfaces import Platform
from borageramp_entry._internal.routed.internal_servers import InternalServers
from borageramp_entry._internal.routed.machine import (
    machine_budgets,
    make_own_instance,
)
from borageramp_entry._internal.routed.quota.service import QuotaService
from borageramp_entry._internal.routed.resources import (
    ChangesResource,
    DirectoryResource,
    MetricsResource,
    ReadinessResource,
)
from borageramp_entry._internal.routed.rollouts.resource import RolloutResource
from borageramp_entry._internal.routed.rollouts.task import RolloutTask
from borageramp_entry._internal.routed.store_sync import StoreSync
from borageramp_entry._internal.routed.upstream_side import UpstreamSide

__all__ = ["RoutedApp"]

_log = get_logger(__name__)

DRAIN_POLL_INTERVAL_S = 0.05
METRICS_START_DELAY_S = 2.0
# Limit on how long callers that connect during startup wait for the first read of
# the store. After that, requests are refused with a retry delay.
FIRST_READ_TIMEOUT_S = 0.3


class RoutedApp:
    """Entry that forwards requests to upstreams by route.

    Parameters
    ----------
    platform : Platform
        Adapter of the platform that the entry runs on.
    listener : socket.socket
        Listening socket for callers.
    """

    def __init__(self, *, platform: Platform, listener: socket.socket) -> None:
        self._platform = platform
        self._listener = listener
        self._settings = platform.load_settings()
        self._clock = asyncio.get_running_loop().time
        self._rng = random.Random()
        self._requests_end_at_s = float("inf")
        self._config_received = asyncio.Event()
        self._background_tasks: list[asyncio.Task[Any]] = []
        self._internal_servers = InternalServers()
        self._registration_task: asyncio.Task[None]
        self._peer_server: HttpServer
        settings = self._settings
        self._own_instance = make_own_instance(settings)
        self._store = platform.open_store(settings)
        self._sync = StoreSync(
            platform=platform,
            settings=settings,
            store=self._store,
            own=self._own_instance,
            is_stopping=lambda: self._stopping,
            on_change=self._on_fleet_state_change,
            on_gone=self._apply_to_pools,
            on_restored=lambda: self._upstreams.crashes.on_store_restored(),
            rng=self._rng,
            clock=self._clock,
        )
        self._build_serving()

    def _build_serving(self) -> None:
        bounds = self._settings.bounds
        self._upstreams = UpstreamSide(
            own=self._own_instance,
            settings=self._settings,
            store=self._store,
            dialect=self._platform.upstreams,
            health_path=self._health_path,
            rng=self._rng,
            clock=self._clock,
        )
        self._pools = self._upstreams.pools
        dispatcher = self._upstreams.dispatcher
        self._handler = CallerRequestHandler(
            fleet_state=self._sync.fleet_state,
            dispatcher=dispatcher,
            dialect=self._platform.callers,
            stops_at_s=lambda: self._requests_end_at_s,
            rng=self._rng,
            clock=self._clock,
            describe_knowledge=self._sync.describe_knowledge,
        )
        self._forwarded_handler = ForwardedRequestHandler(
            fleet_state=self._sync.fleet_state,
            dispatcher=dispatcher,
            stops_at_s=lambda: self._requests_end_at_s,
            rng=self._rng,
            clock=self._clock,
            workspace_dialect=self._platform.callers,
        )
        self._quotas = QuotaService(
            own=self._own_instance,
            bounds=bounds,
            fleet_state=self._sync.fleet_state,
            directory=self._sync.directory,
            store_contact_age_s=self._sync.source.unconfirmed_s,
            is_late=lambda request: self._pools.will_be_late(
                request.route, caller_timeout_s=request.caller_timeout_s
            ),
            rng=self._rng,
            clock=self._clock,
        )
        self._handler.quotas = self._quotas
        self._rollouts = RolloutTask(
            own=self._own_instance,
            pools=self._pools,
            instances=self._sync.fleet_state.instances,
            store=self._store,
            encode_status=self._platform.encode_rollout_status,
            rng=self._rng,
            clock=self._clock,
        )
        self._server = HttpServer(self._handler)
        self._server.pipelines.max_running = self._settings.pipelined_requests
        self._apply_budgets()

    def _apply_budgets(self) -> None:
        """Set what this instance may hold and serve at the same time."""
        budgets = machine_budgets(self._settings)
        answer_buffers.max_held_bytes = budgets.answer_bytes
        self._handler.max_unanswered = budgets.requests_in_flight
        self._forwarded_handler.max_forwarded_requests = budgets.forwarded_requests
        self._sync.source.max_polling_instances = budgets.polling_instances
        for ledger, connections in (
            (self._server.ledger, budgets.caller_connections),
            (self._internal_servers.ledger, budgets.internal_connections),
        ):
            ledger.max_held_bytes = budgets.held_bytes
            ledger.max_connections = connections

    async def _serve_metrics(self) -> None:
        """Create the metrics and serve them, after a delay.

        Importing the metrics library accounts for a tenth of the startup time,
        during which callers wait.
        """
        await asyncio.sleep(METRICS_START_DELAY_S)
        from borageramp_entry._internal.metrics import Metrics
        from borageramp_entry._internal.routed.gauges import add_gauges

        metrics = Metrics(
            name=self._own_instance.name, data_centre=self._own_instance.data_centre
        )
        add_gauges(
            metrics,
            handler=self._handler,
            server=self._server,
            fleet_state_task=self._sync.task,
            source=self._sync.source,
            prober=self._upstreams.prober,
            client=self._upstreams.client,
            pools=self._pools,
            forwarder=self._upstreams.forwarder,
            forwarded_handler=self._forwarded_handler,
            rollouts=self._rollouts,
            ledgers=(self._server.ledger, self._internal_servers.ledger),
        )
        self._quotas.add_metrics(metrics)
        self._handler.metrics = metrics
        resource = MetricsResource(metrics=metrics)
        await self._internal_servers.start(self._settings.metrics_address, resource)

    def _health_path(self, service: str) -> str | None:
        config = self._sync.fleet_state.config
        service_config = config.services.get(service) if config is not None else None
        return service_config.health_path if service_config is not None else None

    @property
    def _stopping(self) -> bool:
        return self._requests_end_at_s < float("inf")

    @property
    def _requests_in_flight(self) -> int:
        return self._handler.in_flight + self._forwarded_handler.in_flight

    def _is_ready(self) -> bool:
        return not self._stopping and self._sync.fleet_state.config is not None

    def _on_fleet_state_change(self) -> None:
        began_at_s = self._clock()
        fleet_state = self._sync.fleet_state
        if fleet_state.config is not None:
            self._config_received.set()
        instances = self._sync.apply_instances()
        self._apply_to_pools()
        for suspect in fleet_state.crash_suspects():
            self._upstreams.crashes.merge(suspect)
        if fleet_state.config is not None:
            self._server.limits = fleet_state.config.limits
            self._peer_server.limits = peer_limits(fleet_state.config.limits)
        _log.info(
            "knowledge changed",
            revision=fleet_state.position.revision,
            era=fleet_state.position.era,
            config_version=fleet_state.config.version if fleet_state.config else None,
            data_centres_out=sorted(fleet_state.evacuated_data_centres()),
            upstreams=self._pools.upstream_count,
            instances=len(instances),
            source=self._sync.source.source_name,
            answer_gap_ms=round(self._sync.source.answer_gap_s * 1000),
            source_age_ms=to_ms(self._sync.source.source_age_s),
            took_ms=round((self._clock() - began_at_s) * 1000, 1),
        )

    def _apply_to_pools(self) -> None:
        self._upstreams.forwarder.update(self._sync.directory.others())
        self._quotas.apply(self._settings.bounds)
        self._pools.apply(
            self._sync.fleet_state,
            entries=self._sync.directory.names(),
            now_s=self._clock(),
        )

    def reload(self) -> None:
        """Reload the settings that may change while the process runs."""
        try:
            settings = self._platform.load_settings()
        except Exception as error:
            _log.error("settings not reloaded", error=repr(error))
            return
        self._settings = settings
        self._upstreams.apply(settings)
        self._server.pipelines.max_running = settings.pipelined_requests
        _log.info("settings reloaded")

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain requests in flight and shut down.

        Parameters
        ----------
        stop : asyncio.Event
            Set to request a shutdown.
        """
        await self._start_internal_servers()
        registering, *others = self._sync.start()
        self._registration_task = registering
        metrics_task = asyncio.ensure_future(self._serve_metrics())
        rollout_task = asyncio.ensure_future(self._rollouts.run())
        self._background_tasks = [registering, *others, metrics_task, rollout_task]
        await self._wait_for_config()
        caller_server = await self._start_caller_server()
        _log.info(
            "started",
            instance=self._own_instance.name,
            incarnation=self._own_instance.incarnation,
        )
        await self._wait_for_stop(stop)
        await self._stop(caller_server)

    async def _wait_for_config(self) -> None:
        """Wait briefly for a configuration; new connections stay in the backlog."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_READ_TIMEOUT_S):
                await self._config_received.wait()

    async def _wait_for_stop(self, stop: asyncio.Event) -> None:
        """Wait for the stop event, or raise the exception of a failed task."""
        pending = {asyncio.ensure_future(stop.wait()), *self._background_tasks}
        while not stop.is_set():
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()

    async def _start_caller_server(self) -> asyncio.Server:
        return await serve_callers(self._listener, self._server.connection)

    async def _start_internal_servers(self) -> None:
        settings = self._settings
        dialect = self._platform.directory
        directory = DirectoryResource(
            instances=self._sync.directory,
            ready=self._is_ready,
            has_config=lambda: self._sync.fleet_state.config is not None,
            dialect=dialect,
            ttl_s=lambda: self._settings.directory_ttl_s,
            weighted=settings.memory_mb is not None,
            rng=self._rng,
        )
        readiness = ReadinessResource(ready=self._is_ready, path=dialect.ready_path)
        peers = PeerHandler(
            forwarded=self._forwarded_handler,
            check=ReachabilityCheck(
                pools=self._pools,
                prober=self._upstreams.prober,
                accepts=lambda: not self._stopping,
                in_flight=lambda: self._requests_in_flight,
                known_reaching=self._upstreams.forwarder.known_reaching,
                clock=self._clock,
            ),
            changes=ChangesResource(source=self._sync.source),
            quotas=self._quotas,
            rollouts=RolloutResource(task=self._rollouts),
        )
        await self._internal_servers.start(settings.directory_address, directory)
        await self._internal_servers.start(settings.check_address, readiness)
        self._peer_server = await self._internal_servers.start(
            settings.peer_address, peers
        )

    async def _stop(self, caller_server: asyncio.Server) -> None:
        started_at_s = self._clock()
        schedule = StopSchedule.within(self._settings.stop_timeout_s)
        self._requests_end_at_s = started_at_s + schedule.requests_end_s
        answers_end_at_s = started_at_s + schedule.answers_end_s
        _log.info("stopping", in_flight=self._requests_in_flight)
        self._handler.on_stop()
        self._forwarded_handler.on_stop()
        self._registration_task.cancel()
        withdraw_task = asyncio.ensure_future(self._sync.registration.unregister())
        # Callers cache addresses from the directory, so keep accepting connections
        # until those addresses expire.
        await asyncio.sleep(self._settings.leave_s)
        caller_server.close()
        while self._is_busy() and self._clock() < answers_end_at_s:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        cut_answers = self._server.abort_sending()
        cut_answers += self._internal_servers.abort_sending()
        for task in (*self._background_tasks, withdraw_task):
            task.cancel()
        self._internal_servers.close()
        self._quotas.close()
        self._rollouts.close()
        await self._upstreams.close()
        self._sync.source.close()
        self._store.close()
        duration_s = self._clock() - started_at_s
        _log.info(
            "stopped",
            in_flight=self._requests_in_flight,
            cut_answers=cut_answers,
            took_s=round(duration_s, 2),
        )

    def _is_busy(self) -> bool:
        """Close idle connections; tell whether any request or answer is left."""
        busy = self._server.close_idle() + self._forwarded_handler.in_flight
        return busy + self._internal_servers.sending_count > 0
