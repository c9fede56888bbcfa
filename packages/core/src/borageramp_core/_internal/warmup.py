"""Warm-up of cold upstreams.

An upstream is cold until it has been active for ``warmup_s``, as observed by
the fleet. While it is cold, only its owner sends requests to it, and the
concurrency is limited to an allowance. The allowance is ``cold_concurrency``
for the first half of the warm-up and then grows linearly to the slots of the
upstream.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from borageramp_core._internal.model import Upstream

__all__ = ["WarmState", "WarmUp"]


@dataclass(kw_only=True, slots=True)
class WarmState:
    """Warm-up state of one upstream.

    Attributes
    ----------
    since_s : float
        Time at which it became cold or, if ``warm``, warm.
    warm : bool
        Whether it can take its full share of requests.
    observed : bool
        Whether an entry observed the change; ``False`` for an upstream that
        is assumed to be cold because its state is unknown.
    active_s : float
        Time for which it has been responding while cold.
    last_answer_s : float or None
        Time of the last response counted in ``active_s``.
    start_id : str
        Identifier of the upstream start that the state describes.
    recorded_at_s : float
        Time at which this entry recorded the last change.
    unverified : bool
        Whether it is treated as cold only until a response shows that it has
        not restarted since it was warm.
    contradicted_at_s : float or None
        Time at which a peer reported a warm upstream as cold. The response
        to a later request resolves the contradiction.
    """

    since_s: float
    warm: bool = False
    observed: bool = False
    active_s: float = 0.0
    last_answer_s: float | None = None
    start_id: str = ""
    recorded_at_s: float = float("-inf")
    unverified: bool = False
    contradicted_at_s: float | None = None


class WarmUp:
    """Warm-up states of all upstreams, as seen by one entry.

    Notes
    -----
    The time of a state is when it was observed, by the clock of the entry that
    holds it. Heartbeats arrive with an unknown delay, so two states may be
    ordered wrongly. Two rules make the states of all entries converge:

    - A warm state dates from when the request was sent whose response shows
      it, so that it never appears later than it was.
    - An entry that rejects a peer's state of a warm upstream publishes its own
      state again. An entry that holds the upstream to be warm then renews that
      state, with a later time, at the next response.
    """

    # Longer gaps between responses count only up to this, so that an upstream
    # with one request per minute does not become warm.
    MAX_COUNTED_GAP_S = 0.5
    # Heartbeats delayed by more than this are repeated until one is on time.
    MAX_HEARTBEAT_DELAY_S = 1.0

    def __init__(self) -> None:
        self._states: dict[str, WarmState] = {}
        # Observed upstreams, the most recently changed last.
        self._by_recency: OrderedDict[str, None] = OrderedDict()

    def state(self, upstream_id: str, *, now_s: float) -> WarmState:
        """Return the state of an upstream; one without a state is cold."""
        state = self._states.get(upstream_id)
        if state is None:
            state = WarmState(since_s=now_s)
            self._states[upstream_id] = state
        return state

    def is_warm(self, upstream_id: str) -> bool:
        """Return whether an upstream can take its full share of requests."""
        state = self._states.get(upstream_id)
        return state is not None and state.warm

    def is_unverified(self, upstream_id: str) -> bool:
        """Return whether an upstream is treated as cold until verified."""
        state = self._states.get(upstream_id)
        return state is not None and state.unverified

    def allowance(self, upstream: Upstream, *, now_s: float) -> int:
        """Return the maximum concurrency of an upstream across the fleet."""
        state = self.state(upstream.id, now_s=now_s)
        if state.warm or upstream.warmup_s <= 0:
            return upstream.slots
        share = max(0.0, min(1.0, 2.0 * state.active_s / upstream.warmup_s - 1.0))
        grown = (upstream.slots - upstream.cold_concurrency) * share
        return max(1, min(upstream.slots, upstream.cold_concurrency + int(grown)))

    def on_answer(
        self, upstream: Upstream, *, start_id: str, sent_at_s: float, now_s: float
    ) -> bool:
        """Record a successful response.

        Parameters
        ----------
        upstream : Upstream
            Upstream that responded.
        start_id : str
            Start identifier in the response; empty if it has none.
        sent_at_s, now_s : float
            Time at which the request was sent, and present time.

        Returns
        -------
        bool
            ``True`` if the response showed that the upstream has restarted.
        """
        state = self.state(upstream.id, now_s=now_s)
        if start_id and state.start_id and start_id != state.start_id:
            return self._on_start_id_changed(
                upstream.id, state, start_id, sent_at_s=sent_at_s, now_s=now_s
            )
        if start_id and not state.start_id:
            state.start_id, state.since_s = start_id, now_s
        if state.warm:
            self._confirm_warm(upstream.id, state, sent_at_s=sent_at_s, now_s=now_s)
        elif state.unverified and start_id and sent_at_s > state.since_s:
            self._become_warm(upstream.id, state, at_s=sent_at_s, now_s=now_s)
        else:
            self._count_active_time(state, now_s=now_s)
            if state.active_s >= upstream.warmup_s:
                at_s = max(sent_at_s, state.since_s)
                self._become_warm(upstream.id, state, at_s=at_s, now_s=now_s)
        return False

    def _on_start_id_changed(
        self,
        upstream_id: str,
        state: WarmState,
        start_id: str,
        *,
        sent_at_s: float,
        now_s: float,
    ) -> bool:
        if state.observed and sent_at_s <= state.since_s:
            # The response to a later request shows which start is the later one.
            if state.warm:
                self.mark_unverified(upstream_id, now_s=now_s)
            return False
        self.mark_cold(upstream_id, start_id=start_id, now_s=now_s)
        return True

    def _confirm_warm(
        self, upstream_id: str, state: WarmState, *, sent_at_s: float, now_s: float
    ) -> None:
        """Renew the warm state of an upstream that a peer reported as cold."""
        if state.contradicted_at_s is not None and sent_at_s > state.contradicted_at_s:
            self._become_warm(upstream_id, state, at_s=sent_at_s, now_s=now_s)

    def _become_warm(
        self, upstream_id: str, state: WarmState, *, at_s: float, now_s: float
    ) -> None:
        state.warm = True
        state.unverified = False
        state.contradicted_at_s = None
        state.since_s = at_s
        self._record_change(upstream_id, state, now_s=now_s)

    def _record_change(
        self, upstream_id: str, state: WarmState, *, now_s: float
    ) -> None:
        state.observed = True
        state.recorded_at_s = now_s
        self._by_recency[upstream_id] = None
        self._by_recency.move_to_end(upstream_id)

    def _count_active_time(self, state: WarmState, *, now_s: float) -> None:
        if state.last_answer_s is not None:
            step_s = now_s - state.last_answer_s
            state.active_s += min(step_s, self.MAX_COUNTED_GAP_S)
        state.last_answer_s = now_s

    def mark_cold(self, upstream_id: str, *, start_id: str, now_s: float) -> None:
        """Restart the warm-up of an upstream."""
        state = WarmState(since_s=now_s, start_id=start_id)
        self._states[upstream_id] = state
        self._record_change(upstream_id, state, now_s=now_s)

    def mark_unverified(self, upstream_id: str, *, now_s: float) -> None:
        """Treat a warm upstream as cold until a response verifies that it is warm.

        A broken connection does not show whether the upstream has restarted.
        The response to a later request does, if the upstream reports a start
        identifier.
        """
        start_id = self.state(upstream_id, now_s=now_s).start_id
        self.mark_cold(upstream_id, start_id=start_id, now_s=now_s)
        self._states[upstream_id].unverified = start_id != ""

    def merge_cold(
        self,
        upstream_id: str,
        *,
        start_id: str,
        age_s: float,
        now_s: float,
        unverified: bool = False,
    ) -> bool:
        """Merge a peer's observation that an upstream became cold.

        Returns
        -------
        bool
            Whether the observation was accepted as new.
        """
        state = self.state(upstream_id, now_s=now_s)
        since_s = now_s - age_s
        known_start = start_id and start_id == state.start_id and not state.warm
        older_start = unverified and state.start_id not in ("", start_id)
        if known_start or older_start or since_s <= state.since_s:
            if state.warm:
                state.contradicted_at_s = now_s
            return False
        self.mark_cold(upstream_id, start_id=start_id, now_s=since_s)
        self._states[upstream_id].recorded_at_s = now_s
        self._states[upstream_id].unverified = unverified
        return True

    def merge_warm(
        self, upstream_id: str, *, start_id: str, age_s: float, now_s: float
    ) -> bool:
        """Merge a peer's observation that an upstream is warm.

        Returns
        -------
        bool
            Whether the observation was accepted as new.
        """
        state = self.state(upstream_id, now_s=now_s)
        if state.warm:
            return False
        since_s = now_s - age_s
        known = state.observed or state.start_id
        if known and since_s <= self._outdated_until_s(state, start_id):
            self._record_change(upstream_id, state, now_s=now_s)
            return False
        state.start_id = start_id
        self._become_warm(upstream_id, state, at_s=since_s, now_s=now_s)
        return True

    def _outdated_until_s(self, state: WarmState, start_id: str) -> float:
        """Return the time up to which a peer's state counts as outdated."""
        same_start = state.start_id in ("", start_id)
        return state.since_s + (0.0 if same_start else self.MAX_HEARTBEAT_DELAY_S)

    def forget(self, upstream_id: str) -> None:
        """Drop the state of an upstream, so that it is cold if it returns."""
        self._states.pop(upstream_id, None)
        self._by_recency.pop(upstream_id, None)

    def recent_changes(self, *, since_s: float) -> Iterator[tuple[str, WarmState]]:
        """Yield the states that changed here since a time, latest first."""
        for name in reversed(self._by_recency):
            state = self._states[name]
            if state.recorded_at_s < since_s:
                return
            yield name, state
