"""Overload of one service, in a simulation of all entries without a network.

Each test covers the load pattern that its name describes.
"""

import pytest

from borageramp_core.routing import Route
from tests.lib.overload import Overload
from tests.lib.overload_model import Tally
from tests.lib.routed import make_route

UPSTREAMS, SLOTS = 3, 6
# Upstreams slow down when nearly full, so not all of their nominal rate is usable.
USABLE_SHARE = 0.87


def run(route: Route, *, work_s: float, load: float, seed: int) -> Tally:
    """Run a burst of four seconds that is spread over fourteen entries."""
    return Overload(
        route=route,
        entries=14,
        upstreams=UPSTREAMS,
        slots=SLOTS,
        work_s=work_s,
        rate_hz=load * USABLE_SHARE * UPSTREAMS * SLOTS / work_s,
        length_s=4.0,
        seed=seed,
    ).run()


URGENT = make_route(objective_s=0.3, rank=1, timeout_s=2.5)
NORMAL = make_route(objective_s=0.25, rank=2, timeout_s=2.0)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("load", "share"), [(0.7, 0.97), (0.9, 0.88), (1.0, 0.75)])
def test_urgent_requests_up_to_the_capacity_of_the_slots(
    load: float, share: float, seed: int
) -> None:
    """Queues at upstreams stay short although fourteen entries fill them."""
    tally = run(URGENT, work_s=0.12, load=load, seed=seed)
    assert tally.share_in_time > share


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("load", "share"), [(1.15, 0.6), (1.3, 0.5)])
def test_more_urgent_requests_than_the_capacity_of_the_slots(
    load: float, share: float, seed: int
) -> None:
    """Requests that can be in time are; the others wait and are answered."""
    tally = run(URGENT, work_s=0.12, load=load, seed=seed)
    assert tally.share_in_time > share


@pytest.mark.parametrize("seed", range(3))
def test_more_normal_requests_than_the_capacity_of_the_slots(seed: int) -> None:
    """Requests that cannot be in time are refused early and delay no others."""
    tally = run(NORMAL, work_s=0.09, load=1.15, seed=seed)
    assert tally.share_in_time > 0.72
    assert tally.late < 0.08 * (tally.in_time + tally.late + tally.refused)


@pytest.mark.parametrize("seed", range(3))
def test_upstreams_that_are_slow_once_full(seed: int) -> None:
    """Requests go to upstreams with free slots as long as there are any."""
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


# Rate at two of three slots per upstream; using the third slows down all three.
CAPACITY_HZ = 10 * 2 / 0.1


@pytest.mark.parametrize("seed", range(2))
def test_refused_callers_retry_during_overload(
    seed: int,
) -> None:
    """Retries are late already and must not delay first attempts."""
    load, calm_s, length_s, after_s = 1.2, 8.0, 4.0, 2.0
    tally = Overload(
        route=make_route(objective_s=0.25, rank=2, timeout_s=2.0),
        entries=8,
        upstreams=10,
        slots=3,
        work_s=0.1,
        rate_hz=load * CAPACITY_HZ,
        length_s=length_s,
        seed=seed,
        full_factor=1.7,
        returns=2,
        calm_s=calm_s,
    ).run()
    others_s = calm_s / 3 + after_s / 2
    possible = (others_s + length_s / load) / (others_s + length_s)
    assert tally.share_in_time > 0.75 * possible
    # Retries are still served.
    assert tally.refused < 0.15 * tally.requests
