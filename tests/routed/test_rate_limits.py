"""Rate limits that upstreams name, over all entries of a simulated fleet."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

import pytest

from borageramp_core.routing import (
    RATE_LIMIT_BOUNDS,
    AnswerKind,
    RateAllowance,
    ServicePool,
)
from tests.lib.overload import Overload
from tests.lib.overload_model import Tally
from tests.lib.rate_limits import UNLIMITED_HZ, RateLimits
from tests.lib.routed import (
    make_limited,
    make_pool,
    make_registration,
    make_requirements,
    make_route,
)

LIMIT_FROM_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Entries, and upstreams of which some name a limit."""

    entries: int = 18
    upstreams: int = 20
    rate_hz: float = 50.0
    limited: int = 2
    limit_hz: float = 1.0
    in_health_checks: bool = True


def run_limited(fleet: Fleet, *, returns: int = 0) -> tuple[RateLimits, Tally]:
    """Run 20 s in which the limits begin after some seconds."""
    names = {f"u{i}" for i in range(fleet.limited)}

    def limit_of(name: str, now_s: float) -> float:
        if name in names and now_s >= LIMIT_FROM_S:
            return fleet.limit_hz
        return UNLIMITED_HZ

    rate_limits = RateLimits(limit_of, in_health_checks=fleet.in_health_checks)
    tally = run_service(fleet, rate_limits, length_s=20.0, returns=returns)
    return rate_limits, tally


def run_service(
    fleet: Fleet, rate_limits: RateLimits, *, length_s: float, returns: int = 0
) -> Tally:
    return Overload(
        route=make_route(objective_s=0.6, timeout_s=4.0),
        entries=fleet.entries,
        upstreams=fleet.upstreams,
        slots=3,
        work_s=0.22,
        rate_hz=fleet.rate_hz,
        length_s=length_s,
        seed=1,
        returns=returns,
        rate_limits=rate_limits,
    ).run()


# Guards against LIMIT: entries that were told a limit sent on as before.
@pytest.mark.parametrize(
    "fleet",
    [
        pytest.param(Fleet(), id="few limited"),
        pytest.param(Fleet(in_health_checks=False), id="only requests tell"),
        pytest.param(Fleet(limited=20, limit_hz=0.1), id="all limited"),
        pytest.param(
            Fleet(entries=14, upstreams=17, rate_hz=180.0, limit_hz=4.0),
            id="high limit",
        ),
        pytest.param(
            Fleet(entries=1, upstreams=4, rate_hz=30.0, limit_hz=1.5), id="one entry"
        ),
        pytest.param(
            Fleet(entries=313, upstreams=60, rate_hz=150.0, limit_hz=0.1, limited=10),
            id="many entries",
        ),
    ],
)
def test_all_entries_together_keep_to_the_rate_limit_of_an_upstream(
    fleet: Fleet,
) -> None:
    rate_limits, _ = run_limited(fleet)
    assert rate_limits.excesses() == []


@pytest.mark.parametrize(
    "fleet",
    [
        Fleet(limited=20, limit_hz=1.2),
        Fleet(entries=14, upstreams=17, rate_hz=180.0, limit_hz=4.0),
        Fleet(entries=1, upstreams=4, rate_hz=30.0, limit_hz=1.5),
    ],
)
def test_an_upstream_gets_more_than_half_of_its_rate_limit(fleet: Fleet) -> None:
    rate_limits, _ = run_limited(fleet)
    from_s, until_s = 6.0, 20.0
    for name in (f"u{i}" for i in range(fleet.limited)):
        arrived = sum(
            from_s <= at_s < until_s for at_s, _ in rate_limits.arrivals[name]
        )
        assert arrived > 0.5 * fleet.limit_hz * (until_s - from_s)


def test_other_upstreams_take_what_a_rate_limit_does_not_allow() -> None:
    _, tally = run_limited(Fleet())
    assert tally.share_in_time > 0.99


# Guards against urgent requests that wait for a rate limit until they are refused.
def test_a_request_waits_for_a_rate_limit_no_longer_than_it_can_be_in_time() -> None:
    _, tally = run_limited(Fleet(limited=20, limit_hz=1.2), returns=2)
    objective_s, work_s, poll_s = 0.6, 0.22, 0.05
    assert tally.refused > 0
    assert tally.longest_hold_s <= objective_s - work_s + poll_s


def test_callers_that_come_back_do_not_use_up_the_rate_limits() -> None:
    fleet = Fleet(limited=20, limit_hz=1.2)
    _, tally = run_limited(fleet, returns=2)
    assert tally.in_time > 3 * tally.late


def test_requests_over_the_rate_limits_of_all_upstreams_delay_no_others() -> None:
    _, tally = run_limited(Fleet(limited=20, limit_hz=1.2))
    assert tally.late < 0.05 * (tally.in_time + tally.late)


@pytest.mark.parametrize("in_health_checks", [True, False])
def test_an_upstream_is_used_as_before_once_its_rate_limit_has_ended(
    in_health_checks: bool,
) -> None:
    until_s = 6.0

    def limit_of(name: str, now_s: float) -> float:
        return 1.0 if name == "u0" and now_s < until_s else UNLIMITED_HZ

    rate_limits = RateLimits(limit_of, in_health_checks=in_health_checks)
    run_service(Fleet(), rate_limits, length_s=100.0)
    # Without health checks that name it, all entries take a turn of 4 s each first.
    from_s = 8.0 if in_health_checks else 80.0
    arrived = {
        name: sum(from_s <= at_s < 100.0 for at_s, _ in arrivals)
        for name, arrivals in rate_limits.arrivals.items()
    }
    mean = sum(arrived.values()) / len(arrived)
    assert arrived["u0"] > 0.5 * mean


def test_a_rate_limit_that_changes_ten_times_a_second_is_kept() -> None:
    limits_hz = (0.5, 2.0, UNLIMITED_HZ, 1.0)

    def limit_of(name: str, now_s: float) -> float:
        return limits_hz[int(now_s * 10) % len(limits_hz)] if name == "u0" else 1e6

    rate_limits = RateLimits(limit_of)
    run_service(Fleet(), rate_limits, length_s=20.0)
    assert rate_limits.excesses() == []


def max_arrivals_in_window(entries: list[RateAllowance], *, limit_hz: float) -> int:
    """Send whenever allowed, after an idle time; return the most in a window."""
    arrivals = []
    for step in range(3000):
        now_s = step * 0.01
        for entry in entries:
            if step == 0 or step > 1000:
                while entry.take("u1", rate_hz=limit_hz, now_s=now_s):
                    arrivals.append(now_s)
    window_s = RATE_LIMIT_BOUNDS.window_s
    return max(
        sum(start <= other < start + window_s for other in arrivals)
        for start in arrivals
    )


@pytest.mark.parametrize("limit_hz", [0.1, 1.0, 5.0, 50.0])
@pytest.mark.parametrize("members", [1, 14, 18, 300])
def test_entries_that_were_idle_together_keep_to_the_rate_limit(
    members: int, limit_hz: float
) -> None:
    entries = [make_limited(members, own=i) for i in range(members)]
    allowed = 1.5 * 4 * limit_hz + 5
    assert max_arrivals_in_window(entries, limit_hz=limit_hz) <= allowed


@pytest.mark.parametrize("limit_hz", [0.1, 1.0, 5.0])
def test_entries_whose_member_lists_differ_keep_to_the_rate_limit(
    limit_hz: float,
) -> None:
    # About half of the entries do not yet list two that joined.
    old = [make_limited(14, own=i) for i in range(7)]
    new = [make_limited(16, own=i) for i in range(7, 16)]
    allowed = 1.5 * 4 * limit_hz + 5
    assert max_arrivals_in_window(old + new, limit_hz=limit_hz) <= allowed


def make_limited_pool(*, limit_hz: float, own: int = 0, **fields: Any) -> ServicePool:
    """Return the pool of one of 18 entries with an upstream that names a limit."""
    pool = make_pool(make_registration(**fields), limited=make_limited(18, own=own))
    pool.views["u1"].rate_limit.on_answer(
        limit_hz, kind=AnswerKind.REQUEST, sent_at_s=0.0, now_s=0.0
    )
    return pool


def can_serve(pool: ServicePool, *, max_wait_s: float, queued: int = 0) -> bool:
    return pool.can_serve(
        make_requirements(max_response_s=1000.0),
        max_wait_s=max_wait_s,
        queued=queued,
        now_s=0.0,
    )


def entries_with_share(limit_hz: float) -> list[int]:
    return [
        own
        for own in range(18)
        if can_serve(make_limited_pool(limit_hz=limit_hz, own=own), max_wait_s=100.0)
    ]


def test_a_request_is_refused_at_once_if_a_rate_limit_allows_none_in_time() -> None:
    with_share = entries_with_share(1.0)
    assert 1 <= len(with_share) <= 5
    without = next(i for i in range(18) if i not in with_share)
    pool = make_limited_pool(limit_hz=1.0, own=without)
    assert not can_serve(pool, max_wait_s=100.0)
    assert pool.min_wait_s(now_s=0.0) == 0.0
    pool = make_limited_pool(limit_hz=1.0, own=with_share[0])
    wait_s = pool.min_wait_s(now_s=0.0)
    assert 0.5 < wait_s < 5.0
    assert not can_serve(pool, max_wait_s=0.9 * wait_s)
    assert can_serve(pool, max_wait_s=1.1 * wait_s)
    assert not can_serve(pool, max_wait_s=1.1 * wait_s, queued=1)


def test_an_upstream_that_takes_no_requests_gets_one_trial_in_a_turn() -> None:
    pools = [make_limited_pool(limit_hz=0.0, own=own) for own in range(18)]
    turn_s = 4.0
    trials = Counter(
        int(step * 0.1 / turn_s)
        for step in range(int(19 * turn_s / 0.1))
        for pool in pools
        if pool.start_request(pool.views["u1"], now_s=step * 0.1)
    )
    assert trials == Counter(range(1, 19))


def test_a_cold_upstream_with_a_rate_limit_keeps_to_both() -> None:
    own = entries_with_share(1.0)[0]
    pool = make_limited_pool(limit_hz=1.0, own=own, warmup_left_s=5.0)
    view = pool.views["u1"]
    view.ramp_hz = 0.0
    assert not pool.start_request(view, now_s=0.0)
    assert not pool.start_request(view, now_s=4.9)
    assert pool.start_request(view, now_s=5.0)
    assert not pool.start_request(view, now_s=5.1)


def test_a_limited_upstream_is_probed_to_hear_the_end_of_its_limit() -> None:
    without = next(i for i in range(18) if i not in entries_with_share(1.0))
    pool = make_limited_pool(limit_hz=1.0, own=without)
    requirements = make_requirements()
    assert pool.probe_targets(requirements, count=3, now_s=0.5) == []
    probed = pool.probe_targets(requirements, count=3, now_s=1.5)
    assert [v.registration.id for v in probed] == ["u1"]
    assert pool.probe_targets(requirements, count=3, now_s=1.6) == []
