"""Which instance a request is forwarded to."""

import random
from collections import Counter

from borageramp_core.routing import (
    Instance,
    KnownReach,
    PeerReport,
    PeerSelector,
    Reach,
)
from tests.lib.routed import AWAY, make_instance

SERVICE = "records"


def make_selector(*instances: Instance) -> PeerSelector:
    selector = PeerSelector(own=make_instance("own"), rng=random.Random(1))
    selector.update(instances)
    return selector


def report(
    selector: PeerSelector,
    name: str,
    reach: Reach = Reach.FULL,
    *,
    in_flight: int = 0,
    at_s: float = 0.0,
) -> None:
    selector.on_report(
        name, SERVICE, PeerReport(reach=reach, in_flight=in_flight), now_s=at_s
    )


def asked_in_order(
    selector: PeerSelector,
    *,
    service: str = SERVICE,
    min_reach: Reach = Reach.PARTIAL,
    count: int = 9,
    now_s: float = 0.0,
) -> list[str]:
    candidates = selector.to_ask(service, min_reach=min_reach, excluded=(), now_s=now_s)
    return [c.instance.name for c in candidates[:count]]


def asked(selector: PeerSelector, *, count: int = 9, now_s: float = 0.0) -> set[str]:
    return set(asked_in_order(selector, count=count, now_s=now_s))


def chosen(
    selector: PeerSelector,
    *,
    min_reach: Reach = Reach.PARTIAL,
    excluded: tuple[str, ...] = (),
    now_s: float = 0.0,
) -> str | None:
    peer = selector.choose(SERVICE, min_reach=min_reach, excluded=excluded, now_s=now_s)
    return peer.name if peer is not None else None


def test_instances_of_the_own_data_centre_are_asked_first() -> None:
    away = [make_instance(f"a{i}", data_centre=AWAY) for i in range(5)]
    here = [make_instance(f"h{i}") for i in range(2)]
    selector = make_selector(*away, *here)
    names = asked(selector, count=3)
    assert {"h0", "h1"} < names and len(names) == 3


# Guards against searches that end in a data centre that is cut off as a whole.
def test_a_part_of_those_asked_is_in_other_data_centres() -> None:
    away = [make_instance(f"a{i}", data_centre=AWAY) for i in range(9)]
    here = [make_instance(f"h{i}") for i in range(9)]
    selector = make_selector(*away, *here)
    names = asked_in_order(selector, count=9)
    assert [name[0] for name in names] == ["h", "h", "a"] * 3


def test_those_known_to_reach_the_service_are_asked_first() -> None:
    selector = make_selector(*(make_instance(f"p{i}") for i in range(6)))
    report(selector, "p1", Reach.NONE)
    report(selector, "p2", Reach.FULL)
    selector.on_report(
        "p3", "other", PeerReport(reach=Reach.FULL, in_flight=0), now_s=0.0
    )
    selector.on_report(
        "p4", "other", PeerReport(reach=Reach.NONE, in_flight=0), now_s=0.0
    )
    names = asked_in_order(selector, now_s=5.0)
    assert names[:2] == ["p2", "p3"] and names[4:] == ["p4", "p1"]
    assert asked_in_order(selector, min_reach=Reach.FULL, now_s=5.0)[0] == "p2"
    # What was known is too old to count.
    assert set(asked_in_order(selector, count=6, now_s=11.0)) == {
        f"p{i}" for i in range(6)
    }


def test_those_that_missed_the_service_are_asked_in_turn() -> None:
    selector = make_selector(*(make_instance(f"p{i}") for i in range(3)))
    for at_s, name in enumerate(["p1", "p0", "p2"]):
        report(selector, name, Reach.NONE, at_s=0.1 * at_s)
    assert asked_in_order(selector, now_s=3.0) == ["p1", "p0", "p2"]


def test_an_instance_that_does_not_reach_the_service_names_others_that_do() -> None:
    selector = make_selector(*(make_instance(f"p{i}") for i in range(40)))
    known = (KnownReach(name="p7", reach=Reach.FULL, age_s=2.0),)
    selector.on_report(
        "p1", SERVICE, PeerReport(reach=Reach.NONE, in_flight=0, known=known), now_s=3.0
    )
    assert asked_in_order(selector, now_s=3.0)[0] == "p7"
    # It passes on how old the knowledge is, and no more of it once it is too old.
    (passed_on,) = selector.known_reaching(SERVICE, now_s=4.0)
    assert (passed_on.name, passed_on.age_s) == ("p7", 3.0)
    assert selector.known_reaching(SERVICE, now_s=11.5) == []


def test_what_an_instance_says_of_itself_counts_over_older_hearsay() -> None:
    selector = make_selector(make_instance("p1"), make_instance("p2"))
    report(selector, "p2", Reach.NONE, at_s=3.0)
    known = (KnownReach(name="p2", reach=Reach.FULL, age_s=2.0),)
    selector.on_report(
        "p1", SERVICE, PeerReport(reach=Reach.NONE, in_flight=0, known=known), now_s=4.0
    )
    assert selector.known_reaching(SERVICE, now_s=4.0) == []


# Guards against a fleet that uses only the few instances that were found first.
def test_hearsay_counts_only_while_nobody_is_known_who_can_be_used() -> None:
    selector = make_selector(*(make_instance(f"p{i}") for i in range(4)))
    report(selector, "p1", Reach.FULL)
    hearsay = PeerReport(
        reach=Reach.NONE,
        in_flight=0,
        known=(KnownReach(name="p3", reach=Reach.FULL, age_s=0.1),),
    )
    selector.on_report("p2", SERVICE, hearsay, now_s=1.0)
    assert [k.name for k in selector.known_reaching(SERVICE, now_s=1.0)] == ["p1"]
    selector.avoid("p1", SERVICE, now_s=1.0)
    selector.on_report("p2", SERVICE, hearsay, now_s=1.5)
    assert len(selector.known_reaching(SERVICE, now_s=1.5)) == 2


def test_an_instance_that_missed_the_service_is_asked_again_on_newer_hearsay() -> None:
    selector = make_selector(make_instance("p1"), make_instance("p2"))
    report(selector, "p2", Reach.NONE, at_s=3.0)
    assert "p2" not in asked(selector, now_s=3.5)
    known = (KnownReach(name="p2", reach=Reach.FULL, age_s=0.1),)
    selector.on_report(
        "p1", SERVICE, PeerReport(reach=Reach.NONE, in_flight=0, known=known), now_s=3.5
    )
    assert asked_in_order(selector, now_s=3.5)[0] == "p2"


def test_nothing_is_expected_of_an_instance_that_does_not_answer() -> None:
    selector = make_selector(make_instance("p1"), make_instance("p2"))
    report(selector, "p1", Reach.FULL)
    selector.on_no_answer("p1", SERVICE, now_s=1.0)
    assert selector.known_reaching(SERVICE, now_s=1.0) == []
    assert asked_in_order(selector, now_s=3.0) == ["p2", "p1"]


def test_only_what_has_just_reported_is_chosen() -> None:
    selector = make_selector(make_instance("p1"))
    assert chosen(selector) is None
    report(selector, "p1")
    assert chosen(selector, now_s=0.2) == "p1"
    assert asked(selector, now_s=0.2) == set()
    assert chosen(selector, now_s=0.3) is None
    assert asked(selector, now_s=0.3) == {"p1"}


def test_an_instance_that_does_not_reach_the_service_is_left_for_a_while() -> None:
    selector = make_selector(make_instance("p1"), make_instance("p2"))
    report(selector, "p1", Reach.NONE)
    selector.on_no_answer("p2", SERVICE, now_s=0.0)
    assert chosen(selector) is None
    assert asked(selector, now_s=0.9) == set()
    assert asked(selector, now_s=1.1) == {"p1", "p2"}


def test_what_it_reaches_of_one_service_says_nothing_of_another() -> None:
    selector = make_selector(make_instance("p1"))
    report(selector, "p1", Reach.NONE)
    assert asked_in_order(selector, service="other") == ["p1"]


def test_an_instance_that_reaches_no_more_than_this_one_is_of_no_use() -> None:
    selector = make_selector(make_instance("p1"))
    report(selector, "p1", Reach.PARTIAL)
    assert chosen(selector, min_reach=Reach.FULL) is None
    assert chosen(selector, min_reach=Reach.PARTIAL) == "p1"


def test_the_least_loaded_instance_for_its_size_is_chosen() -> None:
    small, large = make_instance("p1"), make_instance("p2", capacity=4.0)
    selector = make_selector(small, large)
    report(selector, "p1", in_flight=2)
    report(selector, "p2", in_flight=5)
    assert chosen(selector) == "p2"
    assert chosen(selector, excluded=("p2",)) == "p1"


def test_requests_sent_since_the_reports_count_as_load() -> None:
    selector = make_selector(*(make_instance(f"p{i}") for i in range(4)))
    for i in range(4):
        report(selector, f"p{i}")
    counts: Counter[str | None] = Counter()
    for _ in range(40):
        name = chosen(selector)
        assert name is not None
        selector.on_start(name)
        counts[name] += 1
    assert set(counts.values()) == {10}
    selector.on_end("p2")
    assert chosen(selector) == "p2"


def test_a_restarted_instance_is_asked_anew() -> None:
    selector = make_selector(make_instance("p1"))
    report(selector, "p1", Reach.NONE)
    selector.update([make_instance("p1", incarnation="2")])
    assert asked(selector) == {"p1"}


def test_instances_without_an_address_for_others_are_not_asked() -> None:
    selector = make_selector(make_instance("p1", peer_address=None))
    assert asked(selector) == set()
