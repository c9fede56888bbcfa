"""Query and headers with which an instance asks a relay for store changes.

Builds that have landed name no era and no age, and ignore both.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from borageramp_core.routing import StorePosition
from borageramp_entry._internal.serving.requests import Headers

__all__ = [
    "CHANGES_PATH",
    "RelayState",
    "decode_query",
    "decode_state",
    "encode_query",
    "encode_state",
]

CHANGES_PATH = "/changes"
ERA_HEADER = "borageramp-era"
WATCH_AGE_HEADER = "borageramp-watch-age-ms"
MAX_DIGITS = 18
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayState:
    """What a relay says of itself beside the changes.

    Attributes
    ----------
    era : int or None
        History of the store that it follows; ``None`` if it doesn't say.
    watch_age_s : float or None
        Time in seconds since its watch of the store was answered; ``None`` if it
        doesn't say.
    """

    era: int | None
    watch_age_s: float | None


def encode_query(after: StorePosition, *, wait_s: float) -> str:
    """Return the path and query that ask for the changes after a position."""
    return f"{CHANGES_PATH}?after={after.revision}&wait_s={wait_s}&era={after.era}"


def decode_query(
    args: Mapping[str, Sequence[str]], *, own_era: int
) -> tuple[StorePosition, float]:
    """Return the position and the time to wait of a query.

    An instance that names no era is taken to follow the one of this instance.

    Raises
    ------
    KeyError, ValueError
        If an argument is missing or malformed.
    """
    era = int(args["era"][0]) if "era" in args else own_era
    position = StorePosition(era=era, revision=int(args["after"][0]))
    return position, float(args["wait_s"][0])


def encode_state(state: RelayState) -> Headers:
    """Return the headers that say what a relay says of itself."""
    headers = []
    if state.era is not None:
        headers.append((ERA_HEADER, b"%d" % state.era))
    if state.watch_age_s is not None:
        age_ms = round(state.watch_age_s * MS_PER_S)
        headers.append((WATCH_AGE_HEADER, b"%d" % age_ms))
    return tuple(headers)


def decode_state(headers: Headers) -> RelayState:
    """Return what a relay says of itself; malformed numbers count as not said."""
    age_ms = _read_number(headers, WATCH_AGE_HEADER)
    return RelayState(
        era=_read_number(headers, ERA_HEADER),
        watch_age_s=None if age_ms is None else age_ms / MS_PER_S,
    )


def _read_number(headers: Headers, name: str) -> int | None:
    value = next((v for key, v in headers if key == name), b"")
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None
