"""Faults by the names that feature tables give them."""

import threading
import time
from collections.abc import Callable

from borageramp_bench.campaign import Campaign
from borageramp_bench.fleet import CliResult, Fleet
from borageramp_bench.history import Allowance
from borageramp_bench.key_changes import change_keys
from features.fleets import COLD_S

__all__ = ["FAULTS"]

Fault = Callable[[Fleet, Campaign, float], None]
VICTIM = "entry-2"
# A cold start that nobody announced shows only in the next answer.
NOTICE_S = 0.15
# A killed upstream takes this long to listen again, and is cold from then.
PROCESS_START_S = 0.6


def allow_cold(campaign: Campaign, upstream: str) -> None:
    """Have the history check that a cold upstream gets one request at once."""
    now_s = time.time()
    campaign.history.allowances.append(
        Allowance(
            upstream=upstream,
            requests=1,
            from_s=now_s + NOTICE_S,
            until_s=now_s + COLD_S + PROCESS_START_S,
        )
    )


def nothing(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    time.sleep(seconds)


def entry_killed(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    time.sleep(seconds / 4)
    fleet.entries[VICTIM].process.kill()
    time.sleep(seconds / 4)
    fleet.entries[VICTIM].process.start()
    time.sleep(seconds / 2)


def entry_frozen(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    time.sleep(seconds / 5)
    fleet.entries[VICTIM].process.freeze()
    time.sleep(seconds * 3 / 5)
    fleet.entries[VICTIM].process.thaw()
    time.sleep(seconds / 5)


def entry_replaced(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    process = fleet.entries[VICTIM].process
    process.terminate()
    code = process.wait(within_s=40)
    assert code == 0, f"exit code {code}"
    process.start()
    fleet.wait_live(VICTIM)
    time.sleep(1.0)


def store_down(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    fleet.store_control("fault", down=True)
    time.sleep(seconds * 3 / 4)
    fleet.store_control("fault")
    time.sleep(seconds / 4)


def store_slow(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    fleet.store_control("fault", slow_s=0.4)
    time.sleep(seconds)
    fleet.store_control("fault")


def answers_lost(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        fleet.store_control("fault", lose_answers=1)
        time.sleep(0.5)
    fleet.store_control("fault")


def leases_lapse(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        fleet.store_control("expire", prefix="/borageramp/entries/")
        time.sleep(0.7)


def cut_from_store(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    assert fleet.links is not None
    fleet.links.cut(VICTIM, "store")
    time.sleep(seconds / 4)
    campaign.operate("data-centre", "out", "west", entries=["entry-1"])
    time.sleep(seconds * 3 / 4)
    campaign.operate("data-centre", "in", "west", entries=["entry-1"])


def out_while_cut(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    """Take a data centre out during a cut, and back after it has healed."""
    assert fleet.links is not None
    campaign.operate("data-centre", "out", "west", entries=["entry-1"])
    time.sleep(seconds * 2 / 3)
    fleet.links.heal()
    time.sleep(seconds / 3)
    campaign.operate("data-centre", "in", "west", entries=["entry-1"])


def cut_from_all(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    assert fleet.links is not None
    fleet.links.isolate(VICTIM)
    out_while_cut(fleet, campaign, seconds)


def minority_cut_off(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    assert fleet.links is not None
    names = list(fleet.entries)
    minority = names[1:4]
    majority = [n for n in names if n not in minority]
    assert len(majority) > len(minority)
    for inside in minority:
        for outside in (*majority, "store"):
            fleet.links.cut(inside, outside)
            fleet.links.cut(outside, inside)
    out_while_cut(fleet, campaign, seconds)


def cut_from_each_other(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    assert fleet.links is not None
    fleet.links.cut("entry-1", VICTIM)
    fleet.links.cut(VICTIM, "entry-1")
    time.sleep(seconds * 3 / 4)
    fleet.links.heal()
    time.sleep(seconds / 4)


def operators_race(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    results: list[CliResult] = []

    def operate(entry: str, upstream: str) -> None:
        for verb in ("drain", "undrain"):
            result = campaign.operate(
                "upstream", verb, "records", upstream, entries=[entry]
            )
            results.append(result)

    racers = [
        threading.Thread(target=operate, args=(f"entry-{i + 1}", f"records-{i}"))
        for i in range(3)
    ]
    for racer in racers:
        racer.start()
    time.sleep(seconds)
    for racer in racers:
        racer.join(60)
    # 4: a conflict, 5: unknown, 6: not yet confirmed; all are told so.
    assert all(r.code in (0, 4, 5, 6) for r in results), results
    assert len(results) == 6, results
    for i in range(3):
        campaign.operate("upstream", "undrain", "records", f"records-{i}")


def centre_out_and_back(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    campaign.operate("data-centre", "out", "south", entries=["entry-1", "entry-3"])
    time.sleep(seconds * 3 / 4)
    campaign.operate("data-centre", "in", "south", entries=["entry-1", "entry-3"])
    time.sleep(seconds / 4)


def upstream_drained(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    campaign.operate("upstream", "drain", "records", "records-0")
    time.sleep(seconds * 3 / 4)
    campaign.operate("upstream", "undrain", "records", "records-0")
    time.sleep(seconds / 4)


def upstream_killed(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    for _ in range(3):
        time.sleep(seconds / 6)
        for name in ("records-1", "referrals-1"):
            fleet.upstreams[name].kill()
        time.sleep(seconds / 6)
        for name in ("records-1", "referrals-1"):
            fleet.upstreams[name].start()
            allow_cold(campaign, name)


def upstream_cold(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    for _ in range(2):
        fleet.behave("records-2", restart=True)
        allow_cold(campaign, "records-2")
        time.sleep(seconds / 2)


def straggler(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    fleet.behave("records-3", service_s=0.5)
    time.sleep(seconds)
    fleet.behave("records-3", service_s=0.005)


def fail_fast(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    fleet.behave("records-4", fail=True)
    fleet.behave("referrals-2", fail=True)
    time.sleep(seconds)
    fleet.behave("records-4", fail=False)
    fleet.behave("referrals-2", fail=False)


def sheds(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    fleet.behave("records-5", shed=True)
    fleet.behave("referrals-0", shed=True)
    time.sleep(seconds)
    fleet.behave("records-5", shed=False)
    fleet.behave("referrals-0", shed=False)


def probes_fail(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    for name in fleet.upstreams:
        fleet.behave(name, health_fails=True)
    time.sleep(seconds)
    for name in fleet.upstreams:
        fleet.behave(name, health_fails=False)


def keys_change(fleet: Fleet, campaign: Campaign, seconds: float) -> None:
    change_keys(fleet, campaign, seconds)
    # Without these, the check of the history would say nothing.
    statuses = {tried.status for tried in campaign.history.keyed}
    assert statuses >= {200, 401}, statuses


FAULTS: dict[str, Fault] = {
    "nothing fails": nothing,
    "an entry is killed": entry_killed,
    "an entry freezes and thaws": entry_frozen,
    "an entry is replaced": entry_replaced,
    "the store is down": store_down,
    "the store is slow": store_slow,
    "the store loses answers": answers_lost,
    "the list leases lapse": leases_lapse,
    "an entry is cut from the store": cut_from_store,
    "an entry is cut from all": cut_from_all,
    "three entries are cut off together": minority_cut_off,
    "two entries are cut from each other": cut_from_each_other,
    "operators race": operators_race,
    "a data centre goes out and returns": centre_out_and_back,
    "an upstream is drained": upstream_drained,
    "an upstream is killed": upstream_killed,
    "an upstream goes cold again": upstream_cold,
    "an upstream straggles": straggler,
    "an upstream fails fast": fail_fast,
    "an upstream sheds": sheds,
    "probes fail": probes_fail,
    "keys are added and revoked": keys_change,
}
