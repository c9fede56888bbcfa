"""Plain keys are bound once, whatever the store does."""

import asyncio
import random

import pytest

from borageramp_core import (
    BoundKey,
    ClaimTable,
    OutcomeUnknownError,
    Reason,
    RefusedError,
    ServicePolicy,
    StoreUnavailableError,
    Verdict,
)
from borageramp_entry._internal.serving.binding import KeyBinder
from borageramp_entry._internal.serving.requests import CallerRequest
from borageramp_entry._internal.store import Commit, Item, Listing, Outcome

NOW_S = 1_000_000.0
POLICY = ServicePolicy(idempotent=False, key_window_s=600.0)


class FakeStore:
    """A store in memory that can lose answers or be down."""

    def __init__(self) -> None:
        self.items: dict[str, bytes] = {}
        self.down = False
        self.lose = False
        self.lands_late = False
        self.calls = 0

    async def commit(self, commits: list[Commit]) -> list[Outcome]:
        self.calls += 1
        if self.down:
            raise StoreUnavailableError("down")
        if self.lands_late:
            raise OutcomeUnknownError("on its way")
        outcomes = [self._one(c) for c in commits]
        if self.lose:
            raise OutcomeUnknownError("lost")
        return outcomes

    def _one(self, commit: Commit) -> Outcome:
        if any(c.key in self.items for c in commit.conditions):
            found = tuple(
                Item(key=k, value=self.items[k], revision=1)
                for k in commit.read_otherwise
                if k in self.items
            )
            return Outcome(succeeded=False, revision=1, found=found)
        for item in commit.puts:
            self.items[item.key] = item.value or b""
        return Outcome(succeeded=True, revision=1)

    async def read_key(self, key: str) -> Listing:
        value = self.items.get(key)
        items = () if value is None else (Item(key=key, value=value, revision=1),)
        return Listing(items=items, revision=1)

    async def delete_range(self, start: str, end: str) -> None:
        for key in [k for k in self.items if start <= k < end]:
            del self.items[key]


def make_binder(store: FakeStore, name: str, *, wall_s: float = NOW_S) -> KeyBinder:
    return KeyBinder(
        store=store,  # type: ignore[arg-type]
        claims=ClaimTable(incarnation=name, started_at_s=0.0),
        clock=lambda: 1.0,
        rng=random.Random(name),
        wall_clock=lambda: wall_s,
    )


def make_request(key: str = "k1", *, age_s: float | None = 0.0) -> CallerRequest:
    issued_ms = None if age_s is None else int((NOW_S - age_s) * 1000)
    return CallerRequest(
        request_id="r",
        service="referrals",
        class_name="normal",
        deadline_s=10.0,
        method="POST",
        path="/",
        headers=(),
        body=b"",
        key=key,
        issued_ms=issued_ms,
    )


def bind(
    binder: KeyBinder, request: CallerRequest, policy: ServicePolicy = POLICY
) -> BoundKey:
    return asyncio.run(binder.bind(request, policy))


def refusal(
    binder: KeyBinder, request: CallerRequest, policy: ServicePolicy = POLICY
) -> RefusedError:
    with pytest.raises(RefusedError) as caught:
        bind(binder, request, policy)
    return caught.value


def test_two_entries_bind_one_key_to_one_of_them() -> None:
    store = FakeStore()
    first = bind(make_binder(store, "e1"), make_request())
    second = bind(make_binder(store, "e2"), make_request())
    assert first == second
    assert first.incarnation == "e1"


def test_lost_answer_is_settled_by_reading() -> None:
    store = FakeStore()
    store.lose = True
    bound = bind(make_binder(store, "e1"), make_request())
    assert bound.incarnation == "e1"


def test_lost_answer_that_may_still_land_runs_nothing() -> None:
    store = FakeStore()
    store.lands_late = True
    error = refusal(make_binder(store, "e1"), make_request())
    assert (error.verdict, error.reason) == (
        Verdict.MAY_HAVE_RUN,
        Reason.CLAIM_UNAVAILABLE,
    )
    assert error.retry_after_s


def test_outage_runs_nothing_new_but_known_keys_go_on() -> None:
    store = FakeStore()
    binder = make_binder(store, "e1")
    known = bind(binder, make_request("known"))
    store.down = True
    assert bind(binder, make_request("known")) == known
    assert refusal(binder, make_request("new")).reason is Reason.CLAIM_UNAVAILABLE


@pytest.mark.parametrize(
    ("age_s", "reason", "verdict"),
    [
        (601.0, Reason.KEY_EXPIRED, Verdict.MAY_HAVE_RUN),
        (-500.0, Reason.BAD_REQUEST, Verdict.MAY_HAVE_RUN),
        (None, Reason.KEY_WITHOUT_ISSUE_TIME, Verdict.MAY_HAVE_RUN),
    ],
)
def test_bad_age_is_refused(
    age_s: float | None, reason: Reason, verdict: Verdict
) -> None:
    error = refusal(make_binder(FakeStore(), "e1"), make_request(age_s=age_s))
    assert (error.reason, error.verdict) == (reason, verdict)


def test_undated_key_is_found_in_the_next_window_too() -> None:
    store = FakeStore()
    policy = ServicePolicy(
        idempotent=False, key_window_s=600.0, accept_undated_keys=True
    )
    first = bind(make_binder(store, "e1"), make_request(age_s=None), policy)
    later = make_binder(store, "e2", wall_s=NOW_S + 599.0)
    assert bind(later, make_request(age_s=None), policy) == first


def test_cleaning_spares_keys_that_can_still_be_used() -> None:
    store = FakeStore()
    binder = make_binder(store, "e1")
    bind(binder, make_request("old", age_s=599.0))
    asyncio.run(binder.clean(longest_window_s=600.0))
    assert len(store.items) == 1
    late = make_binder(store, "e2", wall_s=NOW_S + 10_000.0)
    asyncio.run(late.clean(longest_window_s=600.0))
    assert store.items == {}


def test_claims_at_once_share_a_call() -> None:
    store = FakeStore()
    binder = make_binder(store, "e1")

    async def all_at_once() -> None:
        requests = [make_request(f"k{i}") for i in range(20)]
        await asyncio.gather(*(binder.bind(r, POLICY) for r in requests))

    asyncio.run(all_at_once())
    assert store.calls <= 2
