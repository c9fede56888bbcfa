"""What an entry says of itself in a heartbeat, and reads from a peer's."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from borageramp_core import (
    ClaimTable,
    ListedEntry,
    Member,
    Membership,
    Ownership,
    SuspectAttempt,
    Suspects,
    WarmUp,
)
from borageramp_entry._internal.reporting import Reporter
from borageramp_wire import peer_pb2

__all__ = ["FleetState", "StatusExchange"]

MS_PER_S = 1000
# Peers hear of a change of warm-up for this long, then know it.
RECENT_S = 15.0
MAX_SUSPECTS = 200


@dataclass(kw_only=True, slots=True)
class FleetState:
    """State that heartbeats carry between entries.

    Attributes
    ----------
    membership : Membership
        The entries.
    ownership : Ownership
        Owners of upstreams.
    warmup : WarmUp
        Warm-up of upstreams.
    suspects : Suspects
        Requests that crash upstreams.
    claims : ClaimTable
        Keys that this entry answers for.
    """

    membership: Membership
    ownership: Ownership
    warmup: WarmUp
    suspects: Suspects
    claims: ClaimTable


class StatusExchange:
    """Makes this entry's status and takes in those of peers.

    Parameters
    ----------
    fleet : FleetState
        The state that statuses carry.
    reporter : Reporter
        Is told what was learnt.
    revision, serving, in_flight, store_reachable : callable
        Read the present values.
    suspect_tries : callable
        Returns the tries of suspects that this entry has under way.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        reporter: Reporter,
        revision: Callable[[], int],
        serving: Callable[[], bool],
        in_flight: Callable[[], int],
        store_reachable: Callable[[], bool],
        suspect_tries: Callable[[], Iterable[SuspectAttempt]],
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._reporter = reporter
        self._revision = revision
        self._serving = serving
        self._in_flight = in_flight
        self._store_reachable = store_reachable
        self._suspect_tries = suspect_tries
        self._clock = clock

    def heard_at_s(self, peer_address: str) -> float:
        """Return when the peer at an address was last heard."""
        return max(
            (
                member.last_status_at_s
                for member in self._fleet.membership.peers()
                if member.listed.peer_address == peer_address
            ),
            default=float("-inf"),
        )

    def status(
        self, *, wants_warm: bool = False, for_new: bool = False
    ) -> peer_pb2.Status:
        """Return this entry's status.

        Parameters
        ----------
        wants_warm : bool
            Whether to ask for all that the peer knows of warm upstreams.
        for_new : bool
            Whether to tell all that is known of warm upstreams.
        """
        now_s = self._clock()
        own = self._fleet.membership.own
        cold, warm = self._marks(everything=for_new, now_s=now_s)
        return peer_pb2.Status(
            name=own.listed.name,
            incarnation=own.incarnation,
            data_centre=own.listed.data_centre,
            caller_address=own.listed.caller_address,
            peer_address=own.listed.peer_address,
            operator_address=own.listed.operator_address,
            revision=self._revision(),
            leaving=own.leaving,
            serving=self._serving(),
            in_flight=self._in_flight(),
            store_reachable=self._store_reachable(),
            wants_warm=wants_warm,
            warmups=cold,
            warm=warm,
            suspects=self._suspect_marks(now_s=now_s),
            suspect_tries=[
                peer_pb2.SuspectTry(fingerprint=t.fingerprint, upstream=t.upstream)
                for t in self._suspect_tries()
            ],
            successions=[
                peer_pb2.Succession(incarnation=name)
                for name in self._fleet.claims.adopted_incarnations()
            ],
        )

    def _marks(
        self, *, everything: bool, now_s: float
    ) -> tuple[list[peer_pb2.WarmupMark], list[peer_pb2.WarmupMark]]:
        """Return the marks of cold and of warm upstreams."""
        since_s = float("-inf") if everything else now_s - RECENT_S
        cold: list[peer_pb2.WarmupMark] = []
        warm: list[peer_pb2.WarmupMark] = []
        for name, state in self._fleet.warmup.recent_changes(since_s=since_s):
            mark = peer_pb2.WarmupMark(
                upstream=name,
                age_ms=int(max(0.0, now_s - state.since_s) * MS_PER_S),
                start_id=state.start_id,
                doubted=state.unverified,
            )
            (warm if state.warm else cold).append(mark)
        return cold, warm

    def _suspect_marks(self, *, now_s: float) -> list[peer_pb2.SuspectMark]:
        return [
            peer_pb2.SuspectMark(
                fingerprint=name,
                upstreams=sorted(suspect.upstreams),
                age_ms=int(max(0.0, now_s - suspect.updated_at_s) * MS_PER_S),
            )
            for name, suspect in islice(
                self._fleet.suspects.recent(now_s=now_s), MAX_SUSPECTS
            )
        ]

    def take(self, status: peer_pb2.Status) -> Member:
        """Take in a peer's status.

        Parameters
        ----------
        status : Status
            The status.

        Returns
        -------
        Member
            The peer.
        """
        now_s = self._clock()
        entry = ListedEntry(
            name=status.name,
            incarnation=status.incarnation,
            data_centre=status.data_centre,
            caller_address=status.caller_address,
            peer_address=status.peer_address,
            operator_address=status.operator_address,
        )
        member = self._fleet.membership.record_status(
            entry,
            revision=status.revision,
            serving=status.serving,
            leaving=status.leaving,
            in_flight=status.in_flight,
            now_s=now_s,
        )
        self._take_warmups(status, now_s=now_s)
        for mark in status.suspects:
            self._fleet.suspects.merge(
                mark.fingerprint,
                mark.upstreams,
                age_s=mark.age_ms / MS_PER_S,
                now_s=now_s,
            )
        self._fleet.suspects.peer_attempts.update(
            status.incarnation,
            (
                SuspectAttempt(fingerprint=t.fingerprint, upstream=t.upstream)
                for t in status.suspect_tries
            ),
            now_s=now_s,
        )
        self._fleet.membership.update_successions(
            status.incarnation, (s.incarnation for s in status.successions)
        )
        return member

    def _take_warmups(self, status: peer_pb2.Status, *, now_s: float) -> None:
        for mark in status.warmups:
            news = self._fleet.warmup.merge_cold(
                mark.upstream,
                start_id=mark.start_id,
                age_s=mark.age_ms / MS_PER_S,
                now_s=now_s,
                unverified=mark.doubted,
            )
            if news:
                self._reporter.repaired(
                    "warm-up", upstream=mark.upstream, heard_from=status.name
                )
        for mark in status.warm:
            self._fleet.warmup.merge_warm(
                mark.upstream,
                start_id=mark.start_id,
                age_s=mark.age_ms / MS_PER_S,
                now_s=now_s,
            )
