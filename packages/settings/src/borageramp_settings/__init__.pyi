from ._internal.base import StrictModel, validate
from ._internal.changes import (
    Assignment,
    ChangeRequest,
    apply_assignments,
    diff_trees,
)
from ._internal.process import EntrySettings, load_entry_settings
from ._internal.resolve import (
    Resolved,
    Resolver,
    resolve,
    validate_tree,
)
from ._internal.routed import FleetBounds, HedgingSettings, RoutedSettings
from ._internal.structs import StrictStruct, convert, decode_json
from ._internal.tree import (
    DataCentreTree,
    GlobalTree,
    ServiceDataCentreTree,
    ServiceTree,
    Tree,
    UpstreamTree,
    WorkspaceTree,
)
from ._internal.yaml_text import parse_yaml

__all__ = [
    "Assignment",
    "ChangeRequest",
    "DataCentreTree",
    "EntrySettings",
    "FleetBounds",
    "GlobalTree",
    "HedgingSettings",
    "Resolved",
    "Resolver",
    "RoutedSettings",
    "ServiceDataCentreTree",
    "ServiceTree",
    "StrictModel",
    "StrictStruct",
    "Tree",
    "UpstreamTree",
    "WorkspaceTree",
    "apply_assignments",
    "convert",
    "decode_json",
    "diff_trees",
    "load_entry_settings",
    "parse_yaml",
    "resolve",
    "validate",
    "validate_tree",
]
