"""The load report of an upstream, as it stands in a header or a probe."""

from borageramp_core import LoadReport

__all__ = ["parse_report"]

MAX_REPORT_CHARS = 256


def parse_report(text: str) -> LoadReport | None:
    """Read a load report such as ``in_flight=3; slots=6; start_id=a1``.

    Parameters
    ----------
    text : str
        Value of the ``Upstream-Load`` header.

    Returns
    -------
    LoadReport or None
        The report; ``None`` if it makes no sense.
    """
    fields: dict[str, str] = {}
    for part in text[:MAX_REPORT_CHARS].split(";"):
        name, _, value = part.partition("=")
        fields[name.strip()] = value.strip()
    try:
        in_flight = int(fields["in_flight"])
        slots = int(fields.get("slots", "0"))
    except (KeyError, ValueError):
        return None
    if in_flight < 0 or slots < 0:
        return None
    return LoadReport(
        in_flight=in_flight,
        slots=slots,
        start_id=fields.get("start_id", ""),
        leaving=fields.get("leaving", "0") == "1",
    )
