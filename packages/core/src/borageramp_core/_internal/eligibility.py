"""Which upstreams may take a request now, and who else could place it."""

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

# How long an upstream that shed gets nothing new; doubles while it goes on.
SHED_BACKOFF_S = 0.01
MAX_SHED_BACKOFF_S = 1.0
# A word of leaving counts this long unless it is repeated.
LEAVING_TTL_S = 30.0
# An upstream this much slower than the service's median is treated as cold.
SLOW_FACTOR = 5.0
# A search ends with this many candidates, more than a policy compares.
MAX_CANDIDATES = 8
SEARCHES_PER_SHUFFLE = 64
AGGREGATE_MAX_AGE_S = 0.25
SLOW_ANSWERS_BEFORE_COLD = 5
# Share of the first tries for which cold upstreams go first.
COLD_FIRST_SHARE = 0.25
# Fewer known latencies don't tell which one is slow.
MIN_LATENCIES_FOR_MEDIAN = 3


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
        self._search_order = list(service.upstreams)
        self._rng.shuffle(self._search_order)
        self._usable_slots_at_s = float("-inf")

    def find(self, request: Submit, *, now_s: float) -> CandidateSearch:
        """Find the upstreams that may take a request.

        Parameters
        ----------
        request : Submit
            The request.
        now_s : float
            Present time.

        Returns
        -------
        CandidateSearch
            The candidates, and what else could be done.
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
            search.blocked_reason = "every upstream left is cold, ejected or busy"
        search.usable_slots = self._count_usable_slots(now_s=now_s)
        if request.extra:
            self._avoid_shared_pairs(request, search)
        return search

    def _avoid_shared_pairs(self, request: Submit, search: CandidateSearch) -> None:
        """Keep two requests from having the same two upstreams.

        Within this entry that is a rule, unless there are only two. Requests
        of other entries are kept apart by a preference: each pair of
        upstreams has an owner, whose hedges go there first.
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
        """Drop slow candidates; tell whether the rest is worth taking.

        A request that can't bear a slow upstream rather waits for another, as
        long as there is one.
        """
        limit_s = SLOW_FACTOR * self._median_latency_s(now_s=now_s)
        fast = [c for c in search.candidates if c.load.latency_s <= limit_s]
        if fast:
            search.candidates = fast
        return bool(fast) or search.usable_count <= len(search.candidates)

    def prefer_cold(self, search: CandidateSearch) -> None:
        """Keep only the cold candidates now and then, if there are any.

        They look slow, and left to themselves would warm up late. A share of
        the requests is enough, and the rest keep their latency.
        """
        if self._rng.random() >= COLD_FIRST_SHARE:
            return
        cold = [c for c in search.candidates if not self._is_warm(c.upstream)]
        if cold:
            search.candidates = cold

    def _is_warm(self, upstream: Upstream) -> bool:
        return upstream.warmup_s <= 0 or self._warmup.is_warm(upstream.id)

    def _median_latency_s(self, *, now_s: float) -> float:
        """Return the median latency of the upstreams."""
        if now_s - self._cached_median_at_s < AGGREGATE_MAX_AGE_S:
            return self._cached_median_s
        self._cached_median_at_s = now_s
        latencies = sorted(
            load.latency_s for load in self._loads.values() if load.answers
        )
        enough = len(latencies) >= MIN_LATENCIES_FOR_MEDIAN
        self._cached_median_s = (
            latencies[len(latencies) // 2] if enough else float("inf")
        )
        return self._cached_median_s

    def _shuffled(self) -> Iterator[Upstream]:
        """Yield all upstreams, from a random place in a random order."""
        self._search_count += 1
        if self._search_count % SEARCHES_PER_SHUFFLE == 0:
            self._rng.shuffle(self._search_order)
        if not self._search_order:
            return
        start = self._rng.randrange(len(self._search_order))
        yield from self._search_order[start:]
        yield from self._search_order[:start]

    def _count_usable_slots(self, *, now_s: float) -> int:
        """Return the slots of the upstreams that this entry may use."""
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
        """Note what an upstream can do for a request.

        For a suspect, ``occupied`` holds the upstreams that have another one.
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
        """Give an upstream that shed a pause, longer each time in a row."""
        backoff_s = self._shed_backoff_s.get(upstream.id, SHED_BACKOFF_S)
        self._backoff_until_s[upstream.id] = now_s + backoff_s
        self._shed_backoff_s[upstream.id] = min(2.0 * backoff_s, MAX_SHED_BACKOFF_S)

    def on_leaving(self, upstream: Upstream, leaving: bool, *, now_s: float) -> None:
        """Take in whether an upstream says that it is leaving."""
        if leaving:
            self._leaving_until_s[upstream.id] = now_s + LEAVING_TTL_S
        else:
            self._leaving_until_s.pop(upstream.id, None)

    def on_connection_broken(self, upstream: Upstream, *, now_s: float) -> None:
        """Doubt that an upstream whose connections break is still warm."""
        if self._warmup.is_warm(upstream.id):
            self._warmup.mark_unverified(upstream.id, now_s=now_s)
            self._record_repair(upstream, "connections broke")

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
        """Take in a good answer."""
        self._shed_backoff_s.pop(upstream.id, None)
        doubted = self._warmup.is_unverified(upstream.id)
        if self._warmup.on_answer(
            upstream, start_id=start_id, sent_at_s=sent_at_s, now_s=now_s
        ):
            self._record_repair(upstream, "it started anew")
        elif doubted and start_id and self._warmup.is_warm(upstream.id):
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
        """Return a name for the present start of an upstream."""
        state = self._warmup.state(upstream.id, now_s=now_s)
        start_id = "" if state.unverified else state.start_id
        return f"{upstream.id}@{start_id or f'{state.since_s:.3f}'}"

    def on_start_id(self, upstream: Upstream, start_id: str, *, now_s: float) -> None:
        """Take in which start an upstream says it is."""
        known = self._warmup.state(upstream.id, now_s=now_s).start_id
        if start_id and known and start_id != known:
            self._warmup.mark_cold(upstream.id, start_id=start_id, now_s=now_s)
            self._record_repair(upstream, "it started anew")

    def _is_slow(self, upstream: Upstream, latency_s: float, *, now_s: float) -> bool:
        average_s = self._loads[upstream.id].latency_s
        median_s = self._median_latency_s(now_s=now_s)
        return min(latency_s, average_s) > SLOW_FACTOR * median_s

    def states(self, *, now_s: float) -> list[UpstreamState]:
        """Return the state of each upstream for an operator."""
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
            return "out", "taken out by operators"
        if self._leaving_until_s.get(upstream.id, 0.0) > now_s:
            return "leaving", "said so itself"
        if self._outliers.is_ejected(upstream.id, now_s=now_s):
            failures = self._outliers.state(upstream.id).consecutive_failures
            return "ejected", f"{failures} failures in a row"
        if self._is_warm(upstream):
            return "warm", ""
        state = self._warmup.state(upstream.id, now_s=now_s)
        owner = self._ownership.owner(upstream.id, now_s=now_s)
        if state.unverified:
            return "cold", f"connections broke; {owner} finds out"
        worked_s = state.active_s
        return "cold", f"{worked_s:.1f} s of {upstream.warmup_s:g} s, by {owner}"
