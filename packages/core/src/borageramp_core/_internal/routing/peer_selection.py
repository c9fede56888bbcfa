"""Selection of the instance that a request is forwarded to.

Like upstreams, instances are asked for their load right before they are chosen, and
say whether they reach the service.
"""

import enum
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from borageramp_core._internal.routing.model import Instance
from borageramp_core._internal.routing.reachability import Reach

__all__ = ["KnownReach", "PeerCandidate", "PeerReport", "PeerSelector", "Standing"]

# Reports older than this are not acted on.
REPORT_MAX_AGE_S = 0.25
# Time for which an instance that didn't answer, or doesn't reach a service, is left.
AVOIDANCE_S = 1.0
# Longer than the time between two requests for a rarely used service.
KNOWLEDGE_RETENTION_S = 10.0
# Instances named to another one that asks in vain.
MAX_NAMED = 3
# Traffic between data centres costs, so local instances win ties.
REMOTE_PENALTY_FACTOR = 1.3
# Local instances asked for each one elsewhere: a whole data centre may be cut off.
LOCAL_PER_REMOTE = 2


class Standing(enum.IntEnum):
    """What is known of an instance and a service, the most promising first.

    Attributes
    ----------
    REACHES
        It reached the service lately.
    REACHES_OTHERS
        It reached another service lately.
    UNKNOWN
        Nothing is known.
    MISSES_OTHERS
        It didn't reach another service.
    MISSES
        It didn't reach this service.
    """

    REACHES = 0
    REACHES_OTHERS = 1
    UNKNOWN = 2
    MISSES_OTHERS = 3
    MISSES = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownReach:
    """An instance that is known to have reached a service.

    Attributes
    ----------
    name : str
        Name of the instance.
    reach : Reach
        How much it reached.
    age_s : float
        Time since it said so.
    """

    name: str
    reach: Reach
    age_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """What another instance says of itself.

    Attributes
    ----------
    reach : Reach
        How much it reaches of the service that it was asked for.
    in_flight : int
        Requests that it handles.
    known : tuple of KnownReach
        Other instances of which it knows that they reached the service.
    """

    reach: Reach
    in_flight: int
    known: tuple[KnownReach, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerCandidate:
    """An instance that may be asked whether it reaches a service.

    Attributes
    ----------
    instance : Instance
        The instance.
    standing : Standing
        What is known of it.
    known_at_s : float
        Time of that knowledge of this service; minus infinity without any.
    """

    instance: Instance
    standing: Standing
    known_at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Knowledge:
    """What an instance last said of a service, to this one or to another."""

    reach: Reach
    at_s: float


@dataclass(kw_only=True, slots=True)
class _Peer:
    instance: Instance
    in_flight: int = 0
    reports: dict[str, tuple[float, PeerReport]] = field(default_factory=dict)
    known: dict[str, _Knowledge] = field(default_factory=dict)
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
        self,
        service: str,
        *,
        min_reach: Reach,
        excluded: Collection[str],
        now_s: float,
    ) -> list[PeerCandidate]:
        """Return instances without a recent report, the most promising first.

        Of those that promise the same, two of this data centre go before each one
        elsewhere.

        Parameters
        ----------
        service : str
            Name of the service.
        min_reach : Reach
            How much of it they have to reach, ``FULL`` or ``PARTIAL``.
        excluded : collection of str
            Names of instances to leave out.
        now_s : float
            Current time in seconds.
        """
        candidates = [
            self._candidate(peer, service, min_reach=min_reach, now_s=now_s)
            for peer in self._usable(service, excluded=excluded, now_s=now_s)
            if self._report(peer, service, now_s=now_s) is None
        ]
        self._rng.shuffle(candidates)
        candidates.sort(key=_ask_order)
        return [
            candidate
            for standing in Standing
            for candidate in self._mix_data_centres(
                [c for c in candidates if c.standing is standing]
            )
        ]

    def _candidate(
        self, peer: _Peer, service: str, *, min_reach: Reach, now_s: float
    ) -> PeerCandidate:
        own = peer.known.get(service)
        if own is not None and now_s - own.at_s <= KNOWLEDGE_RETENTION_S:
            reaches = own.reach.suffices(min_reach)
            return PeerCandidate(
                instance=peer.instance,
                standing=Standing.REACHES if reaches else Standing.MISSES,
                known_at_s=own.at_s,
            )
        return PeerCandidate(
            instance=peer.instance,
            standing=self._standing_elsewhere(peer, min_reach=min_reach, now_s=now_s),
            known_at_s=float("-inf"),
        )

    def _standing_elsewhere(
        self, peer: _Peer, *, min_reach: Reach, now_s: float
    ) -> Standing:
        """Return what an instance promises by what it said of other services."""
        standing = Standing.UNKNOWN
        for knowledge in peer.known.values():
            if now_s - knowledge.at_s <= KNOWLEDGE_RETENTION_S:
                if knowledge.reach.suffices(min_reach):
                    return Standing.REACHES_OTHERS
                standing = Standing.MISSES_OTHERS
        return standing

    def _mix_data_centres(
        self, candidates: list[PeerCandidate]
    ) -> Iterable[PeerCandidate]:
        local = [c for c in candidates if self._is_local(c.instance)]
        remote = [c for c in candidates if not self._is_local(c.instance)]
        for i in range(max(len(local), len(remote))):
            yield from local[LOCAL_PER_REMOTE * i : LOCAL_PER_REMOTE * (i + 1)]
            yield from remote[i : i + 1]

    def known_reaching(self, service: str, *, now_s: float) -> list[KnownReach]:
        """Return a few instances that lately said that they reach a service.

        Parameters
        ----------
        service : str
            Name of the service.
        now_s : float
            Current time in seconds.
        """
        known = [
            KnownReach(name=name, reach=k.reach, age_s=now_s - k.at_s)
            for name, peer in self._peers.items()
            if (k := peer.known.get(service)) is not None
            and k.reach is not Reach.NONE
            and now_s - k.at_s <= KNOWLEDGE_RETENTION_S
        ]
        return self._rng.sample(known, min(MAX_NAMED, len(known)))

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
            if report is None or not report.reach.suffices(min_reach):
                continue
            # Reports don't yet include requests sent since.
            requests = max(report.in_flight, peer.in_flight) + 1
            cost = requests / peer.instance.capacity
            if not self._is_local(peer.instance):
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

    def _is_local(self, instance: Instance) -> bool:
        return instance.data_centre == self._own.data_centre

    def on_report(
        self, name: str, service: str, report: PeerReport, *, now_s: float
    ) -> None:
        """Record what an instance said of itself, and of others."""
        # Else all would use the few that were found first.
        known = () if self._knows_any(service, now_s=now_s) else report.known
        for other in known[:MAX_NAMED]:
            self._learn(other.name, service, other.reach, at_s=now_s - other.age_s)
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.reports[service] = (now_s, report)
        self._learn(name, service, report.reach, at_s=now_s)
        if report.reach is Reach.NONE:
            self.avoid(name, service, now_s=now_s)

    def _knows_any(self, service: str, *, now_s: float) -> bool:
        """Return whether an instance that may be used now reached a service lately."""
        return any(
            k.reach is not Reach.NONE and now_s - k.at_s <= KNOWLEDGE_RETENTION_S
            for peer in self._usable(service, excluded=(), now_s=now_s)
            if (k := peer.known.get(service)) is not None
        )

    def on_unreachable(self, name: str, service: str, *, now_s: float) -> None:
        """Record that an instance didn't reach a service for a request."""
        self._learn(name, service, Reach.NONE, at_s=now_s)
        self.avoid(name, service, now_s=now_s)

    def _learn(self, name: str, service: str, reach: Reach, *, at_s: float) -> None:
        peer = self._peers.get(name)
        if peer is None:
            return
        previous = peer.known.get(service)
        if previous is not None and previous.at_s >= at_s:
            return
        if previous is not None and previous.reach is Reach.NONE:
            peer.avoided_until_s.pop(service, None)
        peer.known[service] = _Knowledge(reach=reach, at_s=at_s)

    def avoid(self, name: str, service: str, *, now_s: float) -> None:
        """Leave an instance out for a service for a while."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoided_until_s[service] = now_s + AVOIDANCE_S

    def on_no_answer(self, name: str, service: str, *, now_s: float) -> None:
        """Leave an instance out that didn't answer, and expect nothing of it."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.unresponsive_until_s = now_s + AVOIDANCE_S
        for known_service in {service, *peer.known}:
            self._learn(name, known_service, Reach.NONE, at_s=now_s)

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


def _ask_order(candidate: PeerCandidate) -> tuple[Standing, float]:
    """Return the sort key: of those that miss the service, the longest known first."""
    misses = candidate.standing is Standing.MISSES
    return candidate.standing, candidate.known_at_s if misses else 0.0
