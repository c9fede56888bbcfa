"""How entries come to agree that an upstream is warm."""

import heapq
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from borageramp_core import Upstream, WarmUp
from tests.lib.builders import make_upstream

UPSTREAM = "records/u1"
HEARTBEAT_S = 0.3
WARMUP_S = 1.0
# As long as heartbeats repeat a change.
RECENT_S = 15.0


def make_cold_upstream() -> Upstream:
    """Return an upstream that needs a short warm-up."""
    return make_upstream(warmup_s=WARMUP_S)


@dataclass(frozen=True, kw_only=True)
class Mark:
    """What a heartbeat says of one upstream."""

    name: str
    start_id: str
    age_s: float
    warm: bool
    doubted: bool


def say(speaker: WarmUp, *, now_s: float) -> list[Mark]:
    """Return what an entry says of upstreams in a heartbeat."""
    return [
        Mark(
            name=name,
            start_id=state.start_id,
            age_s=now_s - state.since_s,
            warm=state.warm,
            doubted=state.unverified,
        )
        for name, state in speaker.recent_changes(since_s=now_s - RECENT_S)
    ]


def hear(listener: WarmUp, marks: list[Mark], *, now_s: float) -> None:
    """Have an entry take in what another said."""
    for mark in marks:
        if mark.warm:
            listener.merge_warm(
                mark.name, start_id=mark.start_id, age_s=mark.age_s, now_s=now_s
            )
        else:
            listener.merge_cold(
                mark.name,
                start_id=mark.start_id,
                age_s=mark.age_s,
                now_s=now_s,
                unverified=mark.doubted,
            )


def tell(
    speaker: WarmUp, listener: WarmUp, *, said_at_s: float, heard_at_s: float
) -> None:
    """Have one entry hear at once what another says."""
    hear(listener, say(speaker, now_s=said_at_s), now_s=heard_at_s)


def answer(warmup: WarmUp, start_id: str, *, sent_at_s: float) -> None:
    """Have an entry get a good answer 10 ms after it sent a request."""
    warmup.on_answer(
        make_cold_upstream(),
        start_id=start_id,
        sent_at_s=sent_at_s,
        now_s=sent_at_s + 0.01,
    )


def check_settles(owner: WarmUp, peer: WarmUp, start_id: str, *, from_s: float) -> None:
    """Have the owner work and both talk for 6 s; check that it ends warm."""
    for beat in range(20):
        now_s = from_s + beat * HEARTBEAT_S
        answer(owner, start_id, sent_at_s=now_s)
        tell(owner, peer, said_at_s=now_s + 0.02, heard_at_s=now_s + 0.03)
        tell(peer, owner, said_at_s=now_s + 0.04, heard_at_s=now_s + 0.05)
    assert owner.is_warm(UPSTREAM)
    assert peer.is_warm(UPSTREAM)


def make_warm(*, start_id: str = "first") -> WarmUp:
    """Return the view of an entry that holds the upstream for warm."""
    warmup = WarmUp()
    warmup.merge_warm(UPSTREAM, start_id=start_id, age_s=0.0, now_s=0.0)
    return warmup


def test_doubt_that_is_heard_late_does_not_outlive_its_end() -> None:
    owner, peer = make_warm(), make_warm()
    owner.mark_unverified(UPSTREAM, now_s=10.0)
    # The peer is busy: it takes the heartbeat in 0.4 s after it was sent.
    tell(owner, peer, said_at_s=10.0, heard_at_s=10.4)
    answer(owner, "first", sent_at_s=10.05)
    check_settles(owner, peer, "first", from_s=10.5)


def test_break_noticed_after_the_owner_saw_the_new_start() -> None:
    owner, peer = make_warm(), make_warm()
    answer(owner, "second", sent_at_s=10.0)
    peer.mark_unverified(UPSTREAM, now_s=10.2)
    check_settles(owner, peer, "second", from_s=10.3)


def test_break_noticed_after_the_new_start_was_warm() -> None:
    owner, peer = make_warm(start_id="second"), make_warm()
    peer.mark_unverified(UPSTREAM, now_s=10.0)
    check_settles(owner, peer, "second", from_s=10.1)


def test_late_state_of_a_dead_start_does_not_warm_the_next_one() -> None:
    late, peer = make_warm(), make_warm()
    answer(peer, "second", sent_at_s=10.0)
    # An answer of the dead start, sent for before, is taken in only now.
    late.on_answer(make_cold_upstream(), start_id="first", sent_at_s=9.0, now_s=11.0)
    for beat in range(20):
        now_s = 11.0 + beat * HEARTBEAT_S
        tell(late, peer, said_at_s=now_s, heard_at_s=now_s)
        assert not peer.is_warm(UPSTREAM)


def test_late_answer_of_a_dead_start_does_not_end_the_warm_up() -> None:
    owner = make_warm()
    answer(owner, "second", sent_at_s=10.0)
    owner.on_answer(make_cold_upstream(), start_id="first", sent_at_s=9.9, now_s=10.05)
    state = owner.state(UPSTREAM, now_s=10.05)
    assert (state.start_id, state.warm) == ("second", False)


DELAYS = st.floats(min_value=0.0, max_value=0.8)
MOMENTS = st.floats(min_value=10.0, max_value=14.0)
PAIRS = [(a, b) for a in range(3) for b in range(3) if a != b]
CALM_FROM_S = 14.0
END_S = 22.0


class Play:
    """Three views of one upstream, and heartbeats under way between them.

    Parameters
    ----------
    restarts : list of float
        When the upstream starts anew.
    """

    def __init__(self, *, restarts: list[float]) -> None:
        self.views = [make_warm(start_id="start 0") for _ in range(3)]
        self._restarts = restarts
        self._events: list[tuple[float, int, str, tuple[int, int]]] = []
        self._beats: dict[int, list[Mark]] = {}
        self._sent: dict[int, tuple[str, float]] = {}
        self._warmed = {"start 0"}
        self._count = 0

    def add(self, at_s: float, kind: str, who: int, other: int = 0) -> int:
        """Add an event; return its number."""
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, kind, (who, other)))
        return self._count

    def run(self, delays: list[float]) -> None:
        """Let all happen, in the order of time."""
        while self._events:
            at_s, number, kind, (who, other) = heapq.heappop(self._events)
            late_s = delays[number % len(delays)] if at_s < CALM_FROM_S else 0.01
            if kind == "break" and self.views[who].is_warm(UPSTREAM):
                self.views[who].mark_unverified(UPSTREAM, now_s=at_s)
            elif kind == "ask" and (who == 0 or self.views[who].is_warm(UPSTREAM)):
                start = sum(1 for s in self._restarts if s <= at_s)
                taken = self.add(at_s + late_s, "take", who)
                self._sent[taken] = (f"start {start}", at_s)
            elif kind == "take":
                start_id, sent_at_s = self._sent[number]
                self.views[who].on_answer(
                    make_cold_upstream(),
                    start_id=start_id,
                    sent_at_s=sent_at_s,
                    now_s=at_s,
                )
            elif kind == "say":
                heard = self.add(at_s + late_s, "hear", who, other)
                self._beats[heard] = say(self.views[who], now_s=at_s)
            elif kind == "hear":
                hear(self.views[other], self._beats[number], now_s=at_s)
            self._check(at_s)

    def _check(self, at_s: float) -> None:
        """Check that none holds a start for warm before its owner did."""
        states = [view.state(UPSTREAM, now_s=at_s) for view in self.views]
        if states[0].warm:
            self._warmed.add(states[0].start_id)
        assert {s.start_id for s in states if s.warm} <= self._warmed


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    breaks=st.lists(st.tuples(st.integers(0, 2), MOMENTS), max_size=4),
    restarts=st.lists(MOMENTS, max_size=3),
    delays=st.lists(DELAYS, min_size=1, max_size=6),
    pairs=st.lists(st.sampled_from(PAIRS), min_size=1, max_size=6),
)
def test_entries_agree_in_the_end_whatever_came_late(
    breaks: list[tuple[int, float]],
    restarts: list[float],
    delays: list[float],
    pairs: list[tuple[int, int]],
) -> None:
    play = Play(restarts=restarts)
    for who, at_s in breaks:
        play.add(at_s, "break", who)
    for number in range(int((END_S - 10.0) / HEARTBEAT_S)):
        at_s = 10.0 + number * HEARTBEAT_S
        # Only the first owns the upstream, so only it sends to it while it is cold.
        for who in range(3):
            play.add(at_s + 0.05 * who, "ask", who)
        calm = at_s >= CALM_FROM_S
        for pair in PAIRS if calm else [pairs[number % len(pairs)]]:
            play.add(at_s + 0.1, "say", *pair)
    play.run(delays)
    assert [view.is_warm(UPSTREAM) for view in play.views] == [True, True, True]
