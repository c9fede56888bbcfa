"""Rollouts of all services, as this instance follows them."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping

from borageramp_core import AttemptResult
from borageramp_core.routing import (
    FleetState,
    Registration,
    RolloutOrder,
    RolloutRecord,
    UpstreamView,
    VersionCounts,
    merge_records,
)
from borageramp_entry._internal.routed.rollouts.evidence import count_response
from borageramp_entry._internal.routed.rollouts.state import ServiceRollout

__all__ = ["Flight", "RequestVersions", "RolloutRegistry"]

NEW = "new"
OLD = "old"


class Flight:
    """A request on an upstream, from its start until its response was read.

    Parameters
    ----------
    view : UpstreamView
        The upstream.
    registry : RolloutRegistry
        Counts it.
    """

    def __init__(self, *, view: UpstreamView, registry: "RolloutRegistry") -> None:
        self._registry = registry
        self._registration = view.registration
        self._released = False
        registry.count_flight(view.registration, 1)

    def record(
        self,
        route: str,
        result: AttemptResult,
        *,
        elapsed_s: float,
        usual_s: float,
        cold: bool,
    ) -> None:
        """Record how the attempt ended; see :func:`count_response`."""
        self._registry.on_response(
            self._registration,
            route,
            result,
            elapsed_s=elapsed_s,
            usual_s=usual_s,
            cold=cold,
        )

    def release(self) -> None:
        """End the count; further calls do nothing."""
        if not self._released:
            self._released = True
            self._registry.count_flight(self._registration, -1)

    def __del__(self) -> None:
        # A response may be given up at many places while it is passed on.
        self.release()


class RequestVersions:
    """Version that one request was drawn for, and what is left of that.

    Parameters
    ----------
    rollouts : RolloutRegistry
        Rollouts of all services.
    service, route : str
        Service of the request, and name of its route.
    """

    def __init__(
        self, *, rollouts: "RolloutRegistry", service: str, route: str
    ) -> None:
        self._rollouts = rollouts
        self._service = service
        rollout = rollouts.get(service)
        self._new = rollout is not None and rollout.draw(route)

    def eligible(self) -> Collection[str] | None:
        """Return the upstreams that it may go to now; ``None`` for any."""
        rollout = self._rollouts.get(self._service)
        return None if rollout is None else rollout.eligible(new=self._new)

    @property
    def has_fallback(self) -> bool:
        """Whether the old version takes it if the new one has no capacity."""
        rollout = self._rollouts.get(self._service)
        return self._new and rollout is not None and rollout.is_divided

    def use_old(self) -> None:
        """Send further attempts to the old version for as long as it may be used."""
        self._new = False


class RolloutRegistry:
    """Rollouts by service.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    changed : asyncio.Event
        Set when an order or a record has changed.
    responses, failures : Counter
        Responses and failures by version, ``old`` or ``new``.
    """

    def __init__(self, *, rng: random.Random, clock: Callable[[], float]) -> None:
        self._rng = rng
        self._clock = clock
        self._rollouts: dict[str, ServiceRollout] = {}
        self._flights: Counter[tuple[str, str]] = Counter()
        self.changed = asyncio.Event()
        self.responses: Counter[str] = Counter()
        self.failures: Counter[str] = Counter()

    def get(self, service: str) -> ServiceRollout | None:
        """Return the rollout of a service; ``None`` without an order."""
        return self._rollouts.get(service)

    def unsettled(self) -> list[ServiceRollout]:
        """Return the rollouts whose end is not in the store yet."""
        return [r for r in self._rollouts.values() if not r.is_settled]

    def apply(
        self,
        fleet_state: FleetState,
        by_service: Mapping[str, Iterable[Registration]],
    ) -> None:
        """Apply the orders, records and upstreams that the store has."""
        records = fleet_state.rollout_records()
        orders = fleet_state.rollout_orders()
        evacuated = fleet_state.evacuated_data_centres()
        for key, order in orders.items():
            record = records.get(order.service)
            rollout = self._rollout(key, order, record)
            if record is not None and record.follows(order):
                rollout.on_store_record(record, era=fleet_state.position.era)
            else:
                rollout.on_store_lost()
            rollout.apply(
                r
                for r in by_service.get(order.service, ())
                if r.data_centre not in evacuated
            )
        ordered = {order.service for order in orders.values()}
        self._rollouts = {s: r for s, r in self._rollouts.items() if s in ordered}
        if orders:
            self.changed.set()

    def _rollout(
        self, key: str, order: RolloutOrder, record: RolloutRecord | None
    ) -> ServiceRollout:
        """Return the rollout of an order, which is new if the order is."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order == order:
            return known
        previous = record
        if record is not None and record.follows(order):
            previous = None
        elif known is not None and (record is None or record.follows(known.order)):
            # It may have been told of a rollback that the store doesn't have.
            previous = known.record
            if record is not None:
                previous = merge_records(previous, record)
        rollout = ServiceRollout(
            key=key, order=order, previous=previous, rng=self._rng, clock=self._clock
        )
        if known is not None:
            rollout.store_revision = max(rollout.store_revision, known.store_revision)
        self._rollouts[order.service] = rollout
        return rollout

    def draw(self, service: str, *, route: str) -> RequestVersions:
        """Draw the version that a new request goes to."""
        return RequestVersions(rollouts=self, service=service, route=route)

    def start(self, view: UpstreamView) -> Flight:
        """Count a request to an upstream until it is released."""
        return Flight(view=view, registry=self)

    def count_flight(self, registration: Registration, change: int) -> None:
        """Change the number of requests in flight on a version."""
        key = (registration.service, registration.version)
        self._flights[key] += change
        if not self._flights[key]:
            del self._flights[key]

    def is_off_old(self, service: str, views: Mapping[str, UpstreamView]) -> bool:
        """Return whether nothing is in flight on other versions than the new one.

        Upstreams that were removed count, and requests that are about to be sent.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return True
        version = rollout.order.to_version
        if any(s == service and v != version for s, v in self._flights):
            return False
        return not any(
            view.load.in_flight
            for view in views.values()
            if view.registration.version != version
        )

    def on_response(
        self,
        registration: Registration,
        route: str,
        result: AttemptResult,
        *,
        elapsed_s: float,
        usual_s: float,
        cold: bool,
    ) -> None:
        """Count how an attempt ended, while a rollout of its service is active."""
        rollout = self._rollouts.get(registration.service)
        if rollout is None or not rollout.record.is_active:
            return
        counts = count_response(result, elapsed_s=elapsed_s, usual_s=usual_s, cold=cold)
        if counts is None:
            return
        if registration.version == rollout.order.to_version:
            label, versions = NEW, VersionCounts(new=counts)
        elif rollout.is_old(registration.version):
            label, versions = OLD, VersionCounts(old=counts)
        else:
            return
        self.responses[label] += counts.responses
        self.failures[label] += counts.failures
        rollout.evidence.add(route, versions)
