"""Which upstreams may take a request now, and who else could place it."""

import random
from collections.abc import Iterator, Mapping

from borageramp_core._internal.found import Found, UpstreamState
from borageramp_core._internal.isolation import Isolation
from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.messages import Repair, Submit
from borageramp_core._internal.model import ConfigurationSnapshot, Service, Upstream
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.ownership import Ownership
from borageramp_core._internal.placement import Candidate
from borageramp_core._internal.warmup import WarmUp

__all__ = ["Eligibility"]

# How long an upstream that shed gets nothing new; doubles while it goes on.
SHED_PAUSE_S = 0.01
MAX_SHED_PAUSE_S = 1.0
# A word of leaving counts this long unless it is repeated.
LEAVING_S = 30.0
# An upstream this much slower than the service's median is treated as cold.
SLOW_FACTOR = 5.0
# A search ends with this many candidates, more than a policy compares.
ENOUGH_CANDIDATES = 8
SHUFFLE_EVERY = 64
SLOTS_INTERVAL_S = 0.25
SLOW_ANSWERS = 5
# Share of the first tries for which cold upstreams go first.
COLD_FIRST_SHARE = 0.25
# Fewer known latencies don't tell which one is slow.
MIN_KNOWN_LATENCIES = 3


class Eligibility:
    """The rules on which upstreams may take new work.

    Parameters
    ----------
    ownership, warmup, isolation, outliers
        The state that the rules read.
    loads : mapping of str to UpstreamLoad
        Loads by upstream.
    repairs : list of Repair
        Gets each repair.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        ownership: Ownership,
        warmup: WarmUp,
        isolation: Isolation,
        outliers: Outliers,
        loads: Mapping[str, UpstreamLoad],
        repairs: list[Repair],
        rng: random.Random,
    ) -> None:
        self._ownership = ownership
        self._warmup = warmup
        self._isolation = isolation
        self._outliers = outliers
        self._loads = loads
        self._repairs = repairs
        self._rng = rng
        self._order: list[Upstream] = []
        self._finds = 0
        self._slots = 0
        self._slots_at_s = float("-inf")
        self._typical_s = float("inf")
        self._typical_at_s = float("-inf")
        self._paused_until_s: dict[str, float] = {}
        self._shed_pause_s: dict[str, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        self._slow_answers: dict[str, int] = {}
        self._in_service: set[str] = set()

    @property
    def entries(self) -> int:
        """Entries that share the upstreams."""
        return len(self._ownership.members)

    def apply(self, service: Service, snapshot: ConfigurationSnapshot) -> None:
        """Put a new revision in force; upstreams that return are cold."""
        self._service = service
        self._snapshot = snapshot
        in_service = {u.id for u in service.upstreams if snapshot.accepts_requests(u)}
        for upstream_id in self._in_service - in_service:
            self._warmup.forget(upstream_id)
        self._in_service = in_service
        self._order = list(service.upstreams)
        self._rng.shuffle(self._order)
        self._slots_at_s = float("-inf")

    def find(self, request: Submit, *, now_s: float) -> Found:
        """Find the upstreams that may take a request.

        Parameters
        ----------
        request : Submit
            The request.
        now_s : float
            Present time.

        Returns
        -------
        Found
            The candidates, and what else could be done.
        """
        found = Found()
        suspect = self._isolation.is_suspect(request.fingerprint, now_s=now_s)
        taken = self._isolation.taken(now_s=now_s) if suspect else None
        for upstream in self._shuffled():
            if upstream.id in request.excluded:
                continue
            if not self._in_rotation(upstream, now_s=now_s):
                continue
            self._consider(upstream, request, found, taken=taken, now_s=now_s)
            if len(found.candidates) >= ENOUGH_CANDIDATES:
                break
        if found.pending and not found.usable:
            found.blocked = "every upstream left is cold, ejected or busy"
        found.slots = self._slots_in_use(now_s=now_s)
        if request.extra:
            self._keep_apart(request, found)
        return found

    def _keep_apart(self, request: Submit, found: Found) -> None:
        """Keep two requests from having the same two upstreams.

        Within this entry that is a rule, unless there are only two. Requests
        of other entries are kept apart by a preference: each pair of
        upstreams has an owner, whose hedges go there first.
        """
        places = self._isolation.places(request.request_id)
        if not places or len(self._in_service) <= len(places) + 1:
            return
        beside = self._isolation.beside(request.request_id)
        apart = [c for c in found.candidates if c.upstream.id not in beside]
        own = [
            c
            for c in apart
            if all(self._ownership.owns_pair(p, c.upstream.id) for p in places)
        ]
        found.candidates = own or apart

    def drop_slow(self, found: Found, *, now_s: float) -> bool:
        """Drop slow candidates; tell whether the rest is worth taking.

        A request that can't bear a slow upstream rather waits for another, as
        long as there is one.
        """
        limit_s = SLOW_FACTOR * self._typical_latency_s(now_s=now_s)
        fast = [c for c in found.candidates if c.load.latency_s <= limit_s]
        if fast:
            found.candidates = fast
        return bool(fast) or found.usable <= len(found.candidates)

    def prefer_cold(self, found: Found) -> None:
        """Keep only the cold candidates now and then, if there are any.

        They look slow, and left to themselves would warm up late. A share of
        the requests is enough, and the rest keep their latency.
        """
        if self._rng.random() >= COLD_FIRST_SHARE:
            return
        cold = [c for c in found.candidates if not self._is_warm(c.upstream)]
        if cold:
            found.candidates = cold

    def _is_warm(self, upstream: Upstream) -> bool:
        return upstream.warmup_s <= 0 or self._warmup.is_warm(upstream.id)

    def _typical_latency_s(self, *, now_s: float) -> float:
        """Return the median latency of the upstreams."""
        if now_s - self._typical_at_s < SLOTS_INTERVAL_S:
            return self._typical_s
        self._typical_at_s = now_s
        latencies = sorted(
            load.latency_s for load in self._loads.values() if load.answers
        )
        enough = len(latencies) >= MIN_KNOWN_LATENCIES
        self._typical_s = latencies[len(latencies) // 2] if enough else float("inf")
        return self._typical_s

    def _shuffled(self) -> Iterator[Upstream]:
        """Yield all upstreams, from a random place in a random order."""
        self._finds += 1
        if self._finds % SHUFFLE_EVERY == 0:
            self._rng.shuffle(self._order)
        if not self._order:
            return
        start = self._rng.randrange(len(self._order))
        yield from self._order[start:]
        yield from self._order[:start]

    def _slots_in_use(self, *, now_s: float) -> int:
        """Return the slots of the upstreams that this entry may use."""
        if now_s - self._slots_at_s < SLOTS_INTERVAL_S:
            return self._slots
        self._slots_at_s = now_s
        self._slots = sum(
            upstream.slots
            for upstream in self._order
            if self._in_rotation(upstream, now_s=now_s)
            and not self._outliers.is_ejected(upstream.id, now_s=now_s)
            and (
                self._is_warm(upstream)
                or self._ownership.owns(upstream.id, now_s=now_s)
            )
        )
        return self._slots

    def _in_rotation(self, upstream: Upstream, *, now_s: float) -> bool:
        if upstream.id not in self._in_service:
            return False
        return self._leaving_until_s.get(upstream.id, 0.0) <= now_s

    def _consider(
        self,
        upstream: Upstream,
        request: Submit,
        found: Found,
        *,
        taken: frozenset[str] | None,
        now_s: float,
    ) -> None:
        """Note what an upstream can do for a request.

        For a suspect, ``taken`` holds the upstreams that have another one.
        """
        suspect = taken is not None
        if self._outliers.is_ejected(upstream.id, now_s=now_s):
            found.blocked = "every upstream in service is ejected"
            return
        if taken is not None and upstream.id in taken:
            found.pending += 1
            return
        owned_only = suspect or not self._is_warm(upstream)
        if owned_only and not self._may_own(
            upstream, request, found, suspect=suspect, now_s=now_s
        ):
            return
        found.usable += 1
        if self._has_room(upstream, now_s=now_s):
            load = self._loads[upstream.id]
            found.candidates.append(Candidate(upstream=upstream, load=load))

    def _may_own(
        self,
        upstream: Upstream,
        request: Submit,
        found: Found,
        *,
        suspect: bool,
        now_s: float,
    ) -> bool:
        if self._ownership.owns(upstream.id, now_s=now_s):
            return True
        owner = self._ownership.owner(upstream.id, now_s=now_s)
        if owner == self._ownership.member:
            found.pending += 1
        elif owner is not None and not request.forwarded:
            found.owners.append(owner)
            found.purpose = "suspect" if suspect else "warm_up"
        return False

    def _has_room(self, upstream: Upstream, *, now_s: float) -> bool:
        if self._paused_until_s.get(upstream.id, 0.0) > now_s:
            return False
        load = self._loads[upstream.id]
        if self._outliers.on_trial(upstream.id) and load.in_flight > 0:
            return False
        allowance = self._warmup.allowance(upstream, now_s=now_s)
        return load.in_flight < min(allowance, upstream.connections)

    def on_shed(self, upstream: Upstream, *, now_s: float) -> None:
        """Give an upstream that shed a pause, longer each time in a row."""
        pause_s = self._shed_pause_s.get(upstream.id, SHED_PAUSE_S)
        self._paused_until_s[upstream.id] = now_s + pause_s
        self._shed_pause_s[upstream.id] = min(2.0 * pause_s, MAX_SHED_PAUSE_S)

    def on_leaving(self, upstream: Upstream, leaving: bool, *, now_s: float) -> None:
        """Take in whether an upstream says that it is leaving."""
        if leaving:
            self._leaving_until_s[upstream.id] = now_s + LEAVING_S
        else:
            self._leaving_until_s.pop(upstream.id, None)

    def on_break(self, upstream: Upstream, *, now_s: float) -> None:
        """Doubt that an upstream whose connections break is still warm."""
        if self._warmup.is_warm(upstream.id):
            self._warmup.doubt(upstream.id, now_s=now_s)
            self._repaired(upstream, "connections broke")

    def _repaired(self, upstream: Upstream, why: str, kind: str = "warm-up") -> None:
        self._repairs.append(Repair(kind=kind, upstream=upstream.id, why=why))

    def on_success(
        self,
        upstream: Upstream,
        *,
        start_id: str,
        sent_at_s: float,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Take in a good answer."""
        self._shed_pause_s.pop(upstream.id, None)
        doubted = self._warmup.is_doubted(upstream.id)
        if self._warmup.on_answer(
            upstream, start_id=start_id, sent_at_s=sent_at_s, now_s=now_s
        ):
            self._repaired(upstream, "it started anew")
        elif doubted and start_id and self._warmup.is_warm(upstream.id):
            self._repaired(upstream, "it had not restarted", kind="warm again")
        if not self._warmup.is_warm(upstream.id):
            return
        if not self._is_slow(upstream, latency_s, now_s=now_s):
            self._slow_answers.pop(upstream.id, None)
            return
        count = self._slow_answers.get(upstream.id, 0) + 1
        self._slow_answers[upstream.id] = count
        if count >= SLOW_ANSWERS:
            del self._slow_answers[upstream.id]
            self._warmup.mark_cold(upstream.id, start_id=start_id, now_s=now_s)
            self._repaired(upstream, "it became slow")

    def start_name(self, upstream: Upstream, *, now_s: float) -> str:
        """Return a name for the present start of an upstream."""
        state = self._warmup.state(upstream.id, now_s=now_s)
        start_id = "" if state.doubted else state.start_id
        return f"{upstream.id}@{start_id or f'{state.since_s:.3f}'}"

    def on_start_id(self, upstream: Upstream, start_id: str, *, now_s: float) -> None:
        """Take in which start an upstream says it is."""
        known = self._warmup.state(upstream.id, now_s=now_s).start_id
        if start_id and known and start_id != known:
            self._warmup.mark_cold(upstream.id, start_id=start_id, now_s=now_s)
            self._repaired(upstream, "it started anew")

    def _is_slow(self, upstream: Upstream, latency_s: float, *, now_s: float) -> bool:
        average_s = self._loads[upstream.id].latency_s
        typical_s = self._typical_latency_s(now_s=now_s)
        return min(latency_s, average_s) > SLOW_FACTOR * typical_s

    def states(self, *, now_s: float) -> list[UpstreamState]:
        """Return the state of each upstream for an operator."""
        return [self._state(u, now_s=now_s) for u in self._service.upstreams]

    def _state(self, upstream: Upstream, *, now_s: float) -> UpstreamState:
        state, why = self._state_and_why(upstream, now_s=now_s)
        return UpstreamState(
            upstream=upstream,
            state=state,
            why=why,
            in_flight=self._loads[upstream.id].in_flight,
        )

    def _state_and_why(self, upstream: Upstream, *, now_s: float) -> tuple[str, str]:
        if upstream.id not in self._in_service:
            return "out", "taken out by operators"
        if self._leaving_until_s.get(upstream.id, 0.0) > now_s:
            return "leaving", "said so itself"
        if self._outliers.is_ejected(upstream.id, now_s=now_s):
            failures = self._outliers.state(upstream.id).failures_in_row
            return "ejected", f"{failures} failures in a row"
        if self._is_warm(upstream):
            return "warm", ""
        state = self._warmup.state(upstream.id, now_s=now_s)
        owner = self._ownership.owner(upstream.id, now_s=now_s)
        if state.doubted:
            return "cold", f"connections broke; {owner} finds out"
        worked_s = state.worked_s
        return "cold", f"{worked_s:.1f} s of {upstream.warmup_s:g} s, by {owner}"
