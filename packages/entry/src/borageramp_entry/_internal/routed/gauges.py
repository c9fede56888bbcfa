"""Gauges of a routed entry."""

from collections.abc import Iterable, Mapping

from borageramp_entry._internal.border.caller_limits import ConnectionLedger
from borageramp_entry._internal.border.server import HttpServer
from borageramp_entry._internal.metrics import Metrics
from borageramp_entry._internal.routed.caller_handler import CallerRequestHandler
from borageramp_entry._internal.routed.change_source import ChangeSource
from borageramp_entry._internal.routed.fleet_state import FleetStateTask
from borageramp_entry._internal.routed.forwarded_handler import (
    ForwardedRequestHandler,
)
from borageramp_entry._internal.routed.peer_forwarding import PeerForwarder
from borageramp_entry._internal.routed.pools import PoolRegistry
from borageramp_entry._internal.routed.prober import Prober
from borageramp_entry._internal.routed.rollouts.task import RolloutTask
from borageramp_entry._internal.serving.upstreams import UpstreamClient

__all__ = ["add_gauges"]


def add_gauges(
    metrics: Metrics,
    *,
    handler: CallerRequestHandler,
    server: HttpServer,
    fleet_state_task: FleetStateTask,
    source: ChangeSource,
    prober: Prober,
    client: UpstreamClient,
    pools: PoolRegistry,
    forwarder: PeerForwarder,
    forwarded_handler: ForwardedRequestHandler,
    rollouts: RolloutTask,
    ledgers: Iterable[ConnectionLedger],
) -> None:
    """Add the gauges of an entry; they are read when scraped."""
    gauge = metrics.gauge
    gauge("borageramp_in_flight", "Requests under way.", lambda: handler.in_flight)
    gauge(
        "borageramp_pipelined_requests",
        "Requests begun before an earlier one of their connection was answered.",
        lambda: server.pipelines.overlapped,
    )
    gauge(
        "borageramp_held_answer_bytes",
        "Bytes of answers that wait for those to earlier requests.",
        lambda: server.held_bytes,
    )
    gauge(
        "borageramp_store_age",
        "Seconds since the store last answered.",
        fleet_state_task.age_s,
    )
    gauge(
        "borageramp_changes_age",
        "Seconds since the store or a relay last told of changes.",
        source.unconfirmed_s,
    )
    gauge(
        "borageramp_watch_age",
        "Seconds since the watch of the store was answered; 0 without one.",
        source.watch_age_s,
    )
    gauge(
        "borageramp_store_era",
        "History of the store that this instance follows; 0 if it doesn't say.",
        lambda: fleet_state_task.fleet_state.position.era,
    )
    gauge(
        "borageramp_store_restores",
        "Times that the store came back from an older copy.",
        lambda: fleet_state_task.restores,
    )
    gauge("borageramp_probes_sent", "Probes sent.", lambda: prober.sent)
    gauge("borageramp_probes_failed", "Probes not answered.", lambda: prober.failed)
    gauge(
        "borageramp_closed_connections",
        "Idle connections closed after a failed probe.",
        lambda: prober.closed_connections,
    )
    gauge(
        "borageramp_unreachable_services",
        "Services none of whose upstreams seems to be reachable.",
        lambda: pools.unreachable_service_count,
    )
    gauge(
        "borageramp_upstream_connections",
        "Connections opened to upstreams.",
        lambda: client.opened,
    )
    gauge(
        "borageramp_forwarded_requests",
        "Requests sent to other instances as upstreams could not be reached.",
        lambda: forwarder.forwarded,
    )
    gauge(
        "borageramp_reach_questions",
        "Questions to other instances, whether they reach a service.",
        lambda: forwarder.search.asked,
    )
    gauge(
        "borageramp_unanswered_reach_questions",
        "Those of them that brought no answer.",
        lambda: forwarder.search.unanswered,
    )
    gauge(
        "borageramp_failed_searches",
        "Searches for an instance that reaches a service that found none.",
        lambda: forwarder.search.failed,
    )
    gauge(
        "borageramp_forwarded_in_flight",
        "Requests of other instances under way.",
        lambda: forwarded_handler.in_flight,
    )
    gauge(
        "borageramp_limited_upstreams",
        "Upstreams with a rate limit in force.",
        lambda: pools.limited_upstream_count,
    )
    gauge(
        "borageramp_limited_attempts",
        "Attempts on upstreams with a rate limit in force.",
        lambda: pools.limited_attempts,
    )
    ledgers = tuple(ledgers)
    gauge(
        "borageramp_connection_bytes",
        "Bytes of requests and unsent answers that connections hold.",
        lambda: sum(ledger.held_bytes for ledger in ledgers),
    )
    gauge(
        "borageramp_connections_over_limits",
        "Connections closed as all together were over a limit.",
        lambda: sum(ledger.closed for ledger in ledgers),
    )
    _add_rollout_gauges(metrics, pools=pools, rollouts=rollouts)


def _add_rollout_gauges(
    metrics: Metrics, *, pools: PoolRegistry, rollouts: RolloutTask
) -> None:
    gauge = metrics.gauge
    gauge(
        "borageramp_rollouts_active",
        "Rollouts that have yet to be decided.",
        lambda: rollouts.active_count,
    )
    gauge(
        "borageramp_rollouts_deciding",
        "Rollouts that this instance decides.",
        lambda: rollouts.deciding_count,
    )
    metrics.gauges(
        "borageramp_version_responses",
        "Responses during rollouts by version.",
        read=lambda: _by_version(pools.rollouts.responses),
    )
    metrics.gauges(
        "borageramp_version_failures",
        "Failed ones of these.",
        read=lambda: _by_version(pools.rollouts.failures),
    )


def _by_version(
    counts: Mapping[str, float],
) -> Iterable[tuple[Mapping[str, str], float]]:
    return [({"version": version}, count) for version, count in counts.items()]
