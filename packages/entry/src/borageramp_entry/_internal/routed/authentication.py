"""Workspaces of callers, identified by the keys that requests carry."""

from dataclasses import dataclass, replace

from borageramp_core import Reason, RefusedError, Verdict
from borageramp_core.routing import FleetState, Route, RoutingConfig, Workspace
from borageramp_entry._internal.routed.interfaces import WorkspaceDialect
from borageramp_entry._internal.serving.requests import Headers

__all__ = ["Authenticator", "Identity"]

# Longer keys are not in any configuration.
MAX_KEY_BYTES = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """What the key of a request decides.

    Attributes
    ----------
    workspace : Workspace or None
        Workspace of the caller; ``None`` if it has none.
    route : Route
        Route of the request, with the priority of the workspace.
    headers : tuple of (str, bytes)
        Headers for the upstream, without the key and with the workspace's name.
    """

    workspace: Workspace | None
    route: Route
    headers: Headers


class Authenticator:
    """Identifies the workspaces of callers.

    The configuration in force at the time of a request decides, also on connections
    that were opened before it.

    Parameters
    ----------
    fleet_state : FleetState
        Has the configuration with the keys.
    dialect : WorkspaceDialect
        Reads and writes the headers.
    """

    def __init__(self, *, fleet_state: FleetState, dialect: WorkspaceDialect) -> None:
        self._fleet_state = fleet_state
        self._dialect = dialect

    @property
    def is_required(self) -> bool:
        """Whether the configuration in force has entries of workspaces."""
        config = self._fleet_state.config
        return config is not None and config.keys is not None

    def identify(self, route: Route, received: Headers, forwarded: Headers) -> Identity:
        """Return what the key of a request decides.

        Parameters
        ----------
        route : Route
            Route that the request matched.
        received : tuple of (str, bytes)
            Headers as the caller sent them.
        forwarded : tuple of (str, bytes)
            Those of them that are meant for the upstream.

        Raises
        ------
        RefusedError
            If the route needs a key, and the request has not exactly one that is
            known.
        """
        config = self._fleet_state.config
        if config is None or config.keys is None:
            return Identity(workspace=None, route=route, headers=forwarded)
        keys = self._dialect.read_keys(received)
        workspace, fault = _find(config, keys)
        if fault and not route.public:
            raise RefusedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UNAUTHENTICATED,
                detail=f"the key of the workspace is {fault}",
                log_fields=dict(cause=fault, config_version=config.version),
            )
        if workspace is not None and workspace.rank is not None:
            route = replace(route, rank=workspace.rank)
        name = "" if workspace is None else workspace.name
        headers = self._dialect.set_workspace(self._dialect.drop_keys(forwarded), name)
        return Identity(workspace=workspace, route=route, headers=headers)

    def clean_forwarded(self, headers: Headers) -> Headers:
        """Return the headers of a request that another instance forwards.

        The one that took it has identified its workspace, unless it is of an earlier
        build or has not read the configuration yet: then the key is still there.
        """
        config = self._fleet_state.config
        if config is None or config.keys is None:
            return headers
        without_keys = self._dialect.drop_keys(headers)
        if len(without_keys) == len(headers):
            return headers
        workspace, _ = _find(config, self._dialect.read_keys(headers))
        name = "" if workspace is None else workspace.name
        return self._dialect.set_workspace(without_keys, name)


def _find(
    config: RoutingConfig, keys: tuple[bytes, ...]
) -> tuple[Workspace | None, str]:
    """Return the workspace of a request, or why there is none."""
    assert config.keys is not None
    if len(keys) > 1:
        return None, "repeated"
    if not keys or not keys[0]:
        return None, "missing"
    name = config.keys.find(keys[0]) if len(keys[0]) <= MAX_KEY_BYTES else None
    if name is None:
        return None, "unknown"
    return config.workspaces[name], ""
