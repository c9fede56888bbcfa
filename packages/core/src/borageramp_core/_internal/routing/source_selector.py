"""Selection of the source from which an instance learns of changes of the store.

The time for which an instance hears nothing is bounded, whatever number of relays
fails to answer: once no source has told anything for ``MAX_UNCONFIRMED_S``, the store
itself is asked.
"""

import random
from dataclasses import dataclass

from borageramp_core._internal.routing.model import Instance
from borageramp_core._internal.routing.relay_plan import RelayPlan

__all__ = ["Pause", "RelaySource", "SourceSelector", "StoreSource"]

MAX_UNCONFIRMED_S = 0.8
# A relay that failed is skipped for this long, doubled after each further failure.
RELAY_BACKOFF_S = 1.5
MAX_RELAY_BACKOFF_S = 3.0
# After a failed call, relays are preferred to the store for this long: the store may
# turn away this instance alone.
STORE_BACKOFF_S = 1.5
# Without any relay, the store is tried again after this delay, doubled after each
# further failure, plus up to 100 % jitter.
INITIAL_STORE_RETRY_S = 0.2
MAX_STORE_RETRY_S = 1.0
# Both, while lease renewals fail too: these are cheaper, and tell when it is back.
OUTAGE_RETRY_S = 4.0
MIN_PAUSE_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class RelaySource:
    """A relay to poll.

    Attributes
    ----------
    instance : Instance
        The relay.
    settled : bool
        Whether it gave the last answer. If not, it should answer at once.
    """

    instance: Instance
    settled: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSource:
    """The store, to be watched."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """No source is to be asked for a while.

    Attributes
    ----------
    delay_s : float
        Time in seconds until the next selection.
    """

    delay_s: float


class SourceSelector:
    """Selects between the relays and the store.

    Parameters
    ----------
    plan : RelayPlan
        Relays in order of preference.
    rng : random.Random
        Random number generator for the retry jitter.
    now_s : float
        Current time in seconds.
    """

    def __init__(self, *, plan: RelayPlan, rng: random.Random, now_s: float) -> None:
        self._plan = plan
        self._rng = rng
        self._confirmed_at_s = now_s
        self._settled_relay = ""
        self._relay_failures: dict[str, int] = {}
        self._relay_backoff_until_s: dict[str, float] = {}
        self._store_failures = 0
        self._store_backoff_until_s = float("-inf")
        self._store_retry_at_s = float("-inf")
        self._renewals_fail = False

    def unconfirmed_s(self, *, now_s: float) -> float:
        """Return the time in seconds since a source last answered."""
        return now_s - self._confirmed_at_s

    def select(self, *, now_s: float) -> RelaySource | StoreSource | Pause:
        """Return the source to ask now."""
        wants_store = (
            self._plan.is_relay or self.unconfirmed_s(now_s=now_s) >= MAX_UNCONFIRMED_S
        )
        if wants_store and now_s >= self._store_backoff_until_s:
            return StoreSource()
        for relay in self._plan.other_relays:
            if now_s >= self._relay_backoff_until_s.get(relay.name, now_s):
                settled = relay.name == self._settled_relay
                return RelaySource(instance=relay, settled=settled)
        if now_s >= self._store_retry_at_s:
            return StoreSource()
        return Pause(delay_s=max(MIN_PAUSE_S, self._next_attempt_at_s() - now_s))

    def _next_attempt_at_s(self) -> float:
        relays = (self._relay_backoff_until_s[r.name] for r in self._plan.other_relays)
        return min(self._store_retry_at_s, *relays, float("inf"))

    def on_relay_answer(self, relay: Instance, *, now_s: float) -> None:
        """Record that a relay told what has changed, if anything."""
        self._confirmed_at_s = now_s
        self._settled_relay = relay.name
        self._relay_failures.pop(relay.name, None)
        self._relay_backoff_until_s.pop(relay.name, None)

    def on_relay_behind(self, relay: Instance) -> None:
        """Record that a relay answered, and knows less than this instance."""
        self._settled_relay = relay.name

    def on_relay_failed(self, relay: Instance, *, now_s: float) -> None:
        """Record that a relay gave no answer, or has no changes to tell."""
        failures = self._relay_failures.get(relay.name, 0)
        self._relay_failures[relay.name] = failures + 1
        backoff_s = min(MAX_RELAY_BACKOFF_S, RELAY_BACKOFF_S * 2.0**failures)
        self._relay_backoff_until_s[relay.name] = now_s + backoff_s
        self._settled_relay = ""

    def on_store_answer(self, *, now_s: float) -> None:
        """Record that the watch of the store was answered."""
        self._confirmed_at_s = now_s
        self._settled_relay = ""
        self._clear_store_failures(now_s=now_s)

    def on_store_failed(self, *, now_s: float) -> None:
        """Record that the watch of the store failed."""
        if self._renewals_fail:
            backoff_s = retry_s = OUTAGE_RETRY_S
        else:
            backoff_s = STORE_BACKOFF_S
            retry_s = min(
                MAX_STORE_RETRY_S, INITIAL_STORE_RETRY_S * 2.0**self._store_failures
            )
        self._store_failures += 1
        self._store_backoff_until_s = now_s + backoff_s
        self._store_retry_at_s = now_s + retry_s * (1.0 + self._rng.random())

    def on_renewal(self, *, answered: bool, now_s: float) -> None:
        """Record whether the store answered a lease renewal."""
        if answered and self._renewals_fail:
            self._clear_store_failures(now_s=now_s)
        self._renewals_fail = not answered

    def _clear_store_failures(self, *, now_s: float) -> None:
        self._store_failures = 0
        self._store_backoff_until_s = self._store_retry_at_s = now_s
