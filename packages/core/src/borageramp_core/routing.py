"""Routing and load balancing decisions, without input or output."""

from borageramp_core._internal.routing.cold_allowance import ColdAllowance, ColdBounds
from borageramp_core._internal.routing.deadlines import DeadlineProfile
from borageramp_core._internal.routing.faults import config_faults
from borageramp_core._internal.routing.model import (
    CallerLimits,
    CrashSuspect,
    DataCentreOut,
    Fact,
    Instance,
    Registration,
    Route,
    RoutedService,
    RoutingConfig,
    ServiceShare,
    Unreadable,
)
from borageramp_core._internal.routing.placement import (
    PlacementChoice,
    PlacementRequirements,
)
from borageramp_core._internal.routing.pool import ServicePool
from borageramp_core._internal.routing.relays import RelayPlan
from borageramp_core._internal.routing.retry_after import retry_after_s
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.table import RouteTable, choose_service
from borageramp_core._internal.routing.upstream_view import LoadSnapshot, UpstreamView
from borageramp_core._internal.routing.waiting import Patience, WaitingLine
from borageramp_core._internal.routing.work import WorkEstimate
from borageramp_core._internal.routing.world import World

__all__ = [
    "CallerLimits",
    "ColdAllowance",
    "ColdBounds",
    "CrashSuspect",
    "DataCentreOut",
    "DeadlineProfile",
    "Fact",
    "Instance",
    "LoadSnapshot",
    "Patience",
    "PlacementChoice",
    "PlacementRequirements",
    "Registration",
    "RelayPlan",
    "Route",
    "RouteTable",
    "RoutedService",
    "RoutingConfig",
    "ServicePool",
    "ServiceShare",
    "SlowdownProfile",
    "Unreadable",
    "UpstreamView",
    "WaitingLine",
    "WorkEstimate",
    "World",
    "choose_service",
    "config_faults",
    "retry_after_s",
]
