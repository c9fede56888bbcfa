"""The fleet at a glance, for operators."""

from collections.abc import Callable, Iterable
from typing import Any

from borageramp_core import Member, confirmed_by_majority
from borageramp_entry._internal.border.services import EntryServices
from borageramp_entry._internal.serving.placement import PlacementTask

__all__ = ["StatusPage"]


class StatusPage:
    """Makes the status that operators see.

    Parameters
    ----------
    services : EntryServices
        The parts of the entry.
    tasks : callable
        Returns the placement tasks of all services.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        services: EntryServices,
        tasks: Callable[[], Iterable[PlacementTask]],
        clock: Callable[[], float],
    ) -> None:
        self._services = services
        self._tasks = tasks
        self._clock = clock

    def in_force(self, revision: int) -> bool:
        """Tell whether a majority of the entries have a revision in force."""
        membership = self._services.fleet.membership
        revisions = {m.incarnation: m.revision for m in membership.all_entries()}
        own = membership.own.incarnation
        revisions[own] = self._services.configuration.held.revision
        return confirmed_by_majority(
            revision, revisions=revisions, members=membership.voters()
        )

    def status(self) -> dict[str, Any]:
        """Return the status as plain values."""
        now_s = self._clock()
        services = self._services
        snapshot = services.snapshot()
        all_entries = services.fleet.membership.all_entries()
        return {
            "entry": services.fleet.membership.own.listed.name,
            "revision": snapshot.revision,
            "serving": services.may_serve(),
            "store_reachable": services.lease.store_reachable(now_s=now_s),
            "entries": [
                self._entry(m, now_s=now_s)
                for m in sorted(all_entries, key=lambda m: m.listed.name)
            ],
            "data_centres": {
                name: d.state.value for name, d in snapshot.data_centres.items()
            },
            "services": {
                t.balancer.service.name: self._service(t, now_s=now_s)
                for t in self._tasks()
            },
            "suspects": {
                name: sorted(suspect.upstreams)
                for name, suspect in services.fleet.suspects.recent(now_s=now_s)
                if suspect.upstreams
            },
            "keys": len(services.claims),
            "keys_taken_over_from": services.claims.adopted_incarnations(),
            "repairs": [
                f"{d.at_s:.3f} {d.event}" for d in services.reporter.decisions.repairs()
            ],
        }

    def _entry(self, member: Member, *, now_s: float) -> dict[str, Any]:
        own = member is self._services.fleet.membership.own
        heard_s = 0.0 if own else now_s - member.last_status_at_s
        return {
            "name": member.listed.name,
            "incarnation": member.incarnation,
            "data_centre": member.listed.data_centre,
            "caller_address": member.listed.caller_address,
            "operator_address": member.listed.operator_address,
            "revision": (
                self._services.snapshot().revision if own else member.revision
            ),
            "serving": self._services.may_serve() if own else member.serving,
            "leaving": member.leaving,
            "on_list": member.on_list,
            "in_flight": member.in_flight,
            "heard_s_ago": round(heard_s, 2) if heard_s < 1e9 else None,
        }

    def _service(self, task: PlacementTask, *, now_s: float) -> dict[str, Any]:
        balancer = task.balancer
        return {
            "limit": balancer.limit.value,
            "running": len(balancer.in_flight_attempts),
            "queued": len(balancer.queue),
            "retries_spent": task.retries.spent,
            "hedges_spent": task.hedges.spent + task.urgent_hedges.spent,
            "upstreams": {
                s.upstream.name: {
                    "data_centre": s.upstream.data_centre,
                    "state": s.state,
                    "why": s.why,
                    "in_flight": s.in_flight,
                }
                for s in balancer.eligibility.states(now_s=now_s)
            },
        }
