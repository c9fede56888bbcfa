"""Routing logic of an entry: matching, queueing and placement, without I/O."""

from borageramp_core._internal.routing.admission_queue import AdmissionQueue, WaitPolicy
from borageramp_core._internal.routing.config_checks import config_faults
from borageramp_core._internal.routing.config_diff import (
    ChangeKind,
    ConfigChange,
    diff_configs,
)
from borageramp_core._internal.routing.config_review import (
    ConfigWarning,
    review_config,
    review_version,
)
from borageramp_core._internal.routing.deadline_profile import DeadlineProfile
from borageramp_core._internal.routing.directory_sample import sample_instances
from borageramp_core._internal.routing.fair_share import fair_share_class
from borageramp_core._internal.routing.fleet_state import FleetState
from borageramp_core._internal.routing.hedging import HedgePolicy
from borageramp_core._internal.routing.machine_budgets import (
    MachineBudgets,
    compute_capacity,
)
from borageramp_core._internal.routing.model import (
    CallerLimits,
    CrashSuspect,
    EvacuatedDataCentre,
    Instance,
    MalformedItem,
    Registration,
    Route,
    RoutedService,
    RoutingConfig,
    ServiceShare,
    StateItem,
    Workspace,
)
from borageramp_core._internal.routing.peer_selection import (
    KnownReach,
    PeerCandidate,
    PeerReport,
    PeerSelector,
    Standing,
)
from borageramp_core._internal.routing.placement import (
    PlacementChoice,
    PlacementRequirements,
)
from borageramp_core._internal.routing.pool import ServicePool
from borageramp_core._internal.routing.quota.admission import (
    QuotaAdmission,
    QuotaOutcome,
    QuotaRound,
)
from borageramp_core._internal.routing.quota.bounds import QuotaBounds
from borageramp_core._internal.routing.quota.owner import QuotaOwner
from borageramp_core._internal.routing.quota.shard import (
    QuotaShard,
    ShardAnswer,
    ShardState,
)
from borageramp_core._internal.routing.quota.shard_map import ShardMap
from borageramp_core._internal.routing.rate_allowance import RateAllowance, RateBounds
from borageramp_core._internal.routing.rate_limit import (
    RATE_LIMIT_BOUNDS,
    AnswerKind,
    RateLimitState,
)
from borageramp_core._internal.routing.reachability import Reach, ServiceReachability
from borageramp_core._internal.routing.relay_plan import RelayPlan
from borageramp_core._internal.routing.retry_after import (
    retry_after_s,
    spread_retry_after_s,
)
from borageramp_core._internal.routing.rollouts.canary import select_canaries
from borageramp_core._internal.routing.rollouts.counts import (
    ResponseCounts,
    VersionCounts,
)
from borageramp_core._internal.routing.rollouts.decision import (
    RolloutDecision,
    VersionCapacity,
)
from borageramp_core._internal.routing.rollouts.election import (
    choose_decider,
    decider_order,
    silence_limit_s,
)
from borageramp_core._internal.routing.rollouts.evidence import (
    EvidenceReport,
    EvidenceVerdict,
    RouteEvidence,
)
from borageramp_core._internal.routing.rollouts.model import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    RolloutState,
    first_record,
    merge_records,
)
from borageramp_core._internal.routing.rollouts.plan import (
    ExposureBounds,
    PhaseShares,
    RolloutTiming,
    plan_shares,
)
from borageramp_core._internal.routing.route_table import RouteTable, choose_service
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.source_selector import (
    Pause,
    RelaySource,
    SourceSelector,
    StoreSource,
)
from borageramp_core._internal.routing.stop_schedule import StopSchedule
from borageramp_core._internal.routing.store_position import StorePosition
from borageramp_core._internal.routing.upstream_view import LoadSnapshot, UpstreamView
from borageramp_core._internal.routing.work_estimate import WorkEstimate
from borageramp_core._internal.routing.workspaces import KeyTable

__all__ = [
    "RATE_LIMIT_BOUNDS",
    "AdmissionQueue",
    "AnswerKind",
    "CallerLimits",
    "ChangeKind",
    "ConfigChange",
    "ConfigWarning",
    "CrashSuspect",
    "DeadlineProfile",
    "EvacuatedDataCentre",
    "EvidenceReport",
    "EvidenceVerdict",
    "ExposureBounds",
    "FleetState",
    "HedgePolicy",
    "Instance",
    "KeyTable",
    "KnownReach",
    "MachineBudgets",
    "LoadSnapshot",
    "MalformedItem",
    "Pause",
    "PeerCandidate",
    "PeerReport",
    "PeerSelector",
    "PhaseShares",
    "PlacementChoice",
    "PlacementRequirements",
    "QuotaAdmission",
    "QuotaBounds",
    "QuotaOutcome",
    "QuotaOwner",
    "QuotaRound",
    "QuotaShard",
    "RateAllowance",
    "RateBounds",
    "RateLimitState",
    "Reach",
    "Registration",
    "RelayPlan",
    "RelaySource",
    "ResponseCounts",
    "RolloutDecision",
    "RolloutOrder",
    "RolloutPhase",
    "RolloutRecord",
    "RolloutState",
    "RolloutTiming",
    "Route",
    "RouteEvidence",
    "RouteTable",
    "RoutedService",
    "RoutingConfig",
    "ServicePool",
    "ServiceReachability",
    "ServiceShare",
    "ShardAnswer",
    "ShardMap",
    "ShardState",
    "SlowdownProfile",
    "SourceSelector",
    "Standing",
    "StateItem",
    "StopSchedule",
    "StorePosition",
    "StoreSource",
    "UpstreamView",
    "VersionCapacity",
    "VersionCounts",
    "WaitPolicy",
    "WorkEstimate",
    "Workspace",
    "choose_decider",
    "choose_service",
    "compute_capacity",
    "config_faults",
    "decider_order",
    "diff_configs",
    "fair_share_class",
    "first_record",
    "merge_records",
    "plan_shares",
    "retry_after_s",
    "review_config",
    "review_version",
    "spread_retry_after_s",
    "select_canaries",
    "silence_limit_s",
    "sample_instances",
]
