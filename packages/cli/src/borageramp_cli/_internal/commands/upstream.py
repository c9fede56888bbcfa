"""``borageramp upstream``: drain an upstream, and take it back."""

from borageramp_cli._internal.changing import send_change
from borageramp_cli._internal.client import OutputFormat

__all__ = ["drain", "undrain"]


def drain(
    service: str,
    name: str,
    *,
    operation_id: str = "",
    entry: str = "",
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Stop new work to an upstream; requests in flight finish.

    Parameters
    ----------
    service
        Name of the service.
    name
        Name of the upstream.
    operation_id
        Identifier of an earlier try, to settle it.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    return _set_state(service, name, "out", entry, operation_id, format)


def undrain(
    service: str,
    name: str,
    *,
    operation_id: str = "",
    entry: str = "",
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Let an upstream take work again; it starts cold.

    Parameters
    ----------
    service
        Name of the service.
    name
        Name of the upstream.
    operation_id
        Identifier of an earlier try, to settle it.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    return _set_state(service, name, "in", entry, operation_id, format)


def _set_state(
    service: str,
    name: str,
    state: str,
    entry: str,
    operation_id: str,
    format: OutputFormat,
) -> int:
    where = ("services", service, "upstreams", name)
    return send_change(
        entry=entry,
        operation_id=operation_id,
        format=format,
        assignments=[{"path": (*where, "state"), "value": state}],
        must_exist=[where],
    )
