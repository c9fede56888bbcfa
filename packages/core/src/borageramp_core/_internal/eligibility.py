"""Rules that decide which upstreams may take a request, and which peers own others."""

import random
from collections.abc import Iterator, Mapping

from borageramp_core._internal.candidate_search import CandidateSearch, UpstreamState
from borageramp_core._internal.isolation import Isolation
from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.messages import Repair, Submit
from borageramp_core._internal.model import ConfigurationSnapshot, Service, Upstream
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.ownership import Ownership
from borageramp_core._internal.placement import Candidate
from borageramp_core._internal.warmup import WarmUp

__all__ = ["Eligibility"]

# Backoff of an upstream that sheds; doubled for each shed in a row.
SHED_BACKOFF_S = 0.01
MAX_SHED_BACKOFF_S = 1.0
# Time for which a report that an upstream is leaving holds unless repeated.
LEAVING_TTL_S = 30.0
# Multiple of the service's median latency above which an upstream is slow; a
# slow upstream is treated as cold.
SLOW_FACTOR = 5.0
# A search ends with this many candidates, more than a placement policy compares.
MAX_CANDIDATES = 8
SEARCHES_PER_SHUFFLE = 64
# Maximum age of the cached slot total and median latency.
AGGREGATE_MAX_AGE_S = 0.25
SLOW_ANSWERS_BEFORE_COLD = 5
# Share of first attempts for which cold upstreams are preferred.
COLD_FIRST_SHARE = 0.25
# With fewer known latencies, the median does not identify a slow upstream.
MIN_LATENCIES_FOR_MEDIAN = 3


class Eligibility:
    """Decides which upstreams may take new requests.

    Parameters
    ----------
    ownership, warmup, isolation, outliers
        State that the rules are based on.
    loads : mapping of str to UpstreamLoad
        Loads by upstream id.
    repairs : list of Repair
        List to which repairs are appended.
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
        self._search_order: list[Upstream] = []
        self._search_count = 0
        self._usable_slots = 0
        self._usable_slots_at_s = float("-inf")
        self._cached_median_s = float("inf")
        self._cached_median_at_s = float("-inf")
        self._backoff_until_s: dict[str, float] = {}
        self._shed_backoff_s: dict[str, float] = {}
        self._leaving_until_s: dict[str, float] = {}
        self._slow_answers_in_row: dict[str, int] = {}
        self._in_service: set[str] = set()

    @property
    def entry_count(self) -> int:
        """Number of entries that share the upstreams."""
        return len(self._ownership.members)

    def apply(self, service: Service, snapshot: ConfigurationSnapshot) -> None:
        """Apply a new revision; upstreams that left service return cold."""
        self._service = service
        self._snapshot = snapshot
        in_service = {u.id for u in service.upstreams if snapshot.accepts_requests(u)}
        for upstream_id in self._in_service - in_service:
            self._warmup.forget(upstream_id)
        self._in_service = in_service
        self._search_order = list(service.upstreams)
        self._rng.shuffle(self._search_order)
        self._usable_slots_at_s = float("-inf")

    def find(self, request: Submit, *, now_s: float) -> CandidateSearch:
        """Search for upstreams that can take a request.

        Parameters
        ----------
        request : Submit
            The request.
        now_s : float
            Current time.

        Returns
        -------
        CandidateSearch
            The candidates, and the alternatives if there are none.
        """
        search = CandidateSearch()
        suspect = self._isolation.is_suspect(request.fingerprint, now_s=now_s)
        occupied = self._isolation.suspect_upstreams(now_s=now_s) if suspect else None
        for upstream in self._shuffled():
            if upstream.id in request.excluded:
                continue
            if not self._in_rotation(upstream, now_s=now_s):
                continue
            self._evaluate(upstream, request, search, occupied=occupied, now_s=now_s)
            if len(search.candidates) >= MAX_CANDIDATES:
                break
        if search.pending_count and not search.usable_count:
            search.blocked_reason = "every remaining upstream is cold, ejected or busy"
        search.usable_slots = self._count_usable_slots(now_s=now_s)
        if request.extra:
            self._avoid_shared_pairs(request, search)
        return search

    def _avoid_shared_pairs(self, request: Submit, search: CandidateSearch) -> None:
        """Drop candidates that would give two requests the same two upstreams.

        If both upstreams crashed, the two requests could not be told apart.
        Within this entry, such candidates are always dropped unless the service
        has too few upstreams. Across entries, overlap is only made less likely:
        each pair of upstreams has an owner, whose hedges prefer that pair.
        """
        own_upstream_ids = self._isolation.attempt_upstreams(request.request_id)
        if not own_upstream_ids or len(self._in_service) <= len(own_upstream_ids) + 1:
            return
        neighbors = self._isolation.hedge_conflicts(request.request_id)
        separate = [c for c in search.candidates if c.upstream.id not in neighbors]
        owned = [
            c
            for c in separate
            if all(
                self._ownership.owns_pair(p, c.upstream.id) for p in own_upstream_ids
            )
        ]
        search.candidates = owned or separate

    def drop_slow(self, search: CandidateSearch, *, now_s: float) -> bool:
        """Drop slow candidates; return whether to place on one that remains.

        If only slow candidates have capacity, an urgent request waits, provided
        that there are other usable upstreams.
        """
        limit_s = SLOW_FACTOR * self._median_latency_s(now_s=now_s)
        fast = [c for c in search.candidates if c.load.latency_s <= limit_s]
        if fast:
            search.candidates = fast
        return bool(fast) or search.usable_count <= len(search.candidates)

    def prefer_cold(self, search: CandidateSearch) -> None:
        """Keep only the cold candidates, if any, for a random share of requests.

        Cold upstreams look slow, so the placement policy alone would warm them
        up late. A share of the requests is enough to warm them up, and the
        latency of the other requests is not affected.
        """
        if self._rng.random() >= COLD_FIRST_SHARE:
            return
        cold = [c for c in search.candidates if not self._is_warm(c.upstream)]
        if cold:
            search.candidates = cold

    def _is_warm(self, upstream: Upstream) -> bool:
        return upstream.warmup_s <= 0 or self._warmup.is_warm(upstream.id)

    def _median_latency_s(self, *, now_s: float) -> float:
        """Return the median latency, or infinity if too few are known."""
        if now_s - self._cached_median_at_s < AGGREGATE_MAX_AGE_S:
            return self._cached_median_s
        self._cached_median_at_s = now_s
        latencies = sorted(
            load.latency_s for load in self._loads.values() if load.answers
        )
        is_sufficient = len(latencies) >= MIN_LATENCIES_FOR_MEDIAN
        self._cached_median_s = (
            latencies[len(latencies) // 2] if is_sufficient else float("inf")
        )
        return self._cached_median_s

    def _shuffled(self) -> Iterator[Upstream]:
        """Yield all upstreams in random order, starting at a random position."""
        self._search_count += 1
        if self._search_count % SEARCHES_PER_SHUFFLE == 0:
            self._rng.shuffle(self._search_order)
        if not self._search_order:
            return
        start = self._rng.randrange(len(self._search_order))
        yield from self._search_order[start:]
        yield from self._search_order[:start]

    def _count_usable_slots(self, *, now_s: float) -> int:
        """Return the total slots of the upstreams that this entry may use."""
        if now_s - self._usable_slots_at_s < AGGREGATE_MAX_AGE_S:
            return self._usable_slots
        self._usable_slots_at_s = now_s
        self._usable_slots = sum(
            upstream.slots
            for upstream in self._search_order
            if self._in_rotation(upstream, now_s=now_s)
            and not self._outliers.is_ejected(upstream.id, now_s=now_s)
            and (
                self._is_warm(upstream)
                or self._ownership.owns(upstream.id, now_s=now_s)
            )
        )
        return self._usable_slots

    def _in_rotation(self, upstream: Upstream, *, now_s: float) -> bool:
        if upstream.id not in self._in_service:
            return False
        return self._leaving_until_s.get(upstream.id, 0.0) <= now_s

    def _evaluate(
        self,
        upstream: Upstream,
        request: Submit,
        search: CandidateSearch,
        *,
        occupied: frozenset[str] | None,
        now_s: float,
    ) -> None:
        """Add an upstream to the result of a search.

        For a crash suspect, ``occupied`` holds the upstreams that already run
        one; for any other request it is ``None``.
        """
        suspect = occupied is not None
        if self._outliers.is_ejected(upstream.id, now_s=now_s):
            search.blocked_reason = "every upstream in service is ejected"
            return
        if occupied is not None and upstream.id in occupied:
            search.pending_count += 1
            return
        owned_only = suspect or not self._is_warm(upstream)
        if owned_only and not self._check_ownership(
            upstream, request, search, suspect=suspect, now_s=now_s
        ):
            return
        search.usable_count += 1
        if self._has_capacity(upstream, now_s=now_s):
            load = self._loads[upstream.id]
            search.candidates.append(Candidate(upstream=upstream, load=load))

    def _check_ownership(
        self,
        upstream: Upstream,
        request: Submit,
        search: CandidateSearch,
        *,
        suspect: bool,
        now_s: float,
    ) -> bool:
        if self._ownership.owns(upstream.id, now_s=now_s):
            return True
        owner = self._ownership.owner(upstream.id, now_s=now_s)
        if owner == self._ownership.member:
            search.pending_count += 1
        elif owner is not None and not request.forwarded:
            search.owners.append(owner)
            search.forward_purpose = "suspect" if suspect else "warm_up"
        return False

    def _has_capacity(self, upstream: Upstream, *, now_s: float) -> bool:
        if self._backoff_until_s.get(upstream.id, 0.0) > now_s:
            return False
        load = self._loads[upstream.id]
        if self._outliers.is_on_trial(upstream.id) and load.in_flight > 0:
            return False
        allowance = self._warmup.allowance(upstream, now_s=now_s)
        return load.in_flight < min(allowance, upstream.connections)

    def on_shed(self, upstream: Upstream, *, now_s: float) -> None:
        """Back off from an upstream that shed, longer for each shed in a row."""
        backoff_s = self._shed_backoff_s.get(upstream.id, SHED_BACKOFF_S)
        self._backoff_until_s[upstream.id] = now_s + backoff_s
        self._shed_backoff_s[upstream.id] = min(2.0 * backoff_s, MAX_SHED_BACKOFF_S)

    def on_leaving(self, upstream: Upstream, leaving: bool, *, now_s: float) -> None:
        """Record whether an upstream reports that it is leaving."""
        if leaving:
            self._leaving_until_s[upstream.id] = now_s + LEAVING_TTL_S
        else:
            self._leaving_until_s.pop(upstream.id, None)

    def on_connection_broken(self, upstream: Upstream, *, now_s: float) -> None:
        """Mark a warm upstream as unverified: it may have restarted."""
        if self._warmup.is_warm(upstream.id):
            self._warmup.mark_unverified(upstream.id, now_s=now_s)
            self._record_repair(upstream, "its connections broke")

    def _record_repair(
        self, upstream: Upstream, why: str, kind: str = "warm-up"
    ) -> None:
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
        """Record a successful answer."""
        self._shed_backoff_s.pop(upstream.id, None)
        was_unverified = self._warmup.is_unverified(upstream.id)
        if self._warmup.on_answer(
            upstream, start_id=start_id, sent_at_s=sent_at_s, now_s=now_s
        ):
            self._record_repair(upstream, "it restarted")
        elif was_unverified and start_id and self._warmup.is_warm(upstream.id):
            self._record_repair(upstream, "it had not restarted", kind="warm again")
        if not self._warmup.is_warm(upstream.id):
            return
        if not self._is_slow(upstream, latency_s, now_s=now_s):
            self._slow_answers_in_row.pop(upstream.id, None)
            return
        count = self._slow_answers_in_row.get(upstream.id, 0) + 1
        self._slow_answers_in_row[upstream.id] = count
        if count >= SLOW_ANSWERS_BEFORE_COLD:
            del self._slow_answers_in_row[upstream.id]
            self._warmup.mark_cold(upstream.id, start_id=start_id, now_s=now_s)
            self._record_repair(upstream, "it became slow")

    def start_key(self, upstream: Upstream, *, now_s: float) -> str:
        """Return a key for the current start of an upstream, by id or else by time."""
        state = self._warmup.state(upstream.id, now_s=now_s)
        start_id = "" if state.unverified else state.start_id
        return f"{upstream.id}@{start_id or f'{state.since_s:.3f}'}"

    def on_start_id(self, upstream: Upstream, start_id: str, *, now_s: float) -> None:
        """Record the start id that an upstream reports; a new one makes it cold."""
        known = self._warmup.state(upstream.id, now_s=now_s).start_id
        if start_id and known and start_id != known:
            self._warmup.mark_cold(upstream.id, start_id=start_id, now_s=now_s)
            self._record_repair(upstream, "it restarted")

    def _is_slow(self, upstream: Upstream, latency_s: float, *, now_s: float) -> bool:
        average_s = self._loads[upstream.id].latency_s
        median_s = self._median_latency_s(now_s=now_s)
        return min(latency_s, average_s) > SLOW_FACTOR * median_s

    def states(self, *, now_s: float) -> list[UpstreamState]:
        """Return the state of each upstream as reported to operators."""
        return [self._state(u, now_s=now_s) for u in self._service.upstreams]

    def _state(self, upstream: Upstream, *, now_s: float) -> UpstreamState:
        state, why = self._state_and_reason(upstream, now_s=now_s)
        return UpstreamState(
            upstream=upstream,
            state=state,
            why=why,
            in_flight=self._loads[upstream.id].in_flight,
        )

    def _state_and_reason(self, upstream: Upstream, *, now_s: float) -> tuple[str, str]:
        if upstream.id not in self._in_service:
            return "out", "taken out of service by an operator"
        if self._leaving_until_s.get(upstream.id, 0.0) > now_s:
            return "leaving", "reported by the upstream"
        if self._outliers.is_ejected(upstream.id, now_s=now_s):
            failures = self._outliers.state(upstream.id).consecutive_failures
            return "ejected", f"{failures} consecutive failures"
        if self._is_warm(upstream):
            return "warm", ""
        state = self._warmup.state(upstream.id, now_s=now_s)
        owner = self._ownership.owner(upstream.id, now_s=now_s)
        if state.unverified:
            return "cold", f"its connections broke; {owner} checks for a restart"
        active_s = state.active_s
        return "cold", f"{active_s:.1f} s of {upstream.warmup_s:g} s, by {owner}"
