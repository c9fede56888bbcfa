"""Counts of token requests by workspace, for the metrics."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from borageramp_core.routing import QuotaOutcome

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics

__all__ = ["QuotaCounts", "TokenCounts", "add_quota_metrics"]

# Workspaces with a label of their own; further ones share one.
MAX_LABELS = 200
OTHER = "other"


@dataclass(kw_only=True, slots=True)
class TokenCounts:
    """Tokens of one workspace at this instance.

    Attributes
    ----------
    asked, granted, refused : int
        Tokens needed, granted by shards, and not granted.
    self_granted : int
        Tokens that the instance granted itself as it reached no shard.
    reused : int
        Tokens of requests that were refused unrun, used again.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    self_granted: int = 0
    reused: int = 0


class QuotaCounts:
    """Counts by workspace."""

    def __init__(self) -> None:
        self.by_label: dict[str, TokenCounts] = {}

    def on_outcome(self, workspace: str, asked: int, outcome: QuotaOutcome) -> None:
        """Count the tokens of a token request."""
        counts = self._counts(workspace)
        counts.asked += asked
        counts.granted += outcome.granted - outcome.self_granted
        counts.self_granted += outcome.self_granted
        counts.refused += asked - outcome.granted

    def on_reused(self, workspace: str) -> None:
        """Count a token that was used again."""
        self._counts(workspace).reused += 1

    def _counts(self, workspace: str) -> TokenCounts:
        counts = self.by_label.get(workspace)
        if counts is None:
            label = workspace if len(self.by_label) < MAX_LABELS else OTHER
            counts = self.by_label.setdefault(label, TokenCounts())
        return counts


def add_quota_metrics(
    metrics: "Metrics", counts: QuotaCounts, share_used: Callable[[str], float]
) -> None:
    """Add the metrics of quotas; they are read when scraped."""

    def read_tokens() -> Iterable[tuple[Mapping[str, str], float]]:
        for label, of_workspace in list(counts.by_label.items()):
            for kind, count in asdict(of_workspace).items():
                yield {"workspace": label, "kind": kind}, count

    def read_shares() -> Iterable[tuple[Mapping[str, str], float]]:
        for label in list(counts.by_label):
            if label != OTHER:
                yield {"workspace": label}, share_used(label)

    metrics.gauges(
        "borageramp_quota_tokens",
        "Tokens of quotas, asked for and what became of them.",
        read_tokens,
    )
    metrics.gauges(
        "borageramp_quota_share_used",
        "Share of a workspace's quota in use, as a shard said last.",
        read_shares,
    )
