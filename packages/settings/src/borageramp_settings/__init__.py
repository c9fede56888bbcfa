"""Validated settings models of borageramp."""

from borageramp_settings._internal.base import StrictModel, parse_yaml, validate
from borageramp_settings._internal.changes import (
    Assignment,
    ChangeRequest,
    apply_assignments,
    diff_trees,
)
from borageramp_settings._internal.process import EntrySettings, load_entry_settings
from borageramp_settings._internal.resolve import (
    Resolved,
    Resolver,
    resolve,
    validate_tree,
)
from borageramp_settings._internal.routed import FleetBounds, RoutedSettings
from borageramp_settings._internal.tree import (
    DataCentreTree,
    GlobalTree,
    ServiceDataCentreTree,
    ServiceTree,
    Tree,
    UpstreamTree,
)

__all__ = [
    "Assignment",
    "ChangeRequest",
    "DataCentreTree",
    "EntrySettings",
    "FleetBounds",
    "GlobalTree",
    "Resolved",
    "Resolver",
    "RoutedSettings",
    "ServiceDataCentreTree",
    "ServiceTree",
    "StrictModel",
    "Tree",
    "UpstreamTree",
    "apply_assignments",
    "diff_trees",
    "load_entry_settings",
    "parse_yaml",
    "resolve",
    "validate",
    "validate_tree",
]
