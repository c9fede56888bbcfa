"""Admission of requests by the quota of their workspace, at one instance."""

import random
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

from borageramp_core._internal.routing.model import Instance, Workspace
from borageramp_core._internal.routing.quota.bounds import QuotaBounds
from borageramp_core._internal.routing.quota.self_grants import SelfGrantBudget
from borageramp_core._internal.routing.quota.shard import (
    MAX_WAIT_S,
    ShardAnswer,
    ShardState,
)
from borageramp_core._internal.routing.quota.shard_map import ShardMap

__all__ = ["QuotaAdmission", "QuotaOutcome", "QuotaRound"]

# An instance that didn't answer is asked again after this time.
FAILED_PAUSE_S = 1.0
# A token of a request that was refused unrun may be used for another one this long.
TOKEN_KEPT_S = 1.0
# Later, a shard would add a token to a window other than that of its grant.
MAX_RETURN_AGE_S = 5.0
# A share in use that no shard has confirmed for this long counts as none.
SHARE_KEPT_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Wait:
    until_s: float
    answer: ShardAnswer


@dataclass(kw_only=True, slots=True)
class _State:
    """What an instance knows of one workspace."""

    budget: SelfGrantBudget
    waits: dict[str, _Wait] = field(default_factory=dict)
    kept_at_s: deque[float] = field(default_factory=deque)
    returns_at_s: deque[float] = field(default_factory=deque)
    share_used: float = 0.0
    share_at_s: float = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaOutcome:
    """Result of the token requests for some requests of a workspace.

    Attributes
    ----------
    granted : int
        Tokens, those that the instance granted itself included.
    self_granted : int
        These.
    wait_s : float
        Time after which there may be a token again.
    left : float
        Tokens left in the shards that answered.
    owners : dict of str to str
        What is known of each shard, by the name of its owner.
    """

    granted: int
    self_granted: int
    wait_s: float
    left: float
    owners: dict[str, str]


class QuotaAdmission:
    """Decides at one instance which shard to ask, and which requests to refuse.

    Parameters
    ----------
    shards : ShardMap
        Owners of the shards.
    bounds : QuotaBounds
        Bounds of the quotas.
    rng : random.Random
        Source of randomness.
    now_s : float
        Current time.
    """

    def __init__(
        self, *, shards: ShardMap, bounds: QuotaBounds, rng: random.Random, now_s: float
    ) -> None:
        self.bounds = bounds
        self.shards = shards
        self._rng = rng
        self._started_at_s = now_s
        self._states: dict[str, _State] = {}
        self._failed_until_s: dict[str, float] = {}

    def update(self, workspaces: Collection[str]) -> None:
        """Forget workspaces that the configuration no longer has."""
        for name in self._states.keys() - set(workspaces):
            del self._states[name]

    def take_kept(self, workspace: str, *, now_s: float) -> bool:
        """Use a token that another request didn't need; return whether there was one.

        The clock may stop while the machine is suspended; a token is then kept for
        longer, but used only once.
        """
        state = self._states.get(workspace)
        if state is None:
            return False
        self._expire_kept(state, now_s=now_s)
        if not state.kept_at_s:
            return False
        state.kept_at_s.popleft()
        return True

    def keep_token(self, workspace: str, *, now_s: float) -> None:
        """Keep the token of a request that was refused without having run."""
        self._state(workspace).kept_at_s.append(now_s)

    def share_used(self, workspace: str, *, now_s: float) -> float:
        """Return the share of its quota that a workspace uses over the fleet."""
        state = self._states.get(workspace)
        if state is None or now_s - state.share_at_s > SHARE_KEPT_S:
            return 0.0
        return state.share_used

    def begin(self, workspace: Workspace, *, count: int, now_s: float) -> "QuotaRound":
        """Begin the token requests for ``count`` requests of a workspace."""
        state = self._state(workspace.name)
        self._expire_kept(state, now_s=now_s)
        return QuotaRound(self, workspace, state, count)

    def without_asking(self, workspace: Workspace, *, now_s: float) -> "QuotaOutcome":
        """Return the outcome of a request that leaves tokens to others."""
        waits = self._state(workspace.name).waits.values()
        soonest_s = min((w.until_s for w in waits), default=now_s)
        return QuotaOutcome(
            granted=0,
            self_granted=0,
            wait_s=max(0.0, soonest_s - now_s),
            left=sum(w.answer.left for w in waits),
            owners={},
        )

    def _state(self, workspace: str) -> _State:
        state = self._states.get(workspace)
        if state is None:
            budget = SelfGrantBudget(now_s=self._started_at_s, rng=self._rng)
            state = self._states[workspace] = _State(budget=budget)
        return state

    @staticmethod
    def _expire_kept(state: _State, *, now_s: float) -> None:
        while state.kept_at_s and now_s - state.kept_at_s[0] > TOKEN_KEPT_S:
            state.returns_at_s.append(state.kept_at_s.popleft())
        while state.returns_at_s and now_s - state.returns_at_s[0] > MAX_RETURN_AGE_S:
            state.returns_at_s.popleft()

    def is_paused(self, owner: str, *, now_s: float) -> bool:
        """Return whether an instance failed to answer lately."""
        return now_s < self._failed_until_s.get(owner, float("-inf"))

    def on_no_answer(self, owner: str, *, now_s: float) -> None:
        """Record that an instance didn't answer."""
        self._failed_until_s = {
            name: until_s
            for name, until_s in self._failed_until_s.items()
            if until_s > now_s
        }
        self._failed_until_s[owner] = now_s + FAILED_PAUSE_S


class QuotaRound:
    """Token requests for some requests of one workspace that wait at an instance.

    Ask :meth:`next_owner` until it returns ``None``, and report each answer.

    Attributes
    ----------
    workspace : Workspace
        The workspace.
    missing : int
        Tokens still needed.
    """

    def __init__(
        self,
        admission: QuotaAdmission,
        workspace: Workspace,
        state: _State,
        count: int,
    ) -> None:
        self.workspace = workspace
        self.missing = count
        self._count = count
        self._admission = admission
        self._state = state
        self._owners = admission.shards.owners(workspace.name)
        self._asked: set[str] = set()

    def next_owner(self, *, now_s: float) -> Instance | None:
        """Return the instance to ask next, or ``None`` if there is none."""
        if self.missing <= 0:
            return None
        for owner in self._owners:
            if owner.name not in self._asked and not self._is_skipped(owner, now_s):
                self._asked.add(owner.name)
                return owner
        return None

    def _is_skipped(self, owner: Instance, now_s: float) -> bool:
        wait = self._state.waits.get(owner.name)
        waiting = wait is not None and now_s < wait.until_s
        return waiting or self._admission.is_paused(owner.name, now_s=now_s)

    def take_returns(self) -> int:
        """Return how many unused tokens go back with the next token request."""
        returned = len(self._state.returns_at_s)
        self._state.returns_at_s.clear()
        return returned

    def on_answer(self, owner: Instance, answer: ShardAnswer, *, now_s: float) -> None:
        """Record the answer of an instance."""
        # More than were asked for would admit requests that nobody counted.
        self.missing -= min(self.missing, answer.granted)
        # Another build may say longer, for which the shard would not be asked at all.
        pause_s = min(MAX_WAIT_S, answer.wait_s)
        if answer.state is ShardState.GRANTING:
            self._state.share_used = answer.share_used
            self._state.share_at_s = now_s
        elif not 0.0 < pause_s <= FAILED_PAUSE_S:
            pause_s = FAILED_PAUSE_S
        self._state.waits[owner.name] = _Wait(until_s=now_s + pause_s, answer=answer)

    def on_no_answer(self, owner: Instance, *, now_s: float) -> None:
        """Record that an instance didn't answer."""
        self._state.waits.pop(owner.name, None)
        self._admission.on_no_answer(owner.name, now_s=now_s)

    def end(self, *, now_s: float) -> QuotaOutcome:
        """Return the outcome, with tokens that the instance grants itself.

        It grants itself some only if no shard answered whether it has tokens.
        """
        names = {owner.name for owner in self._owners}
        waits = {
            name: wait
            for name, wait in self._state.waits.items()
            if name in names and (now_s < wait.until_s or name in self._asked)
        }
        self._state.waits = waits
        granting = [
            wait for wait in waits.values() if wait.answer.state is ShardState.GRANTING
        ]
        self_granted = 0
        if not granting:
            while self.missing > 0 and self._take_own(now_s):
                self.missing -= 1
                self_granted += 1
        soonest_s = min((w.until_s for w in granting), default=now_s + FAILED_PAUSE_S)
        return QuotaOutcome(
            granted=self._count - self.missing,
            self_granted=self_granted,
            wait_s=max(0.0, soonest_s - now_s),
            left=sum(w.answer.left for w in granting),
            owners={o.name: self._describe(o.name) for o in self._owners},
        )

    def _take_own(self, now_s: float) -> bool:
        bounds = self._admission.bounds
        instances = self._admission.shards.instance_count
        return self._state.budget.take(
            tokens=bounds.self_grants(self.workspace) / instances,
            window_s=bounds.window_s,
            now_s=now_s,
        )

    def _describe(self, owner: str) -> str:
        wait = self._state.waits.get(owner)
        if wait is None:
            return "no answer" if owner in self._asked else "paused"
        state = wait.answer.state
        if state is not ShardState.GRANTING:
            return state.value
        return "refused" if owner in self._asked else "refused before"
