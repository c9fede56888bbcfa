"""Shards of quotas that one instance owns."""

from collections.abc import Mapping

from borageramp_core._internal.routing.model import Workspace
from borageramp_core._internal.routing.quota.bounds import QuotaBounds
from borageramp_core._internal.routing.quota.shard import (
    QuotaShard,
    ShardAnswer,
    ShardState,
)
from borageramp_core._internal.routing.quota.shard_map import ShardMap

__all__ = ["QuotaOwner"]

# Other instances hear of a new owner within about this time, and then stop asking the
# previous one.
SETTLE_S = 1.0
# Tokens of a shard whose owner has restarted. The process before it may have used up
# all of them; without any, a workspace of few requests would wait for its first token
# for many seconds after a restart of all instances.
RESTART_TOKENS = 1.0
# An owner out of contact with all others for this long may have been replaced: their
# registrations end after 3 s without contact at the earliest.
MAX_CONTACT_AGE_S = 3.0


class QuotaOwner:
    """Grants tokens of the shards that this instance owns.

    Parameters
    ----------
    shards : ShardMap
        Owners of the shards.
    bounds : QuotaBounds
        Bounds of the quotas.
    """

    def __init__(self, *, shards: ShardMap, bounds: QuotaBounds) -> None:
        self.bounds = bounds
        self._map = shards
        self._workspaces: Mapping[str, Workspace] | None = None
        self._listed_at_s: float | None = None
        self._listed = False
        self._shards: dict[str, QuotaShard] = {}

    def update(
        self,
        workspaces: Mapping[str, Workspace] | None,
        *,
        listed: bool,
        restarted: bool = False,
        now_s: float,
    ) -> None:
        """Apply the configuration and the list of instances.

        Parameters
        ----------
        workspaces : mapping of str to Workspace, or None
            Workspaces by name; ``None`` while no configuration is known.
        listed : bool
            Whether this instance is on the list that the store holds.
        restarted : bool
            Whether it is listed only as a process that ended before this one. Other
            instances took it for the owner all the while, so that it need not settle.
        now_s : float
            Current time.
        """
        self._listed = listed
        if listed and self._listed_at_s is None:
            self._listed_at_s = now_s
        previous = self._workspaces
        self._workspaces = workspaces
        if workspaces is None or self._listed_at_s is None:
            return
        owned = {
            name: workspace
            for name, workspace in workspaces.items()
            if workspace.rate_hz > 0.0 and self._map.owns(name)
        }
        for name in self._shards.keys() - owned.keys():
            del self._shards[name]
        for name, workspace in owned.items():
            # Nobody has granted tokens of a limit that is new, unless this instance
            # hears of it late.
            limit_is_new = (
                previous is not None
                and not _has_limit(previous, name)
                and now_s - self._listed_at_s >= SETTLE_S
            )
            self._put(
                workspace, limit_is_new=limit_is_new, restarted=restarted, now_s=now_s
            )

    def _put(
        self, workspace: Workspace, *, limit_is_new: bool, restarted: bool, now_s: float
    ) -> None:
        share = self.bounds.shard_share(
            workspace,
            listed=self._map.listed_data_centres,
            kept=self._map.kept_data_centres,
        )
        rate_hz = workspace.rate_hz * share
        burst = max(1.0, workspace.burst * share) + self.bounds.extra_depth * share
        shard = self._shards.get(workspace.name)
        if shard is not None:
            shard.set_limit(rate_hz=rate_hz, burst=burst, now_s=now_s)
            return
        settle_s = 0.0 if limit_is_new or restarted else SETTLE_S
        tokens = burst if limit_is_new else RESTART_TOKENS if restarted else 0.0
        self._shards[workspace.name] = QuotaShard(
            rate_hz=rate_hz,
            burst=burst,
            granting_at_s=now_s + settle_s,
            tokens=tokens,
        )

    def ask(
        self,
        name: str,
        *,
        count: int,
        returned: int = 0,
        contact_age_s: float | None = None,
        now_s: float,
    ) -> ShardAnswer:
        """Take tokens of a workspace's shard.

        Parameters
        ----------
        name : str
            Name of the workspace.
        count, returned : int
            Tokens asked for, and tokens of earlier grants that were not used.
        contact_age_s : float, optional
            Time since this instance last heard from the store or another instance, if
            it asks itself.
        now_s : float
            Current time.
        """
        if self._workspaces is None:
            return ShardAnswer(state=ShardState.SETTLING, wait_s=SETTLE_S)
        if not self._map.owns(name):
            return ShardAnswer(state=ShardState.NOT_OWNER)
        if contact_age_s is not None and self._may_be_replaced(contact_age_s):
            return ShardAnswer(state=ShardState.OUT_OF_CONTACT)
        if not _has_limit(self._workspaces, name):
            # The asking instance has a newer configuration, or an older one. A limit
            # needs to hold only once all instances have it.
            return ShardAnswer(granted=count)
        shard = self._shards.get(name)
        if shard is None:
            return ShardAnswer(state=ShardState.SETTLING, wait_s=SETTLE_S)
        return shard.ask(count=count, returned=returned, now_s=now_s)

    def _may_be_replaced(self, contact_age_s: float) -> bool:
        """Return whether others may have another owner, as far as this one can tell.

        Those that ask it have it on their lists, so that this counts only for its own
        requests.
        """
        if self._map.instance_count == 1:
            return False
        return not self._listed or contact_age_s > MAX_CONTACT_AGE_S


def _has_limit(workspaces: Mapping[str, Workspace], name: str) -> bool:
    workspace = workspaces.get(name)
    return workspace is not None and workspace.rate_hz > 0.0
