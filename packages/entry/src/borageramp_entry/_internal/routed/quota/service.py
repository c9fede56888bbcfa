"""Quotas of workspaces at one instance."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import (
    FleetState,
    Instance,
    QuotaAdmission,
    QuotaBounds,
    QuotaOutcome,
    QuotaOwner,
    ShardAnswer,
    ShardMap,
    Workspace,
    spread_retry_after_s,
)
from borageramp_entry._internal.border.server import HttpRequest
from borageramp_entry._internal.logs import to_ms
from borageramp_entry._internal.routed.forwarding_messages import (
    MalformedMessageError,
)
from borageramp_entry._internal.routed.instance_directory import InstanceDirectory
from borageramp_entry._internal.routed.quota.client import ShardClient
from borageramp_entry._internal.routed.quota.counts import (
    QuotaCounts,
    add_quota_metrics,
)
from borageramp_entry._internal.routed.quota.messages import (
    TokenRequest,
    decode_request,
    encode_answer,
)
from borageramp_entry._internal.routed.quota.shared_requests import (
    SharedTokenRequests,
)
from borageramp_entry._internal.routed.request import RoutedRequest
from borageramp_settings import FleetBounds

if TYPE_CHECKING:
    from borageramp_entry._internal.metrics import Metrics

__all__ = ["QuotaService"]

BODY_TIMEOUT_S = 2.0
# A workspace that uses this share of its quota is taken to be over it.
EXHAUSTED_SHARE = 0.9
JSON_HEADERS = (("content-type", b"application/json"),)


class QuotaService:
    """Admits requests by the quota of their workspace, and serves tokens to others.

    Also the HTTP handler for the token requests of other instances.

    Parameters
    ----------
    own : Instance
        This instance.
    bounds : FleetBounds
        Bounds over all entries.
    fleet_state : FleetState
        Configuration and instances as last read from the store.
    directory : InstanceDirectory
        The other instances.
    store_contact_age_s : callable
        Returns the time in seconds since the store or a relay told this instance
        anything.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds. It is monotonic and may stop while the
        machine is suspended.
    is_late : callable, optional
        Returns whether the answer to a request will be late in any case.

    Attributes
    ----------
    counts : QuotaCounts
        Counts of tokens by workspace.
    """

    def __init__(
        self,
        *,
        own: Instance,
        bounds: FleetBounds,
        fleet_state: FleetState,
        directory: InstanceDirectory,
        store_contact_age_s: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float],
        is_late: Callable[[RoutedRequest], bool] = lambda request: False,
    ) -> None:
        self._own = own
        self._is_late = is_late
        self._fleet_state = fleet_state
        self._directory = directory
        self._store_contact_age_s = store_contact_age_s
        self._rng = rng
        self._clock = clock
        self._last_contact_at_s = float("-inf")
        self._shards = ShardMap(own=own)
        self._owner = QuotaOwner(shards=self._shards, bounds=_core_bounds(bounds))
        self._admission = QuotaAdmission(
            shards=self._shards,
            bounds=_core_bounds(bounds),
            rng=rng,
            now_s=clock(),
        )
        self._client = ShardClient()
        self.counts = QuotaCounts()
        self._requests = SharedTokenRequests(
            admission=self._admission,
            ask=self._ask,
            on_outcome=self.counts.on_outcome,
            clock=clock,
        )

    def apply(self, bounds: FleetBounds) -> None:
        """Apply the bounds, the configuration and the list of instances."""
        now_s = self._clock()
        self._owner.bounds = self._admission.bounds = _core_bounds(bounds)
        config = self._fleet_state.config
        workspaces = None if config is None else config.workspaces
        if workspaces is None or any(w.rate_hz > 0.0 for w in workspaces.values()):
            self._shards.update(self._directory.others(), now_s=now_s)
        incarnations = self._listed_incarnations()
        self._owner.update(
            workspaces,
            listed=bool(incarnations),
            restarted=bool(incarnations) and self._own.incarnation not in incarnations,
            now_s=now_s,
        )
        self._admission.update(workspaces or ())

    def _listed_incarnations(self) -> set[str]:
        instances = self._fleet_state.instances()
        return {i.incarnation for i in instances if i.name == self._own.name}

    async def admit(self, request: RoutedRequest) -> None:
        """Count a request against the quota of its workspace.

        Raises
        ------
        RefusedError
            If the workspace is over its quota.
        """
        workspace = request.workspace
        if workspace is None or not _is_counted(request):
            return
        if self._admission.take_kept(workspace.name, now_s=self._clock()):
            self.counts.on_reused(workspace.name)
            return
        if self._yields(request, workspace):
            outcome = self._admission.without_asking(workspace, now_s=self._clock())
        else:
            outcome = await self._requests.take(workspace)
        if not outcome.granted:
            raise self._refusal(request, workspace, outcome)

    def _yields(self, request: RoutedRequest, workspace: Workspace) -> bool:
        """Return whether a request leaves its token to others of its workspace.

        Callers that come back after a refusal would else use up the tokens of those
        whose answers can still be in time, which then come back late as well.
        """
        is_exhausted = self.share_used(workspace.name) >= EXHAUSTED_SHARE
        return is_exhausted and self._is_late(request)

    def on_refused(self, request: RoutedRequest, error: RefusedError) -> None:
        """Keep the token of an admitted request that was refused without having run.

        One that upstreams shed has arrived there, which is what quotas limit, whatever
        it was refused for in the end.
        """
        if error.verdict is not Verdict.NOT_RUN or not _is_counted(request):
            return
        if not error.may_have_arrived and request.workspace is not None:
            self._admission.keep_token(request.workspace.name, now_s=self._clock())

    def share_used(self, workspace: str) -> float:
        """Return the share of its quota that a workspace uses over the fleet."""
        return self._admission.share_used(workspace, now_s=self._clock())

    def _refusal(
        self, request: RoutedRequest, workspace: Workspace, outcome: QuotaOutcome
    ) -> RefusedError:
        config = self._fleet_state.config
        return RefusedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.QUOTA_EXCEEDED,
            detail=f"workspace {workspace.name} is over its quota",
            retry_after_s=spread_retry_after_s(
                wait_s=outcome.wait_s,
                left_s=request.caller.deadline_s - self._clock(),
                rng=self._rng,
            ),
            log_fields=dict(
                workspace=workspace.name,
                config_version=None if config is None else config.version,
                quota_hz=workspace.rate_hz,
                quota_owners=outcome.owners,
                quota_left=round(outcome.left, 2),
                quota_wait_ms=to_ms(outcome.wait_s),
                quota_share_used=round(self.share_used(workspace.name), 2),
            ),
        )

    async def _ask(self, owner: Instance, request: TokenRequest) -> ShardAnswer | None:
        if owner.name == self._own.name:
            peer_contact_age_s = self._clock() - self._last_contact_at_s
            return self._answer(
                request,
                contact_age_s=min(peer_contact_age_s, self._store_contact_age_s()),
            )
        answer = await self._client.ask(owner, request)
        if answer is not None:
            self._last_contact_at_s = self._clock()
        return answer

    def _answer(
        self, request: TokenRequest, *, contact_age_s: float | None
    ) -> ShardAnswer:
        return self._owner.ask(
            request.workspace,
            count=request.count,
            returned=request.returned,
            contact_age_s=contact_age_s,
            now_s=self._clock(),
        )

    async def serve(self, request: HttpRequest) -> None:
        """Answer a token request of another instance."""
        self._last_contact_at_s = self._clock()
        try:
            asked = decode_request(request.target)
        except MalformedMessageError:
            request.answer(400, JSON_HEADERS, b"{}")
            return
        answer = self._answer(asked, contact_age_s=None)
        request.answer(200, JSON_HEADERS, encode_answer(answer))

    def body_timeout_s(self, request: HttpRequest) -> float:
        """Return the timeout for receiving the body of a request."""
        return BODY_TIMEOUT_S

    def may_overlap(self, request: HttpRequest) -> bool:
        """Return ``False``: instances send one request at a time on a connection."""
        return False

    def add_metrics(self, metrics: "Metrics") -> None:
        """Add the metrics of quotas; they are read when scraped."""
        add_quota_metrics(metrics, self.counts, self.share_used)

    def close(self) -> None:
        """End all token requests and close the idle connections."""
        self._requests.close()
        self._client.close()


def _is_counted(request: RoutedRequest) -> bool:
    workspace = request.workspace
    return not request.forwarded and workspace is not None and workspace.rate_hz > 0.0


def _core_bounds(bounds: FleetBounds) -> QuotaBounds:
    return QuotaBounds(
        window_s=bounds.quota_window_s,
        overage=bounds.quota_overage,
        slack=bounds.quota_slack,
    )
