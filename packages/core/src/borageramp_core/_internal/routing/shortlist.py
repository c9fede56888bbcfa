"""Preference order and subset of a service's upstreams for one entry.

In a large fleet, an entry sends few requests and there are hundreds of upstreams.
If it used all of them, hardly any request would find an open connection. So each
entry has its own order of upstreams and compares only the first ones: as many as
get about one request each before their idle connections close. The order follows
weighted rendezvous hashes [1]_ of entry and upstream, which cover all upstreams
evenly and keep the others in place when one is added or removed.

References
----------
.. [1] C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables",
   Proc. 17th ACM SPAA, 2005.
"""

import hashlib
from collections.abc import Iterable

from borageramp_core._internal.routing.upstream_view import UpstreamView

__all__ = ["Shortlist"]

# The upstreams of the first round of probes, and one more.
MIN_WIDTH = 4
# Interval in which each compared upstream should get a request, so that its
# connections aren't closed as idle.
CONNECTION_REUSE_S = 6.0
# Half-life of the request rate estimate; LN_2 converts a count with this decay to
# a rate.
RATE_HALF_LIFE_S = 3.0
LN_2 = 0.6931
# Weight of upstreams in the entry's data centre. Traffic between data centres
# costs, but entries and upstreams are distributed unevenly over them.
LOCAL_WEIGHT = 3.0
# Time after which a shortlist that was widened for lack of capacity narrows again.
WIDENED_HOLD_S = 2.0
HASH_SPACE = 2.0**64


class Shortlist:
    """Upstreams of one service, ordered by the preference of one entry.

    Parameters
    ----------
    member : str
        Name of this entry.
    data_centre : str
        Data centre of this entry.

    Attributes
    ----------
    order : list of UpstreamView
        All upstreams, the preferred ones first.
    """

    def __init__(self, *, member: str, data_centre: str) -> None:
        self.order: list[UpstreamView] = []
        self._member = member
        self._data_centre = data_centre
        self._scores: dict[str, float] = {}
        self._rate_hz = 0.0
        self._rate_at_s = float("-inf")
        self._width_factor = 1
        self._widened_at_s = float("-inf")

    def update(self, views: Iterable[UpstreamView]) -> None:
        """Replace the list of upstreams."""
        views = list(views)
        scores = {v.registration.id: self._score(v) for v in views}
        self._scores = scores
        self.order = sorted(
            views, key=lambda v: scores[v.registration.id], reverse=True
        )

    def _score(self, view: UpstreamView) -> float:
        name = view.registration.id
        cached = self._scores.get(name)
        if cached is not None:
            return cached
        text = f"{self._member}\0{name}".encode()
        number = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
        is_local = view.registration.data_centre == self._data_centre
        share: float = number / HASH_SPACE
        return share ** (1.0 / (LOCAL_WEIGHT if is_local else 1.0))

    def on_request(self, *, now_s: float) -> None:
        """Add a request to the rate estimate."""
        self._rate_hz = self._decayed_rate_hz(now_s=now_s) + LN_2 / RATE_HALF_LIFE_S
        self._rate_at_s = now_s

    def _decayed_rate_hz(self, *, now_s: float) -> float:
        age_s = now_s - self._rate_at_s
        return float(self._rate_hz * 0.5 ** min(64.0, age_s / RATE_HALF_LIFE_S))

    def width(self, *, now_s: float) -> int:
        """Return how many upstreams to compare."""
        if now_s - self._widened_at_s > WIDENED_HOLD_S:
            self._width_factor = 1
        target_width = round(self._decayed_rate_hz(now_s=now_s) * CONNECTION_REUSE_S)
        return max(MIN_WIDTH, target_width) * self._width_factor

    def widen(self, *, now_s: float) -> bool:
        """Double the width for a while; return whether that adds upstreams."""
        width = self.width(now_s=now_s)
        self._widened_at_s = now_s
        if width >= len(self.order):
            return False
        self._width_factor *= 2
        return True
