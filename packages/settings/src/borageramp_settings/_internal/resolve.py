"""From the operators' tree to what holds for each service and upstream."""

from collections.abc import Iterator
from typing import Any

from borageramp_core import (
    DataCentre,
    Service,
    ServicePolicy,
    SettingsError,
    SettingsFault,
    Snapshot,
    Upstream,
)
from borageramp_settings._internal.base import StrictModel, validate
from borageramp_settings._internal.tree import (
    ServiceOverrides,
    ServiceTree,
    Tree,
    UpstreamOverrides,
    UpstreamTree,
)

__all__ = ["resolve", "validate_tree"]


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
    return ServicePolicy(idempotent=service.idempotent, **merged)


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


def resolve(tree: Tree, *, revision: int) -> Snapshot:
    """Work out what holds for each service and upstream.

    Parameters
    ----------
    tree : Tree
        A checked tree.
    revision : int
        Revision of the store that it was written at.

    Returns
    -------
    Snapshot
        The resolved configuration.
    """
    services = {
        name: Service(
            name=name,
            policy=_policy(tree, service),
            upstreams=tuple(
                _upstream(upstream_name, upstream, name, tree)
                for upstream_name, upstream in service.upstreams.items()
            ),
        )
        for name, service in tree.services.items()
    }
    return Snapshot(
        revision=revision,
        data_centres={
            name: DataCentre(name=name, state=level.state)
            for name, level in tree.data_centres.items()
        },
        services=services,
        probe_rate_hz=tree.global_.probe_rate_hz,
    )
