"""Warm-up of cold upstreams.

An upstream is cold until the fleet has seen it work for ``warmup_s``. While
cold, only its owner sends to it, and never more at once than the allowance.
That stays at ``cold_concurrency`` for the first half of the warm-up and then
grows to the upstream's slots.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from borageramp_core._internal.model import Upstream

__all__ = ["WarmState", "WarmUp"]


@dataclass(kw_only=True, slots=True)
class WarmState:
    """What is known of one upstream's warm-up.

    Attributes
    ----------
    since_s : float
        Time at which it became cold or, if ``warm``, at which it became warm.
    warm : bool
        Whether it bears its full share.
    observed : bool
        Whether an entry saw it become so; ``False`` for an upstream that is
        taken to be cold because nothing is known of it.
    active_s : float
        Time for which it has answered while cold.
    last_answer_s : float or None
        Time of the last answer counted.
    start_id : str
        Start of the upstream that the state is about.
    recorded_at_s : float
        Time at which this entry took note of the last change.
    unverified : bool
        Whether it is taken to be cold only until it shows that it still is
        the start that was warm.
    contradicted_at_s : float or None
        Time at which a peer held it for cold; the next answer settles that.
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
    """The warm-up of every upstream, as one entry sees it.

    Notes
    -----
    A state's time says when it was seen, by the clock of who holds it.
    Heartbeats arrive late by an unknown time, so that two states may stand in
    the wrong order. The rules are made so that the views agree in the end:

    - Being warm dates from when the answer that shows it was asked for, so
      that it never looks later than it was.
    - An entry that doesn't accept a peer's state of a warm upstream repeats
      its own. Whoever holds the upstream for
      warm then says so anew with the next answer, and that is later.
    """

    # An idle gap counts as work only up to this, so that an upstream with
    # one request a minute does not pass for warm.
    MAX_COUNTED_GAP_S = 0.5
    # Heartbeats are late by no more than this, or repeat until they are not.
    MAX_HEARTBEAT_DELAY_S = 1.0

    def __init__(self) -> None:
        self._states: dict[str, WarmState] = {}
        # Observed upstreams, the latest noted last.
        self._by_recency: OrderedDict[str, None] = OrderedDict()

    def state(self, upstream_id: str, *, now_s: float) -> WarmState:
        """Return the state of an upstream; an unknown one is cold."""
        state = self._states.get(upstream_id)
        if state is None:
            state = WarmState(since_s=now_s)
            self._states[upstream_id] = state
        return state

    def is_warm(self, upstream_id: str) -> bool:
        """Tell whether an upstream bears its full share."""
        state = self._states.get(upstream_id)
        return state is not None and state.warm

    def is_unverified(self, upstream_id: str) -> bool:
        """Tell whether an upstream is only taken to be cold."""
        state = self._states.get(upstream_id)
        return state is not None and state.unverified

    def allowance(self, upstream: Upstream, *, now_s: float) -> int:
        """Return how many requests at once an upstream bears, fleet-wide."""
        state = self.state(upstream.id, now_s=now_s)
        if state.warm or upstream.warmup_s <= 0:
            return upstream.slots
        share = max(0.0, min(1.0, 2.0 * state.active_s / upstream.warmup_s - 1.0))
        grown = (upstream.slots - upstream.cold_concurrency) * share
        return max(1, min(upstream.slots, upstream.cold_concurrency + int(grown)))

    def on_answer(
        self, upstream: Upstream, *, start_id: str, sent_at_s: float, now_s: float
    ) -> bool:
        """Count a good answer.

        Parameters
        ----------
        upstream : Upstream
            Who answered.
        start_id : str
            Start that it says it is; empty if it doesn't say.
        sent_at_s, now_s : float
            When the request was sent, and the present time.

        Returns
        -------
        bool
            ``True`` if the answer showed that the upstream has restarted.
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
            # Which of the two starts is the later one, the next answer tells.
            if state.warm:
                self.mark_unverified(upstream_id, now_s=now_s)
            return False
        self.mark_cold(upstream_id, start_id=start_id, now_s=now_s)
        return True

    def _confirm_warm(
        self, upstream_id: str, state: WarmState, *, sent_at_s: float, now_s: float
    ) -> None:
        """Say anew that an upstream is warm, if a peer held it for cold."""
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
        """Start the warm-up of an upstream afresh."""
        state = WarmState(since_s=now_s, start_id=start_id)
        self._states[upstream_id] = state
        self._record_change(upstream_id, state, now_s=now_s)

    def mark_unverified(self, upstream_id: str, *, now_s: float) -> None:
        """Take a warm upstream to be cold until it shows that it is not.

        A broken connection tells neither that an upstream started anew nor
        that it didn't. An answer to a request sent later tells, if upstreams
        name their starts.
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
        """Take over a peer's observation that an upstream went cold.

        Returns
        -------
        bool
            Whether it was news.
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
        """Take over a peer's observation that an upstream is warm.

        Returns
        -------
        bool
            Whether it was news.
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
        """Return up to when a peer's state is older than what is known."""
        same_start = state.start_id in ("", start_id)
        return state.since_s + (0.0 if same_start else self.MAX_HEARTBEAT_DELAY_S)

    def forget(self, upstream_id: str) -> None:
        """Drop the state of an upstream, which is cold when it returns."""
        self._states.pop(upstream_id, None)
        self._by_recency.pop(upstream_id, None)

    def recent_changes(self, *, since_s: float) -> Iterator[tuple[str, WarmState]]:
        """Yield the changes that this entry noted since a time, latest first."""
        for name in reversed(self._by_recency):
            state = self._states[name]
            if state.recorded_at_s < since_s:
                return
            yield name, state
