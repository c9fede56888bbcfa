"""Which upstreams of a new version get its share of the requests."""

from collections.abc import Iterable

from borageramp_core._internal.ownership import rendezvous_order
from borageramp_core._internal.routing.model import Registration

__all__ = ["select_canaries"]

# With one alone, a noisy neighbour slows every response of the new version.
MIN_CANARIES = 2
MS_PER_S = 1000


def select_canaries(
    new: Iterable[Registration], *, old_slots: int, load_share: float, service: str
) -> frozenset[str]:
    """Return the upstreams of the new version that get requests.

    They are so few that each has as many requests as one of the old version, so that
    a fault that appears only under load is seen while the share is small. Those that
    started first are chosen, as they are warm first, and those of one second in
    rendezvous order, so that all instances choose the same ones.

    Parameters
    ----------
    new : iterable of Registration
        Upstreams of the new version.
    old_slots : int
        Slots of all upstreams of the old version.
    load_share : float
        Share of the service's requests that goes to the new version.
    service : str
        Name of the service.
    """
    by_id = {r.id: r for r in new if not r.leaving}
    order = rendezvous_order(by_id, service)
    order.sort(key=lambda name: by_id[name].started_ms // MS_PER_S)
    chosen: list[str] = []
    slots = 0
    for name in order:
        if slots >= load_share * old_slots and len(chosen) >= MIN_CANARIES:
            break
        chosen.append(name)
        slots += by_id[name].slots
    return frozenset(chosen)
