"""Which addresses callers get."""

import json
import random
from collections import Counter
from typing import Any

from borageramp_core.routing import Instance
from borageramp_entry._internal.routed.resources import MAX_ADDRESSES, DirectoryResource
from borageramp_platform.messages import Directory
from tests.lib.routed import make_instance


class Question:
    path = Directory.addresses_path.decode()

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.body = body


class Listed:
    def __init__(self, *instances: Instance) -> None:
        self._instances = instances

    def usable(self, *, own_ready: bool) -> list[Instance]:
        return list(self._instances)


def ask(*instances: Instance, has_config: bool = True, seed: int = 1) -> Any:
    """Return the status and the addresses of an answer."""
    listed: Any = Listed(*instances)
    directory = DirectoryResource(
        instances=listed,
        ready=lambda: True,
        has_config=lambda: has_config,
        dialect=Directory(),
        ttl_s=lambda: 2.0,
        rng=random.Random(seed),
    )
    request: Any = Question()
    coroutine = directory.serve(request)
    try:
        coroutine.send(None)
    except StopIteration:
        pass
    return request.status, json.loads(request.body).get("addresses", [])


def make_fleet(count: int, *, prefix: str, capacity: float) -> list[Instance]:
    return [
        make_instance(f"{prefix}{i}", caller_address=f"{prefix}:{i}", capacity=capacity)
        for i in range(count)
    ]


def test_all_of_a_small_fleet_are_named() -> None:
    status, addresses = ask(*make_fleet(14, prefix="s", capacity=0.1))
    assert status == 200 and len(addresses) == 14


def test_larger_machines_of_a_large_fleet_are_named_more_often() -> None:
    small = make_fleet(300, prefix="s", capacity=0.4)
    large = make_fleet(13, prefix="l", capacity=2.0)
    named = Counter[str]()
    for seed in range(200):
        _, addresses = ask(*small, *large, seed=seed)
        assert len(addresses) == len(set(addresses)) == MAX_ADDRESSES
        named.update(addresses)
    mean_small = sum(named[i.caller_address] for i in small) / len(small)
    mean_large = sum(named[i.caller_address] for i in large) / len(large)
    # Five times as large; none can be in an answer twice.
    assert 2.5 * mean_small < mean_large < 6 * mean_small
    assert min(named[i.caller_address] for i in small) > 0


def test_without_a_configuration_nobody_is_named() -> None:
    assert ask(make_instance(), has_config=False)[0] == 503
    assert ask(has_config=True)[0] == 503
