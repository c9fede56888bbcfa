"""Accepted revisions are in force at every entry that takes work."""

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from borageramp_core import (
    RevisionState,
    ServingLease,
    confirmed_by_majority,
    is_majority,
)


@dataclass(frozen=True)
class Held:
    revision: int


def test_revision_never_goes_back() -> None:
    state = RevisionState(initial=Held(revision=0))
    assert state.apply_if_newer(Held(revision=2))
    assert not state.apply_if_newer(Held(revision=1))
    assert not state.apply_if_newer(Held(revision=2))
    assert state.current.revision == 2


def test_half_is_no_majority() -> None:
    assert not is_majority(2, of=4)
    assert is_majority(3, of=4)
    assert not is_majority(0, of=0)


def test_slow_answer_does_not_stretch_the_lease() -> None:
    lease = ServingLease(member="me", lease_s=2.0)
    lease.renew_from_store(sent_at_s=1.0)
    assert lease.is_valid(["me", "a", "b"], now_s=3.0)
    assert not lease.is_valid(["me", "a", "b"], now_s=3.1)


def test_entry_off_the_list_needs_the_store() -> None:
    lease = ServingLease(member="me", lease_s=2.0)
    for peer in ("a", "b", "c"):
        lease.renew_from_peer(peer, sent_at_s=1.0)
    assert not lease.is_valid(["a", "b", "c"], now_s=1.5)


class Cuts(RuleBasedStateMachine):
    """Five entries, a store, any cuts, and operators who write."""

    NAMES = ("a", "b", "c", "d", "e")
    LEASE_S = 2.0

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 10.0
        self.stored = 1
        self.accepted: list[tuple[float, int]] = []
        self.revision = dict.fromkeys(self.NAMES, 1)
        self.leases = {
            n: ServingLease(member=n, lease_s=self.LEASE_S) for n in self.NAMES
        }
        for lease in self.leases.values():
            lease.renew_from_store(sent_at_s=self.now_s)

    names = st.sampled_from(NAMES)

    def serves(self, name: str) -> bool:
        return self.leases[name].is_valid(self.NAMES, now_s=self.now_s)

    @rule(name=names)
    def read_store(self, name: str) -> None:
        self.revision[name] = max(self.revision[name], self.stored)
        self.leases[name].renew_from_store(sent_at_s=self.now_s)

    @rule(name=names, peer=names)
    def heartbeat(self, name: str, peer: str) -> None:
        self.revision[name] = max(self.revision[name], self.revision[peer])
        if self.serves(peer):
            self.leases[name].renew_from_peer(peer, sent_at_s=self.now_s)

    @rule(name=names)
    def write(self, name: str) -> None:
        self.stored += 1
        self.revision[name] = self.stored

    @rule()
    def accept(self) -> None:
        confirmed = confirmed_by_majority(
            self.stored, revisions=self.revision, members=self.NAMES
        )
        if confirmed:
            self.accepted.append((self.now_s, self.stored))

    @rule(seconds=st.floats(0.1, 2.5))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def serving_entries_have_what_was_accepted(self) -> None:
        due = max(
            (r for at_s, r in self.accepted if at_s + self.LEASE_S < self.now_s),
            default=0,
        )
        for name in self.NAMES:
            if self.serves(name):
                assert self.revision[name] >= due


TestCuts = Cuts.TestCase
