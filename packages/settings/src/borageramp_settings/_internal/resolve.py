"""From the operators' tree to what holds for each service and upstream."""

import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from borageramp_core import (
    CallerWorkspace,
    ConfigurationSnapshot,
    DataCentre,
    Service,
    ServicePolicy,
    SettingsError,
    SettingsFault,
    Upstream,
)
from borageramp_core.routing import KeyTable
from borageramp_settings._internal.base import StrictModel, validate
from borageramp_settings._internal.tree import (
    ServiceOverrides,
    ServiceTree,
    Tree,
    UpstreamOverrides,
    UpstreamTree,
)

__all__ = ["Resolved", "Resolver", "resolve", "validate_tree"]

_LEVELS = frozenset({"global", "data_centres", "services", "workspaces"})
# Tables of keys are of no use outside this process.
_SECRET = secrets.token_bytes(32)


def validate_tree(raw: Any) -> Tree:
    """Check a whole configuration tree.

    Parameters
    ----------
    raw : object
        The tree as read from YAML or JSON.

    Returns
    -------
    Tree
        The checked tree.

    Raises
    ------
    SettingsError
        With every fault and its path.
    """
    tree = validate(Tree, {} if raw is None else raw)
    faults = tuple(_cross_faults(tree))
    if faults:
        raise SettingsError(faults=faults)
    return tree


def _cross_faults(tree: Tree) -> Iterator[SettingsFault]:
    for name, service in tree.services.items():
        yield from _service_faults(f"services.{name}", service, tree)
    holders: dict[str, str] = {}
    for name, workspace in tree.workspaces.items():
        others = {holders.setdefault(d, name) for d in workspace.key_digests} - {name}
        for other in sorted(others):
            yield SettingsFault(
                path=f"workspaces.{name}.key_digests",
                problem=f"a key is also one of {other}",
            )


def _service_faults(
    path: str, service: ServiceTree, tree: Tree
) -> Iterator[SettingsFault]:
    for data_centre in service.data_centres:
        if data_centre not in tree.data_centres:
            yield SettingsFault(
                path=f"{path}.data_centres.{data_centre}",
                problem="no such data centre",
            )
    addresses: dict[str, str] = {}
    for name, upstream in service.upstreams.items():
        where = f"{path}.upstreams.{name}"
        if upstream.data_centre not in tree.data_centres:
            yield SettingsFault(
                path=f"{where}.data_centre",
                problem=f"no such data centre: {upstream.data_centre}",
            )
        twin = addresses.setdefault(upstream.address, name)
        if twin != name:
            yield SettingsFault(
                path=f"{where}.address", problem=f"already the address of {twin}"
            )
    policy = _policy(tree, service)
    if policy.default_class not in policy.class_weights:
        yield SettingsFault(
            path=f"{path}.default_class", problem="not among class_weights"
        )


def _given(level: StrictModel, fields: type[StrictModel]) -> dict[str, Any]:
    return {
        name: value
        for name in fields.model_fields
        if (value := getattr(level, name, None)) is not None
    }


def _policy(tree: Tree, service: ServiceTree) -> ServicePolicy:
    merged = _given(tree.global_, ServiceOverrides) | _given(service, ServiceOverrides)
    return ServicePolicy(idempotent=service.idempotent, public=service.public, **merged)


def _upstream(
    name: str, upstream: UpstreamTree, service_name: str, tree: Tree
) -> Upstream:
    service = tree.services[service_name]
    levels: list[StrictModel] = [
        tree.global_,
        tree.data_centres[upstream.data_centre],
        service,
    ]
    within = service.data_centres.get(upstream.data_centre)
    if within is not None:
        levels.append(within)
    merged: dict[str, Any] = {}
    for level in levels:
        merged |= _given(level, UpstreamOverrides)
    host, _, port = upstream.address.rpartition(":")
    return Upstream(
        name=name,
        service=service_name,
        data_centre=upstream.data_centre,
        host=host.strip("[]"),
        port=int(port),
        state=upstream.state,
        **merged,
    )


def _service(name: str, tree: Tree) -> Service:
    service = tree.services[name]
    return Service(
        name=name,
        policy=_policy(tree, service),
        upstreams=tuple(
            _upstream(upstream_name, upstream, name, tree)
            for upstream_name, upstream in service.upstreams.items()
        ),
    )


def resolve(tree: Tree, *, revision: int) -> ConfigurationSnapshot:
    """Work out what holds for each service and upstream.

    Parameters
    ----------
    tree : Tree
        A checked tree.
    revision : int
        Revision of the store that it was written at.

    Returns
    -------
    ConfigurationSnapshot
        The resolved configuration.
    """
    services = {name: _service(name, tree) for name in tree.services}
    return _snapshot(tree, services, revision=revision)


def _snapshot(
    tree: Tree,
    services: dict[str, Service],
    *,
    revision: int,
    keys: KeyTable | None = None,
) -> ConfigurationSnapshot:
    return ConfigurationSnapshot(
        revision=revision,
        data_centres={
            name: DataCentre(name=name, state=level.state)
            for name, level in tree.data_centres.items()
        },
        services=services,
        probe_rate_hz=tree.global_.probe_rate_hz,
        workspaces={
            name: CallerWorkspace(name=name, class_name=workspace.class_name)
            for name, workspace in tree.workspaces.items()
        },
        keys=_key_table(tree) if keys is None else keys,
    )


def _key_table(tree: Tree) -> KeyTable | None:
    """Return the table of keys; ``None`` if there are no workspaces."""
    if not tree.workspaces:
        return None
    digests = {
        name: [digest.encode() for digest in workspace.key_digests]
        for name, workspace in tree.workspaces.items()
    }
    return KeyTable(keys_by_workspace=digests, secret=_SECRET)


@dataclass(frozen=True, kw_only=True, slots=True)
class Resolved:
    """A checked tree and what holds by it.

    Attributes
    ----------
    tree : Tree
        The checked tree.
    snapshot : ConfigurationSnapshot
        The resolved configuration.
    """

    tree: Tree
    snapshot: ConfigurationSnapshot


class Resolver:
    """Checks and resolves one revision after another.

    A service whose raw settings and outer levels are those of the revision
    before is taken over as it is, so that a change costs what it touches.
    """

    def __init__(self) -> None:
        self._raw: dict[str, Any] = {}
        self._before: Resolved | None = None

    def resolve(self, raw: dict[str, Any], *, revision: int) -> Resolved:
        """Check and resolve a raw tree.

        Parameters
        ----------
        raw : dict
            The raw tree.
        revision : int
            Its revision.

        Raises
        ------
        SettingsError
            With every fault and its path.
        """
        before = self._before
        if before is None or not self._same_levels(raw):
            tree = validate_tree(raw)
            resolved = Resolved(tree=tree, snapshot=resolve(tree, revision=revision))
        else:
            resolved = self._resolve_changed(raw, before, revision=revision)
        self._raw = raw
        self._before = resolved
        return resolved

    def _same_levels(self, raw: dict[str, Any]) -> bool:
        if set(raw) - _LEVELS:
            return False
        if (raw.get("workspaces") or {}) != (self._raw.get("workspaces") or {}):
            return False
        return (raw.get("global") or {}) == (self._raw.get("global") or {}) and (
            _without_states(raw) == _without_states(self._raw)
        )

    def _resolve_changed(
        self, raw: dict[str, Any], before: Resolved, *, revision: int
    ) -> Resolved:
        services = raw.get("services") or {}
        old = self._raw.get("services") or {}
        changed = {n: s for n, s in services.items() if n not in old or old[n] != s}
        # Only what changed is checked; the outer levels are checked with it.
        part = validate_tree({**raw, "services": changed})
        tree = part.model_copy(
            update={
                "services": {
                    n: part.services[n] if n in changed else before.tree.services[n]
                    for n in services
                }
            }
        )
        resolved = {
            n: _service(n, tree) if n in changed else before.snapshot.services[n]
            for n in services
        }
        snapshot = _snapshot(
            tree, resolved, revision=revision, keys=before.snapshot.keys
        )
        return Resolved(tree=tree, snapshot=snapshot)


def _without_states(raw: dict[str, Any]) -> dict[str, Any]:
    centres = raw.get("data_centres") or {}
    return {
        name: {k: v for k, v in (level or {}).items() if k != "state"}
        for name, level in centres.items()
    }
