"""Which instance decides on a rollout."""

from collections.abc import Collection, Iterable

from borageramp_core._internal.ownership import rendezvous_order
from borageramp_core._internal.routing.model import Instance

__all__ = ["choose_decider", "decider_order", "silence_limit_s"]

# Time without an answer after which the next instance takes over.
SILENCE_S = 0.9
MAX_SILENCE_S = 4.0


def decider_order(instances: Iterable[Instance], service: str) -> list[str]:
    """Return the instances that others can reach, in the order in which they decide."""
    names = (i.name for i in instances if i.peer_address is not None)
    return rendezvous_order(names, service)


def choose_decider(
    order: Collection[str], *, current: str, silent: Collection[str]
) -> str | None:
    """Return the instance that decides, as one instance sees it.

    Parameters
    ----------
    order : collection of str
        Listed instances in rendezvous order.
    current : str
        Instance that the record names; empty if none has decided.
    silent : collection of str
        Instances that don't answer, or can't decide.
    """
    if current in order and current not in silent:
        return current
    return next((name for name in order if name not in silent), None)


def silence_limit_s(claims: int) -> float:
    """Return the silence in seconds after which an instance takes over.

    It grows with each takeover, so that two instances that both reach the store but
    not each other don't take turns forever.

    Parameters
    ----------
    claims : int
        Times that an instance took over already.
    """
    return min(MAX_SILENCE_S, SILENCE_S * max(1, claims))
