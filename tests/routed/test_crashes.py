"""Detection and quarantine of requests that crash upstreams."""

import asyncio
from typing import Any

import pytest

from borageramp_core import AttemptResult, Upstream
from borageramp_core.routing import CrashSuspect, UpstreamView
from borageramp_entry._internal.routed.crashes import CrashDetector, make_suspects
from borageramp_entry._internal.routed.records import decode_record
from borageramp_entry._internal.serving.upstreams import TryFailedError
from borageramp_entry.routed import Commit, Item
from tests.lib.routed import make_pool, make_registration


class _StubClient:
    """Health checks that fail with a result, or succeed if it is None.

    Those of the upstreams in ``answering`` succeed.
    """

    def __init__(self, result: AttemptResult | None, answering: list[str]) -> None:
        self._result = result
        self._answering = answering

    async def ask_health(self, upstream: Upstream, *_: Any, **__: Any) -> None:
        if self._result is not None and upstream.name not in self._answering:
            raise TryFailedError(self._result)


class _RecordingStore:
    """Records the items that are written."""

    def __init__(self) -> None:
        self.written: list[Item] = []

    async def grant_lease(self, ttl_s: float) -> int:
        return 1

    async def commit(self, commits: list[Commit]) -> None:
        for commit in commits:
            for put in commit.puts:
                assert put.value is not None and put.lease_id
                self.written.append(Item(key=put.key, value=put.value, revision=1))


def make_detector(
    result: AttemptResult | None,
    store: _RecordingStore,
    *,
    name: str = "e1",
    others: tuple[str, ...] = ("other1", "other2"),
    answering: tuple[str, ...] = ("other2",),
) -> CrashDetector:
    client: Any = _StubClient(result, list(answering))
    any_store: Any = store
    return CrashDetector(
        instance=name,
        suspects=make_suspects(),
        store=any_store,
        client=client,
        other_upstreams=lambda view: [make_view(n) for n in others],
    )


def make_view(name: str) -> UpstreamView:
    return make_pool(make_registration(name)).views[name]


async def report_unanswered(detector: CrashDetector, *upstreams: str) -> None:
    detector.on_unanswered("r", [make_view(name) for name in upstreams])
    await asyncio.sleep(0.02)


def test_three_crashes_quarantine_a_request() -> None:
    async def run() -> None:
        detector = make_detector(AttemptResult.UNREACHABLE, _RecordingStore())
        await report_unanswered(detector, "u1", "u2")
        assert not detector.is_quarantined("r")
        await report_unanswered(detector, "u3")
        assert detector.is_quarantined("r")
        assert not detector.is_quarantined("other")

    asyncio.run(run())


@pytest.mark.parametrize("result", [None, AttemptResult.TIMED_OUT, AttemptResult.DIED])
def test_a_broken_connection_alone_is_no_crash(result: AttemptResult | None) -> None:
    async def run() -> None:
        store = _RecordingStore()
        detector = make_detector(result, store)
        await report_unanswered(detector, "u1", "u2", "u3")
        assert not detector.is_quarantined("r")
        assert store.written == []

    asyncio.run(run())


# Guards against requests that are refused everywhere as an instance that lost its
# network took upstreams for crashed.
def test_an_instance_that_reaches_no_upstream_suspects_no_request() -> None:
    async def run() -> None:
        store = _RecordingStore()
        detector = make_detector(AttemptResult.UNREACHABLE, store, answering=())
        await report_unanswered(detector, "u1", "u2", "u3")
        assert not detector.is_quarantined("r")
        assert store.written == []

    asyncio.run(run())


def test_a_crash_of_the_only_upstream_counts() -> None:
    async def run() -> None:
        store = _RecordingStore()
        detector = make_detector(AttemptResult.UNREACHABLE, store, others=())
        await report_unanswered(detector, "u1")
        assert len(store.written) == 1

    asyncio.run(run())


def test_crashes_seen_by_several_instances_add_up() -> None:
    async def run() -> None:
        store = _RecordingStore()
        for number in range(3):
            detector = make_detector(
                AttemptResult.UNREACHABLE, store, name=f"e{number}"
            )
            await report_unanswered(detector, f"u{number}")
        last = make_detector(None, _RecordingStore())
        for item in store.written:
            suspect = decode_record(item)
            assert isinstance(suspect, CrashSuspect)
            last.merge(suspect)
        assert last.is_quarantined("r")

    asyncio.run(run())


def test_an_answer_clears_a_suspect_permanently() -> None:
    async def run() -> None:
        detector = make_detector(AttemptResult.UNREACHABLE, _RecordingStore())
        known = CrashSuspect(fingerprint="r", upstreams=("u1/0", "u2/0"))
        detector.merge(known)
        await asyncio.sleep(0.01)
        detector.on_answer("r")
        detector.merge(known)
        await report_unanswered(detector, "u3")
        assert not detector.is_quarantined("r")

    asyncio.run(run())


# Guards against instances that start after a restore and don't know of a request that
# crashes upstreams.
def test_suspects_are_published_again_after_a_restore_of_the_store() -> None:
    async def run() -> None:
        store = _RecordingStore()
        detector = make_detector(AttemptResult.UNREACHABLE, store)
        await report_unanswered(detector, "u1")
        await report_unanswered(detector, "u2")
        published = store.written[-1]
        store.written.clear()
        detector.merge(CrashSuspect(fingerprint="of another", upstreams=("u9",)))
        detector.on_store_restored()
        await asyncio.sleep(0.02)
        assert store.written == [published]

    asyncio.run(run())


def test_a_request_that_was_answered_since_is_not_published_again() -> None:
    async def run() -> None:
        store = _RecordingStore()
        detector = make_detector(AttemptResult.UNREACHABLE, store)
        await report_unanswered(detector, "u1")
        store.written.clear()
        detector.on_answer("r")
        detector.on_store_restored()
        await asyncio.sleep(0.02)
        assert store.written == []

    asyncio.run(run())
