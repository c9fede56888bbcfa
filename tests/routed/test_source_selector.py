"""Selection between relays and the store."""

import random

from borageramp_core.routing import (
    Instance,
    Pause,
    RelayPlan,
    RelaySource,
    SourceSelector,
    StoreSource,
)
from tests.lib.routed import make_instance

RELAYS = tuple(make_instance(f"relay-{i}") for i in range(3))


def make_selector(
    *, is_relay: bool = False, relays: tuple[Instance, ...] = RELAYS
) -> SourceSelector:
    """Return a selector that has just heard of changes, at 0 s."""
    plan = RelayPlan(own=make_instance("own"))
    plan.is_relay = is_relay
    plan.other_relays = relays
    return SourceSelector(plan=plan, rng=random.Random(1), now_s=0.0)


def selected_relay(selector: SourceSelector, *, now_s: float) -> Instance:
    source = selector.select(now_s=now_s)
    assert isinstance(source, RelaySource)
    return source.instance


def test_a_relay_that_answers_is_kept() -> None:
    selector = make_selector()
    assert selector.select(now_s=0.1) == RelaySource(instance=RELAYS[0], settled=False)
    selector.on_relay_answer(RELAYS[0], now_s=0.1)
    assert selector.select(now_s=0.5) == RelaySource(instance=RELAYS[0], settled=True)


def test_a_relay_that_failed_is_skipped_for_longer_each_time() -> None:
    selector = make_selector()
    selector.on_relay_failed(RELAYS[0], now_s=0.0)
    assert selected_relay(selector, now_s=0.1) is RELAYS[1]
    selector.on_relay_answer(RELAYS[1], now_s=1.6)
    assert selected_relay(selector, now_s=1.6) is RELAYS[0]
    selector.on_relay_failed(RELAYS[0], now_s=1.6)
    selector.on_relay_answer(RELAYS[1], now_s=4.5)
    assert selected_relay(selector, now_s=4.5) is RELAYS[1]
    selector.on_relay_answer(RELAYS[1], now_s=4.7)
    assert selected_relay(selector, now_s=4.7) is RELAYS[0]


# Guards against going round relays that fail one after the other.
def test_the_store_is_asked_once_nothing_was_heard_for_too_long() -> None:
    selector = make_selector()
    selector.on_relay_failed(RELAYS[0], now_s=0.7)
    assert selected_relay(selector, now_s=0.7) is RELAYS[1]
    selector.on_relay_failed(RELAYS[1], now_s=1.0)
    assert selector.select(now_s=1.0) == StoreSource()
    selector.on_store_answer(now_s=1.0)
    assert selected_relay(selector, now_s=1.0) is RELAYS[2]


def test_a_relay_watches_the_store_and_polls_others_while_it_fails() -> None:
    selector = make_selector(is_relay=True)
    assert selector.select(now_s=0.0) == StoreSource()
    selector.on_store_failed(now_s=0.0)
    assert selected_relay(selector, now_s=0.1) is RELAYS[0]
    assert selector.select(now_s=1.5) == StoreSource()


def test_relays_are_polled_while_the_store_turns_an_instance_away() -> None:
    selector = make_selector()
    selector.on_renewal(answered=False, now_s=0.0)
    selector.on_store_failed(now_s=2.0)
    assert selected_relay(selector, now_s=2.0) is RELAYS[0]
    for relay in RELAYS:
        selector.on_relay_failed(relay, now_s=2.0)
    pause = selector.select(now_s=2.0)
    assert isinstance(pause, Pause) and pause.delay_s <= 1.5


def test_without_relays_the_store_is_retried_soon_and_ever_less_often() -> None:
    selector = make_selector(is_relay=True, relays=())
    delays_s = []
    now_s = 0.0
    for _ in range(5):
        selector.on_store_failed(now_s=now_s)
        pause = selector.select(now_s=now_s)
        assert isinstance(pause, Pause)
        delays_s.append(pause.delay_s)
        now_s += pause.delay_s
    assert 0.2 <= delays_s[0] <= 0.4 and 1.0 <= delays_s[-1] <= 2.0


def test_a_renewal_that_is_answered_again_ends_the_wait_for_the_store() -> None:
    selector = make_selector(is_relay=True, relays=())
    selector.on_renewal(answered=False, now_s=0.0)
    selector.on_store_failed(now_s=0.0)
    pause = selector.select(now_s=0.0)
    assert isinstance(pause, Pause) and pause.delay_s >= 4.0
    selector.on_renewal(answered=True, now_s=0.3)
    assert selector.select(now_s=0.3) == StoreSource()
