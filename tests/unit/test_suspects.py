"""Requests that crash upstreams, and those that ran beside them."""

from borageramp_core import Suspects, fingerprint


def test_second_death_condemns() -> None:
    suspects = Suspects()
    suspects.on_crash(["bad"], upstream="u1@a", now_s=1.0)
    assert not suspects.is_quarantined("bad", now_s=1.0)
    suspects.on_crash(["bad"], upstream="u2@b", now_s=2.0)
    assert suspects.is_quarantined("bad", now_s=2.0)


def test_same_death_told_twice_counts_once() -> None:
    suspects = Suspects()
    suspects.on_crash(["bad"], upstream="u1@a", now_s=1.0)
    suspects.merge("bad", ["u1@a"], age_s=0.5, now_s=1.5)
    assert suspects.crashes("bad", now_s=2.0) == 1


def test_restarted_upstream_that_dies_again_counts_again() -> None:
    suspects = Suspects()
    suspects.on_crash(["bad"], upstream="u1@a", now_s=1.0)
    suspects.on_crash(["bad"], upstream="u1@b", now_s=2.0)
    assert suspects.is_quarantined("bad", now_s=2.0)


def test_death_beside_a_suspect_is_put_down_to_the_suspect() -> None:
    suspects = Suspects()
    suspects.on_crash(["bad"], upstream="u1@a", now_s=1.0)
    suspects.on_crash(["bad", "good"], upstream="u2@b", now_s=2.0)
    assert suspects.crashes("good", now_s=2.0) == 0


def test_answered_suspect_is_cleared_and_stays_so_when_peers_repeat_it() -> None:
    suspects = Suspects()
    suspects.on_crash(["good"], upstream="u1@a", now_s=1.0)
    suspects.clear("good", now_s=2.0)
    suspects.merge("good", ["u1@a"], age_s=2.0, now_s=3.0)
    assert suspects.crashes("good", now_s=3.0) == 0


def test_peers_hear_that_a_suspect_is_cleared() -> None:
    here, there = Suspects(), Suspects()
    for suspects in (here, there):
        suspects.on_crash(["good"], upstream="u1@a", now_s=1.0)
    here.clear("good", now_s=2.0)
    for name, suspect in here.recent(now_s=3.0):
        there.merge(
            name, suspect.upstreams, age_s=3.0 - suspect.updated_at_s, now_s=3.0
        )
    assert there.crashes("good", now_s=3.0) == 0


def test_condemned_request_stays_condemned() -> None:
    suspects = Suspects()
    for upstream in ("u1@a", "u2@b"):
        suspects.on_crash(["bad"], upstream=upstream, now_s=1.0)
    suspects.clear("bad", now_s=2.0)
    suspects.merge("bad", [], age_s=0.0, now_s=3.0)
    assert suspects.is_quarantined("bad", now_s=3.0)


def test_memory_is_bounded() -> None:
    suspects = Suspects(limit=3)
    names = [f"r{i}" for i in range(10)]
    for name in names:
        suspects.on_crash([name], upstream="u1@a", now_s=1.0)
    assert sum(suspects.crashes(n, now_s=1.0) for n in names) == 3


def test_fingerprint_is_that_of_the_key() -> None:
    common = {"service": "s", "method": "POST", "path": "/a"}
    first = fingerprint(key="k", body=b"1", **common)
    assert first == fingerprint(key="k", body=b"2", **common)
    assert first != fingerprint(key="other", body=b"1", **common)
