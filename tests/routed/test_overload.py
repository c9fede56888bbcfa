"""Heavy days of one service, against the decisions of all entries.

Each test names the load pattern that it answers; none needs a network.
"""

import pytest

from borageramp_core.routing import Route
from tests.lib.overload import Overload, Tally
from tests.lib.routed import make_route

UPSTREAMS, SLOTS = 3, 6
# An upstream that is nearly full takes longer, so that not all of its rate is
# there for use.
USABLE = 0.87


def run(route: Route, *, work_s: float, load: float, seed: int) -> Tally:
    """Run a burst of four seconds that fourteen entries share."""
    return Overload(
        route=route,
        entries=14,
        upstreams=UPSTREAMS,
        slots=SLOTS,
        work_s=work_s,
        rate_hz=load * USABLE * UPSTREAMS * SLOTS / work_s,
        length_s=4.0,
        seed=seed,
    ).run()


URGENT = make_route(objective_s=0.3, rank=1, timeout_s=2.5)
USUAL = make_route(objective_s=0.25, rank=2, timeout_s=2.0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("load", "share"), [(0.7, 0.97), (0.9, 0.88), (1.0, 0.75)])
def test_urgent_requests_up_to_all_that_the_slots_bear(
    load: float, share: float, seed: int
) -> None:
    """Queues at upstreams stay short, though fourteen entries fill them."""
    tally = run(URGENT, work_s=0.12, load=load, seed=seed)
    assert tally.share_in_time > share


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("load", "share"), [(1.15, 0.6), (1.3, 0.5)])
def test_more_urgent_requests_than_the_slots_bear(
    load: float, share: float, seed: int
) -> None:
    """Those that can be in time are; the others wait, and get an answer."""
    tally = run(URGENT, work_s=0.12, load=load, seed=seed)
    assert tally.share_in_time > share


@pytest.mark.parametrize("seed", range(3))
def test_more_usual_requests_than_the_slots_bear(seed: int) -> None:
    """What can't be in time is refused early, and makes nothing else late."""
    tally = run(USUAL, work_s=0.09, load=1.15, seed=seed)
    assert tally.share_in_time > 0.72
    assert tally.late < 0.08 * (tally.in_time + tally.late + tally.refused)


@pytest.mark.parametrize("seed", range(3))
def test_upstreams_that_are_slow_once_full(seed: int) -> None:
    """Work goes to those with free slots, as long as there are any."""
    tally = Overload(
        route=make_route(objective_s=0.6, rank=2, timeout_s=4.0),
        entries=18,
        upstreams=13,
        slots=3,
        work_s=0.22,
        rate_hz=0.4 * 13 * 3 / 0.22,
        length_s=4.0,
        seed=seed,
        full_factor=2.0,
    ).run()
    assert tally.share_in_time > 0.985


# What two of three slots answer, where the third makes all three slow.
BORNE_HZ = 10 * 2 / 0.1


@pytest.mark.parametrize("seed", range(2))
def test_refused_callers_come_back_while_more_comes_than_can_be_served(
    seed: int,
) -> None:
    """They are late already, and don't make those late that are new."""
    load, calm_s, length_s, after_s = 1.2, 8.0, 4.0, 2.0
    tally = Overload(
        route=make_route(objective_s=0.25, rank=2, timeout_s=2.0),
        entries=8,
        upstreams=10,
        slots=3,
        work_s=0.1,
        rate_hz=load * BORNE_HZ,
        length_s=length_s,
        seed=seed,
        full_factor=1.7,
        returns=2,
        calm_s=calm_s,
    ).run()
    others_s = calm_s / 3 + after_s / 2
    possible = (others_s + length_s / load) / (others_s + length_s)
    assert tally.share_in_time > 0.75 * possible
    # Those that come back are not forgotten either.
    assert tally.refused < 0.15 * tally.requests
