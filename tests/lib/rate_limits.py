"""Rate limits of simulated upstreams, and the bound on what they may get."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from borageramp_core.routing import AnswerKind, UpstreamView

__all__ = ["Excess", "RateLimits", "UNLIMITED_HZ"]

UNLIMITED_HZ = float("inf")
# The bound: from NOTICE_S after a limit began, an upstream gets at most OVERAGE times
# its limit and SLACK more requests in each span of WINDOW_S from entries that passed
# on an answer with the limit at least TOLD_S before.
NOTICE_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5.0
TOLD_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Excess:
    """A span of time in which an upstream got more than its limit allows.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    from_s : float
        Begin of the span.
    requests : int
        Requests that count.
    allowed : float
        Requests that its limit allows.
    """

    upstream: str
    from_s: float
    requests: int
    allowed: float


class RateLimits:
    """Limits that simulated upstreams name, and the requests that they get.

    Parameters
    ----------
    limit_hz : callable, optional
        Returns the limit of an upstream at a time, infinity without one.
    in_health_checks : bool
        Whether answers of health endpoints name it as well.
    """

    def __init__(
        self,
        limit_hz: Callable[[str, float], float] = lambda name, now_s: UNLIMITED_HZ,
        *,
        in_health_checks: bool = True,
    ) -> None:
        self._limit_hz = limit_hz
        self._in_health_checks = in_health_checks
        self._told_at_s: dict[tuple[str, str], float] = {}
        self._began_at_s: dict[str, float] = {}
        self.arrivals: defaultdict[str, list[tuple[float, bool]]] = defaultdict(list)

    def on_arrival(self, upstream: str, *, entry: str, now_s: float) -> None:
        """Record a request to an upstream."""
        told_at_s = self._told_at_s.get((upstream, entry), float("inf"))
        limited = self._limit_hz(upstream, now_s) < UNLIMITED_HZ
        counts = limited and told_at_s + TOLD_S <= now_s
        self.arrivals[upstream].append((now_s, counts))

    def on_answer(
        self,
        view: UpstreamView,
        *,
        entry: str,
        kind: AnswerKind,
        sent_at_s: float,
        now_s: float,
    ) -> None:
        """Tell an entry the limit with an answer."""
        name = view.registration.id
        limit_hz = self._limit_hz(name, now_s)
        if limit_hz < UNLIMITED_HZ:
            self._began_at_s.setdefault(name, now_s)
        if kind is AnswerKind.REQUEST and limit_hz < UNLIMITED_HZ:
            self._told_at_s.setdefault((name, entry), now_s)
        if kind is AnswerKind.HEALTH_CHECK and not self._in_health_checks:
            limit_hz = UNLIMITED_HZ
        view.rate_limit.on_answer(limit_hz, kind=kind, sent_at_s=sent_at_s, now_s=now_s)

    def excesses(self) -> list[Excess]:
        """Return the spans in which upstreams got too much, one at most for each."""
        found = []
        for upstream, arrivals in self.arrivals.items():
            begin_s = self._began_at_s.get(upstream, float("inf")) + NOTICE_S
            for from_s, _ in arrivals:
                until_s = from_s + WINDOW_S
                times = [
                    t for t, counts in arrivals if counts and from_s <= t < until_s
                ]
                highest_hz = max(
                    (self._limit_hz(upstream, t) for t in times), default=0
                )
                allowed = OVERAGE * WINDOW_S * highest_hz + SLACK
                if from_s >= begin_s and len(times) > allowed:
                    found.append(
                        Excess(
                            upstream=upstream,
                            from_s=from_s,
                            requests=len(times),
                            allowed=allowed,
                        )
                    )
                    break
        return found
