"""What upstreams said of themselves, kept while their registration lapses."""

from borageramp_core._internal.routing.rate_limit import RateLimitState
from borageramp_core._internal.routing.upstream_view import (
    UpstreamIncarnation,
    UpstreamView,
    incarnation_of,
)

__all__ = ["KeptNotices"]

# The store entry of a leaving upstream may lapse and return while it still serves.
NOTICE_TTL_S = 600.0


class KeptNotices:
    """Leave notices and rate limits of upstreams, by their incarnation."""

    def __init__(self) -> None:
        self._leaving_since_s: dict[UpstreamIncarnation, float] = {}
        self._limits: dict[UpstreamIncarnation, tuple[RateLimitState, float]] = {}

    def on_leaving(self, view: UpstreamView, *, now_s: float) -> None:
        """Keep that an upstream announced that it is leaving."""
        self._leaving_since_s[incarnation_of(view.registration)] = now_s

    def on_removed(self, view: UpstreamView, *, now_s: float) -> None:
        """Keep the rate limit of an upstream whose registration lapsed."""
        if view.rate_limit.in_force:
            kept = (view.rate_limit, now_s)
            self._limits[incarnation_of(view.registration)] = kept

    def restore(self, view: UpstreamView) -> None:
        """Apply what is kept of an upstream to its new view."""
        incarnation = incarnation_of(view.registration)
        view.leaving = incarnation in self._leaving_since_s
        kept = self._limits.pop(incarnation, None)
        if kept is not None:
            view.rate_limit = kept[0]

    def expire(self, *, now_s: float) -> None:
        """Drop what is too old to matter."""
        self._leaving_since_s = {
            incarnation: since_s
            for incarnation, since_s in self._leaving_since_s.items()
            if now_s - since_s < NOTICE_TTL_S
        }
        self._limits = {
            incarnation: kept
            for incarnation, kept in self._limits.items()
            if now_s - kept[1] < NOTICE_TTL_S
        }
