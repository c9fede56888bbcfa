"""Deduplication of non-idempotent requests by their idempotency key.

Only the process named in a key dispatches its request, and it decides from a
table in its own memory. As there is a single decider, at-most-once dispatch
needs no synchronized clocks, leases or store. A graceful stop seals the table
and hands it over to one successor. A crash loses the table, and the requests
of its keys are never dispatched again.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from borageramp_core._internal.admission import (
    Admission,
    Join,
    KeptAnswer,
    Reject,
    Replay,
    Run,
)
from borageramp_core._internal.keys import BoundKey
from borageramp_core._internal.reasons import Reason
from borageramp_core._internal.verdict import Verdict

__all__ = ["Claim", "ClaimState", "ClaimTable"]

MS_PER_S = 1000


class ClaimState(enum.StrEnum):
    """State of the request of a key.

    Attributes
    ----------
    OPEN
        Registered, and certainly not run.
    RUNNING
        Being placed or executed by this process.
    UNKNOWN
        Dispatched, but the answer was lost.
    FINISHED
        Answered.
    """

    OPEN = "open"
    RUNNING = "running"
    UNKNOWN = "unknown"
    FINISHED = "finished"


@dataclass(kw_only=True, slots=True)
class Claim:
    """State of one key and the answer kept for it.

    Attributes
    ----------
    key : BoundKey
        The key.
    state : ClaimState
        State of its request.
    digest : str
        Digest of the request, to detect a key reused for another request.
    answer : KeptAnswer or None
        The answer, if it was kept.
    """

    key: BoundKey
    state: ClaimState
    digest: str
    answer: KeptAnswer | None = None


@dataclass(kw_only=True, slots=True)
class _ClockOffset:
    """Offset of the key clock of an incarnation from that of this process.

    Attributes
    ----------
    offset_ms : int
        Clock of the incarnation minus the clock of this process.
    expires_at_s : float
        Time after which all keys of the incarnation are older than the window.
    """

    offset_ms: int
    expires_at_s: float = float("inf")


class ClaimTable:
    """Claims of all keys that this process is responsible for.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    started_at_s : float
        Start time of this process, the zero of its key clock.
    window_s : float
        Time for which a key can be used after it was issued.
    max_claims : int
        Maximum number of keys.
    max_answer_bytes : int
        Maximum total size of the answers kept for all keys.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        started_at_s: float,
        window_s: float = 600.0,
        max_claims: int = 100_000,
        max_answer_bytes: int = 16_000_000,
    ) -> None:
        self.incarnation = incarnation
        self.window_s = window_s
        self._started_at_s = started_at_s
        self._max_claims = max_claims
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._claims: OrderedDict[str, Claim] = OrderedDict()
        self._clock_offsets: dict[str, _ClockOffset] = {
            incarnation: _ClockOffset(offset_ms=0)
        }
        self._sealed = False

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self) -> Iterator[Claim]:
        return iter(list(self._claims.values()))

    @property
    def sealed(self) -> bool:
        """Whether the table allows no further dispatches."""
        return self._sealed

    @property
    def running(self) -> int:
        """Number of requests being placed or executed."""
        return sum(1 for c in self if c.state is ClaimState.RUNNING)

    def clock_ms(self, *, now_s: float) -> int:
        """Return the key clock of this process, in milliseconds."""
        return int((now_s - self._started_at_s) * MS_PER_S)

    def is_responsible_for(self, incarnation: str) -> bool:
        """Return whether this process decides on the keys of an incarnation."""
        return incarnation in self._clock_offsets

    def adopted_incarnations(self) -> list[str]:
        """Return the stopped incarnations whose keys this process took over."""
        return [name for name in self._clock_offsets if name != self.incarnation]

    def admit(self, key: BoundKey, *, digest: str, now_s: float) -> Admission:
        """Decide whether a request with a key may be dispatched.

        Parameters
        ----------
        key : BoundKey
            Key of the request.
        digest : str
            Digest of the request.
        now_s : float
            Present time.

        Returns
        -------
        Run, Join, Replay or Reject
            The decision. ``Run`` is returned at most once for a key, unless
            :meth:`mark_not_run` records that nothing was dispatched.
        """
        if key.incarnation not in self._clock_offsets:
            return _reject_may_have_run(
                Reason.OWNER_GONE, "the key belongs to another process"
            )
        if self._age_s(key, now_s=now_s) > self.window_s:
            return _reject_may_have_run(
                Reason.KEY_EXPIRED, "the key is older than its window"
            )
        claim = self._claims.get(str(key))
        if claim is not None:
            return self._admit_repeat(claim, digest=digest)
        return self._admit_new(key, digest=digest, now_s=now_s)

    def _age_s(self, key: BoundKey, *, now_s: float) -> float:
        clock = self._clock_offsets[key.incarnation]
        clock_ms = self.clock_ms(now_s=now_s) + clock.offset_ms
        return (clock_ms - key.issued_ms) / MS_PER_S

    def _admit_repeat(self, claim: Claim, *, digest: str) -> Admission:
        if claim.digest != digest:
            return Reject(
                verdict=Verdict.NOT_RUN,
                reason=Reason.KEY_REUSED,
                detail="the key was used for a different request",
            )
        if claim.state is ClaimState.RUNNING:
            return Join()
        if claim.state is ClaimState.UNKNOWN:
            return _reject_may_have_run(
                Reason.UPSTREAM_FAILED, "the answer to the first attempt was lost"
            )
        if claim.state is ClaimState.FINISHED:
            return _replay_answer(claim)
        if self._sealed:
            return _reject_leaving()
        claim.state = ClaimState.RUNNING
        return Run()

    def _admit_new(self, key: BoundKey, *, digest: str, now_s: float) -> Admission:
        if self._sealed:
            return _reject_leaving()
        if key.issued_ms > self._owner_clock_ms(key, now_s=now_s) + MS_PER_S:
            return Reject(
                verdict=Verdict.NOT_RUN,
                reason=Reason.BAD_REQUEST,
                detail="the key was issued in the future",
            )
        if len(self._claims) >= self._max_claims:
            self.expire(now_s=now_s)
        if len(self._claims) >= self._max_claims:
            return Reject(
                verdict=Verdict.NOT_RUN,
                reason=Reason.CLAIM_TABLE_FULL,
                detail="too many keys within the window",
            )
        self._claims[str(key)] = Claim(key=key, state=ClaimState.RUNNING, digest=digest)
        return Run()

    def _owner_clock_ms(self, key: BoundKey, *, now_s: float) -> int:
        return (
            self.clock_ms(now_s=now_s) + self._clock_offsets[key.incarnation].offset_ms
        )

    def may_dispatch(self, key: BoundKey) -> bool:
        """Return whether a dispatch is still allowed; called right before it."""
        claim = self._claims.get(str(key))
        running = claim is not None and claim.state is ClaimState.RUNNING
        return running and not self._sealed

    def mark_not_run(self, key: BoundKey) -> None:
        """Record that nothing was dispatched, so that a retry may run."""
        self._set_state(key, ClaimState.OPEN)

    def mark_unknown(self, key: BoundKey) -> None:
        """Record that the answer to a dispatched request was lost."""
        self._set_state(key, ClaimState.UNKNOWN)

    def mark_finished(self, key: BoundKey, answer: KeptAnswer | None) -> None:
        """Record that the request was answered.

        The answer is not kept if it is ``None`` because it was too large,
        or if it would exceed the limit for all answers.
        """
        claim = self._set_state(key, ClaimState.FINISHED)
        if claim is None or answer is None:
            return
        if self._answer_bytes + len(answer.body) > self._max_answer_bytes:
            return
        self._answer_bytes += len(answer.body)
        claim.answer = answer

    def _set_state(self, key: BoundKey, state: ClaimState) -> Claim | None:
        claim = self._claims.get(str(key))
        if claim is not None:
            claim.state = state
        return claim

    def expire(self, *, now_s: float) -> int:
        """Drop the keys whose window has passed and return their number.

        An incarnation taken over is dropped once its last key is gone.
        """
        expired = [
            claim
            for claim in self._claims.values()
            if claim.state is not ClaimState.RUNNING
            and self._age_s(claim.key, now_s=now_s) > self.window_s
        ]
        for claim in expired:
            del self._claims[str(claim.key)]
            if claim.answer is not None:
                self._answer_bytes -= len(claim.answer.body)
        in_use = {claim.key.incarnation for claim in self._claims.values()}
        for name, clock in list(self._clock_offsets.items()):
            if clock.expires_at_s < now_s and name not in in_use:
                del self._clock_offsets[name]
        return len(expired)

    def seal(self) -> None:
        """Forbid further dispatches from this table permanently.

        Requests still running are marked as dispatched with unknown outcome.
        """
        self._sealed = True
        for claim in self._claims.values():
            if claim.state is ClaimState.RUNNING:
                claim.state = ClaimState.UNKNOWN

    def clocks_ms(self, *, now_s: float) -> dict[str, int]:
        """Return the key clocks of all incarnations the table decides for."""
        own_ms = self.clock_ms(now_s=now_s)
        return {name: own_ms + c.offset_ms for name, c in self._clock_offsets.items()}

    def adopt(
        self,
        incarnation: str,
        *,
        clock_ms: int,
        claims: Iterable[Claim],
        last: bool,
        now_s: float,
    ) -> bool:
        """Take over keys of a stopped incarnation.

        Parameters
        ----------
        incarnation : str
            The stopped incarnation, which has sealed its table.
        clock_ms : int
            Its key clock when it sent this batch.
        claims : iterable of Claim
            A batch of its keys.
        last : bool
            Whether this is the last batch. This process decides on the keys
            only after it.
        now_s : float
            Present time.

        Returns
        -------
        bool
            ``False`` if this table is itself sealed.
        """
        if self._sealed:
            return False
        if last:
            offset_ms = clock_ms - self.clock_ms(now_s=now_s)
            clock = _ClockOffset(
                offset_ms=offset_ms, expires_at_s=now_s + self.window_s
            )
            self._clock_offsets.setdefault(incarnation, clock)
        for claim in claims:
            self._claims.setdefault(str(claim.key), claim)
            if claim.answer is not None:
                self._answer_bytes += len(claim.answer.body)
        return True


def _reject_may_have_run(reason: Reason, detail: str) -> Reject:
    return Reject(verdict=Verdict.MAY_HAVE_RUN, reason=reason, detail=detail)


def _reject_leaving() -> Reject:
    return Reject(
        verdict=Verdict.NOT_RUN,
        reason=Reason.LEAVING,
        detail="this process is stopping and its keys are moving",
    )


def _replay_answer(claim: Claim) -> Replay | Reject:
    if claim.answer is not None:
        return Replay(answer=claim.answer)
    return Reject(
        verdict=Verdict.RAN,
        reason=Reason.ANSWER_NOT_KEPT,
        detail="the request ran and its answer was not kept",
    )
