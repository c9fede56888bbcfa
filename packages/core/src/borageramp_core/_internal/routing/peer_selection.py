"""Selection of the instance that a request is forwarded to.

Like upstreams, instances are asked for their load right before they are chosen, and
say whether they reach the service.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from borageramp_core._internal.routing.model import Instance
from borageramp_core._internal.routing.reachability import Reach

__all__ = ["PeerReport", "PeerSelector"]

# Reports older than this are not acted on.
REPORT_MAX_AGE_S = 0.25
# Time for which an instance that didn't answer, or doesn't reach a service, is left.
AVOIDANCE_S = 1.0
# Traffic between data centres costs, so local instances win ties.
REMOTE_PENALTY_FACTOR = 1.3


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """What another instance says of itself.

    Attributes
    ----------
    reach : Reach
        How much it reaches of the service that it was asked for.
    in_flight : int
        Requests that it handles.
    """

    reach: Reach
    in_flight: int


@dataclass(kw_only=True, slots=True)
class _Peer:
    instance: Instance
    in_flight: int = 0
    reports: dict[str, tuple[float, PeerReport]] = field(default_factory=dict)
    avoided_until_s: dict[str, float] = field(default_factory=dict)
    unresponsive_until_s: float = float("-inf")


class PeerSelector:
    """Other instances, with what they reported of themselves.

    Parameters
    ----------
    own : Instance
        This instance.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, *, own: Instance, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers: dict[str, _Peer] = {}

    def update(self, instances: Iterable[Instance]) -> None:
        """Replace the list of other instances; those that stay keep their reports."""
        previous = self._peers
        self._peers = {}
        for instance in instances:
            if instance.peer_address is None:
                continue
            peer = previous.get(instance.name)
            if peer is None or peer.instance.incarnation != instance.incarnation:
                peer = _Peer(instance=instance)
            peer.instance = instance
            self._peers[instance.name] = peer

    def to_ask(
        self, service: str, *, count: int, excluded: Collection[str], now_s: float
    ) -> list[Instance]:
        """Return instances without a recent report, those of this data centre first.

        Parameters
        ----------
        service : str
            Name of the service.
        count : int
            Maximum number of instances.
        excluded : collection of str
            Names of instances to leave out.
        now_s : float
            Current time in seconds.
        """
        candidates = [
            peer
            for peer in self._usable(service, excluded=excluded, now_s=now_s)
            if self._report(peer, service, now_s=now_s) is None
        ]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda p: not self._is_local(p))
        return [peer.instance for peer in candidates[:count]]

    def choose(
        self,
        service: str,
        *,
        min_reach: Reach,
        excluded: Collection[str],
        now_s: float,
    ) -> Instance | None:
        """Return the least loaded instance that has just said it reaches a service.

        Parameters
        ----------
        service : str
            Name of the service.
        min_reach : Reach
            How much it has to reach, ``FULL`` or ``PARTIAL``.
        excluded : collection of str
            Names of instances to leave out.
        now_s : float
            Current time in seconds.
        """
        costs: list[tuple[float, float, Instance]] = []
        for peer in self._usable(service, excluded=excluded, now_s=now_s):
            report = self._report(peer, service, now_s=now_s)
            if report is None or report.reach is Reach.NONE:
                continue
            if min_reach is Reach.FULL and report.reach is not Reach.FULL:
                continue
            # Reports don't yet include requests sent since.
            requests = max(report.in_flight, peer.in_flight) + 1
            cost = requests / peer.instance.capacity
            if not self._is_local(peer):
                cost *= REMOTE_PENALTY_FACTOR
            costs.append((cost, self._rng.random(), peer.instance))
        return min(costs, key=lambda c: c[:2])[2] if costs else None

    def _usable(
        self, service: str, *, excluded: Collection[str], now_s: float
    ) -> list[_Peer]:
        return [
            peer
            for name, peer in self._peers.items()
            if name not in excluded
            and now_s >= peer.unresponsive_until_s
            and now_s >= peer.avoided_until_s.get(service, float("-inf"))
        ]

    def _report(self, peer: _Peer, service: str, *, now_s: float) -> PeerReport | None:
        reported_at_s, report = peer.reports.get(service, (float("-inf"), None))
        return report if now_s - reported_at_s <= REPORT_MAX_AGE_S else None

    def _is_local(self, peer: _Peer) -> bool:
        return peer.instance.data_centre == self._own.data_centre

    def on_report(
        self, name: str, service: str, report: PeerReport, *, now_s: float
    ) -> None:
        """Record what an instance said of itself."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.reports[service] = (now_s, report)
        if report.reach is Reach.NONE:
            self.avoid(name, service, now_s=now_s)

    def avoid(self, name: str, service: str, *, now_s: float) -> None:
        """Leave an instance out for a service for a while."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoided_until_s[service] = now_s + AVOIDANCE_S

    def on_no_answer(self, name: str, *, now_s: float) -> None:
        """Leave an instance out that didn't answer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.unresponsive_until_s = now_s + AVOIDANCE_S

    def on_start(self, name: str) -> None:
        """Count a request that is forwarded to an instance."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.in_flight += 1

    def on_end(self, name: str) -> None:
        """Count the end of a forwarded request."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.in_flight = max(0, peer.in_flight - 1)
