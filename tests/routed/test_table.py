"""Which route and which service a request takes."""

import random
from collections import Counter

from borageramp_core.routing import RouteTable, ServiceShare, choose_service
from tests.lib.routed import make_route


def test_longest_path_goes_first() -> None:
    table = RouteTable(
        [
            make_route("short", path_prefix="/a/"),
            make_route("long", path_prefix="/a/b/"),
        ]
    )
    found = table.match(host="a.example", path="/a/b/c")
    assert found is not None and found.name == "long"
    found = table.match(host="a.example", path="/a/c")
    assert found is not None and found.name == "short"


def test_host_may_have_a_port_and_any_case() -> None:
    table = RouteTable([make_route()])
    assert table.match(host="A.Example:8080", path="/x") is not None


def test_other_hosts_and_paths_match_nothing() -> None:
    table = RouteTable([make_route(path_prefix="/a/")])
    assert table.match(host="b.example", path="/a/") is None
    assert table.match(host="a.example", path="/a") is None


def test_services_get_requests_by_weight() -> None:
    shares = (
        ServiceShare(service="one", weight=90),
        ServiceShare(service="two", weight=10),
    )
    route = make_route(shares=shares)
    rng = random.Random(1)
    counts = Counter(choose_service(route, rng=rng) for _ in range(10_000))
    assert 0.88 < counts["one"] / 10_000 < 0.92
