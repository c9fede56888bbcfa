"""At most one run for each key, by the table of one process."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from borageramp_core import (
    ClaimTable,
    Join,
    KeptAnswer,
    Reason,
    Reject,
    Replay,
    Run,
    Verdict,
    parse_key,
)
from tests.lib.builders import make_key

ANSWER = KeptAnswer(status=200, headers=(), body=b"done")


def make_table(**fields: object) -> ClaimTable:
    values: dict = {"incarnation": "me", "started_at_s": 0.0, "window_s": 100.0}
    return ClaimTable(**(values | fields))


def test_first_request_runs_and_repeat_joins() -> None:
    table = make_table()
    assert isinstance(table.admit(make_key(), digest="d", now_s=1.0), Run)
    assert isinstance(table.admit(make_key(), digest="d", now_s=1.0), Join)


def test_repeat_of_finished_request_gets_first_answer() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    table.mark_finished(make_key(), ANSWER)
    assert table.admit(make_key(), digest="d", now_s=2.0) == Replay(answer=ANSWER)


def test_repeat_of_finished_request_without_answer_is_told_it_ran() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    table.mark_finished(make_key(), None)
    again = table.admit(make_key(), digest="d", now_s=2.0)
    assert isinstance(again, Reject)
    assert (again.verdict, again.reason) == (Verdict.RAN, Reason.ANSWER_NOT_KEPT)


def test_repeat_after_not_run_runs() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    table.mark_not_run(make_key())
    assert isinstance(table.admit(make_key(), digest="d", now_s=2.0), Run)


def test_repeat_after_unknown_never_runs() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    table.mark_unknown(make_key())
    again = table.admit(make_key(), digest="d", now_s=2.0)
    assert isinstance(again, Reject)
    assert again.verdict is Verdict.MAY_HAVE_RUN


def test_key_of_another_process_never_runs() -> None:
    refused = make_table().admit(make_key(incarnation="gone"), digest="d", now_s=1.0)
    assert isinstance(refused, Reject)
    assert refused.reason is Reason.OWNER_GONE
    assert refused.verdict is Verdict.MAY_HAVE_RUN


def test_key_used_for_two_requests_is_refused() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    refused = table.admit(make_key(), digest="other", now_s=1.0)
    assert isinstance(refused, Reject)
    assert refused.reason is Reason.KEY_REUSED


def test_forgotten_key_is_refused_for_its_age() -> None:
    table = make_table()
    table.admit(make_key(), digest="d", now_s=1.0)
    table.mark_finished(make_key(), ANSWER)
    assert table.expire(now_s=101.0) == 1
    late = table.admit(make_key(), digest="d", now_s=101.0)
    assert isinstance(late, Reject)
    assert late.reason is Reason.KEY_EXPIRED


def test_table_is_bounded() -> None:
    table = make_table(max_claims=2)
    for nonce in ("a", "b"):
        table.admit(make_key(nonce), digest="d", now_s=1.0)
    refused = table.admit(make_key("c"), digest="d", now_s=1.0)
    assert isinstance(refused, Reject)
    assert refused.verdict is Verdict.NOT_RUN
    assert len(table) == 2


def test_sealed_table_dispatches_nothing() -> None:
    table = make_table()
    table.admit(make_key("running"), digest="d", now_s=1.0)
    assert table.may_dispatch(make_key("running"))
    table.seal()
    assert not table.may_dispatch(make_key("running"))
    assert isinstance(table.admit(make_key("new"), digest="d", now_s=1.0), Reject)


def test_key_from_the_future_is_refused() -> None:
    refused = make_table().admit(make_key(issued_ms=60_000), digest="d", now_s=1.0)
    assert isinstance(refused, Reject)
    assert refused.reason is Reason.BAD_REQUEST


def test_successor_waits_for_the_last_part() -> None:
    table = make_table()
    table.adopt("old", clock_ms=5000, claims=[], last=False, now_s=1.0)
    assert not table.is_responsible_for("old")
    table.adopt("old", clock_ms=5000, claims=[], last=True, now_s=1.0)
    assert table.is_responsible_for("old")


def test_successor_ages_keys_by_the_old_clock() -> None:
    table = make_table()
    table.adopt("old", clock_ms=99_000, claims=[], last=True, now_s=1.0)
    key = make_key(incarnation="old", issued_ms=0)
    late = table.admit(key, digest="d", now_s=3.0)
    assert isinstance(late, Reject)
    assert late.reason is Reason.KEY_EXPIRED


@pytest.mark.parametrize(
    "text", ["plain", "b1.x", "b1.x.y.z", "b1.x.1.", "b1..1.z", "b2.x.1.z"]
)
def test_plain_keys_are_not_bound(text: str) -> None:
    assert parse_key(text) is None


def test_bound_key_survives_its_text() -> None:
    key = make_key()
    assert parse_key(str(key)) == key


class TwoTables(RuleBasedStateMachine):
    """A table and its successor, under any order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.old = make_table(incarnation="old")
        self.new = make_table(incarnation="new")
        self.handed_over = False
        self.dispatched: dict[str, int] = {}

    keys = st.sampled_from(["a", "b", "c"])

    @rule(nonce=keys, to_new=st.booleans())
    def request(self, nonce: str, to_new: bool) -> None:
        key = make_key(nonce, incarnation="old")
        table = self.new if to_new else self.old
        if isinstance(table.admit(key, digest="d", now_s=self.now_s), Run):
            if table.may_dispatch(key):
                self.dispatched[nonce] = self.dispatched.get(nonce, 0) + 1

    @rule(nonce=keys, ran=st.booleans())
    def end(self, nonce: str, ran: bool) -> None:
        key = make_key(nonce, incarnation="old")
        for table in (self.old, self.new):
            if table.may_dispatch(key):
                if ran:
                    table.mark_finished(key, ANSWER)
                else:
                    table.mark_not_run(key)
                    self.dispatched[nonce] -= 1

    @rule(seconds=st.floats(0, 60))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self.old.expire(now_s=self.now_s)
        self.new.expire(now_s=self.now_s)

    @rule()
    def hand_over(self) -> None:
        if self.handed_over:
            return
        self.handed_over = True
        self.old.seal()
        clock_ms = self.old.clocks_ms(now_s=self.now_s)["old"]
        self.new.adopt(
            "old", clock_ms=clock_ms, claims=list(self.old), last=True, now_s=self.now_s
        )

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.dispatched.values())


TestTwoTables = TwoTables.TestCase
