"""Outlier detection: ejection of failing upstreams.

An upstream that fails fast appears idle, so its success rate is tracked
separately from its load. At most a configured share of a service, and at
least one upstream, can be ejected at once. After an ejection, an upstream is
on trial: it gets one request at a time until one succeeds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from borageramp_core._internal.model import Upstream

__all__ = ["OutlierState", "Outliers"]


@dataclass(kw_only=True, slots=True)
class OutlierState:
    """Failures and ejections of one upstream.

    Attributes
    ----------
    consecutive_failures : int
        Failures since the last success.
    success_rate : float
        Moving average of the success rate, 0 to 1.
    ejected_until_s : float or None
        End of the ejection; ``None`` while not ejected.
    ejections : int
        Ejections since the success rate last recovered; each one lengthens
        the next, up to ``MAX_EJECTION_FACTOR``.
    on_trial : bool
        Whether it gets one request at a time after an ejection.
    """

    consecutive_failures: int = 0
    success_rate: float = 1.0
    ejected_until_s: float | None = None
    ejections: int = 0
    on_trial: bool = False


class Outliers:
    """Outlier detection for the upstreams of one service.

    Parameters
    ----------
    max_ejected_share : float
        Maximum share of the upstreams that may be ejected at once.
    """

    CONSECUTIVE_FAILURES = 3
    MIN_SUCCESS_RATE = 0.5
    SUCCESS_WEIGHT = 0.1
    MAX_EJECTION_FACTOR = 6

    def __init__(self, *, max_ejected_share: float) -> None:
        self.max_ejected_share = max_ejected_share
        self._states: dict[str, OutlierState] = {}

    def state(self, upstream_id: str) -> OutlierState:
        """Return the state of an upstream, created if missing."""
        return self._states.setdefault(upstream_id, OutlierState())

    def is_ejected(self, upstream_id: str, *, now_s: float) -> bool:
        """Return whether an upstream is ejected.

        An upstream whose ejection has expired goes on trial.
        """
        state = self._states.get(upstream_id)
        if state is None or state.ejected_until_s is None:
            return False
        if now_s < state.ejected_until_s:
            return True
        state.ejected_until_s = None
        state.on_trial = True
        return False

    def is_on_trial(self, upstream_id: str) -> bool:
        """Return whether an upstream is limited to one request at a time."""
        state = self._states.get(upstream_id)
        return state is not None and state.on_trial

    def on_success(self, upstream_id: str) -> None:
        """Record a success."""
        state = self._states.get(upstream_id)
        if state is None:
            return
        state.consecutive_failures = 0
        state.success_rate += (1.0 - state.success_rate) * self.SUCCESS_WEIGHT
        if state.on_trial:
            state.on_trial = False
            state.success_rate = 1.0
        if state.success_rate > 0.95:
            state.ejections = 0

    def on_failure(
        self, upstream: Upstream, *, service_size: int, now_s: float
    ) -> bool:
        """Record a failure.

        Returns
        -------
        bool
            Whether the failure led to an ejection.
        """
        state = self.state(upstream.id)
        state.consecutive_failures += 1
        state.success_rate -= state.success_rate * self.SUCCESS_WEIGHT
        failing = (
            state.on_trial
            or state.consecutive_failures >= self.CONSECUTIVE_FAILURES
            or state.success_rate < self.MIN_SUCCESS_RATE
        )
        if not failing or state.ejected_until_s is not None:
            return False
        if not self._may_eject(upstream.id, service_size=service_size, now_s=now_s):
            return False
        state.ejections += 1
        factor = min(state.ejections, self.MAX_EJECTION_FACTOR)
        state.ejected_until_s = now_s + upstream.eject_s * factor
        state.on_trial = False
        return True

    def _may_eject(self, upstream_id: str, *, service_size: int, now_s: float) -> bool:
        ejected_count = sum(
            1
            for name, state in self._states.items()
            if name != upstream_id
            and state.ejected_until_s is not None
            and now_s < state.ejected_until_s
        )
        return ejected_count + 1 <= max(1, int(service_size * self.max_ejected_share))

    def retain(self, upstream_ids: Iterable[str]) -> None:
        """Drop the state of all upstreams except the given ones."""
        kept = set(upstream_ids)
        self._states = {k: v for k, v in self._states.items() if k in kept}
