"""Bounds of the quotas, and how what may be admitted beyond a quota is divided."""

from dataclasses import dataclass

from borageramp_core._internal.routing.model import Workspace

__all__ = ["QuotaBounds"]

# With one failure at a time, either this or the part of a data centre that is cut off
# comes on top of the deeper buckets. The rest covers four shards of a token each where
# there is no burst, tokens that are kept, and lists that differ.
SELF_GRANT_SHARE = 0.3
# A bucket of one token loses a third of its tokens to gaps between questions.
EXTRA_DEPTH_SHARE = 0.5
# Share that a data centre which left the list may use, as it may only be cut off.
CUT_OFF_SHARE = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaBounds:
    """Bounds of the quotas over all instances.

    Attributes
    ----------
    window_s : float
        Length of the windows in which a quota holds, in seconds.
    overage : float
        Requests beyond the quota in a window, as a share of it.
    slack : float
        Requests in a window beyond that.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def quota(self, workspace: Workspace) -> float:
        """Return the requests of a workspace that its quota allows in a window."""
        return workspace.rate_hz * self.window_s + workspace.burst

    def max_requests(self, workspace: Workspace) -> float:
        """Return the requests in a window that no workspace may exceed."""
        return self.quota(workspace) + self.allowance(workspace)

    def allowance(self, workspace: Workspace) -> float:
        """Return the requests in a window that may be admitted beyond the quota."""
        return self.overage * self.quota(workspace) + self.slack

    def self_grants(self, workspace: Workspace) -> float:
        """Return the tokens in a window that all instances may grant themselves."""
        return SELF_GRANT_SHARE * self.allowance(workspace)

    @property
    def extra_depth(self) -> float:
        """Tokens that all shards together may save up beyond the burst."""
        return EXTRA_DEPTH_SHARE * self.slack

    def shard_share(self, workspace: Workspace, *, listed: int, kept: int) -> float:
        """Return the share of the quota that each listed data centre's shard has.

        Parameters
        ----------
        workspace : Workspace
            The workspace.
        listed : int
            Data centres with listed instances.
        kept : int
            These, and those that left the list lately. Their instances may be cut off
            and grant their part, so that the others divide it among themselves only
            as far as the allowance covers both.
        """
        quota = self.quota(workspace)
        covered = CUT_OFF_SHARE * self.allowance(workspace) / quota if quota else 1.0
        return min(1.0, listed / kept + covered) / listed
