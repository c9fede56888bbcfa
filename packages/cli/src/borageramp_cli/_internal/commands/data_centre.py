"""``borageramp data-centre``: take one out of service, and back in."""

from borageramp_cli._internal.changing import send_change
from borageramp_cli._internal.client import OutputFormat

__all__ = ["in_", "out"]


def out(
    name: str,
    *,
    operation_id: str = "",
    entry: str = "",
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Stop new work to a data centre; requests in flight finish.

    Parameters
    ----------
    name
        Name of the data centre.
    operation_id
        Identifier of an earlier try, to settle it.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    return _set_state(name, "out", entry, operation_id, format)


def in_(
    name: str,
    *,
    operation_id: str = "",
    entry: str = "",
    format: OutputFormat = OutputFormat.text,
) -> int:
    """Bring a data centre back; its upstreams start cold.

    Parameters
    ----------
    name
        Name of the data centre.
    operation_id
        Identifier of an earlier try, to settle it.
    entry
        Operator addresses, separated by commas.
    format
        How to print the result.
    """
    return _set_state(name, "in", entry, operation_id, format)


def _set_state(
    name: str, state: str, entry: str, operation_id: str, format: OutputFormat
) -> int:
    where = ("data_centres", name)
    return send_change(
        entry=entry,
        operation_id=operation_id,
        format=format,
        assignments=[{"path": (*where, "state"), "value": state}],
        must_exist=[where],
    )
