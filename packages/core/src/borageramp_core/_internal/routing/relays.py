"""Which instances follow the store, and whom the others ask.

Each change of the store costs a call of every instance that follows it. So a
few instances of each data centre follow it, those on the largest machines and
among equals those with the highest rendezvous hashes, and the others ask these
for the changes.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from borageramp_core._internal.ownership import rendezvous_order
from borageramp_core._internal.routing.model import Instance

__all__ = ["RelayPlan"]

# Instances of a data centre for each of them that follows the store; more
# would make the answers to all of them a load of its own.
INSTANCES_A_RELAY = 16
# What the rendezvous hashes of instances are taken for.
TASK = "follow the store"


class RelayPlan:
    """Whom one instance asks for the changes of the store.

    Parameters
    ----------
    own : Instance
        This instance.

    Attributes
    ----------
    is_relay : bool
        Whether this instance follows the store, so that others may ask it.
    others : tuple of Instance
        The other instances that do, in the order in which to ask them: those
        of the own data centre first.
    """

    def __init__(self, *, own: Instance) -> None:
        self.is_relay = True
        self.others: tuple[Instance, ...] = ()
        self._own = own

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply a new list of instances."""
        known = {i.name: i for i in instances} | {self._own.name: self._own}
        by_data_centre: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for instance in known.values():
            if instance.peer_address is not None:
                weights = by_data_centre[instance.data_centre]
                weights[instance.name] = instance.capacity
        relays = {name for w in by_data_centre.values() for name in _relays_among(w)}
        self.is_relay = self._own.name in relays
        order = rendezvous_order(relays - {self._own.name}, self._own.name)
        order.sort(key=lambda n: known[n].data_centre != self._own.data_centre)
        self.others = tuple(known[name] for name in order)


def _relays_among(weights: Mapping[str, float]) -> list[str]:
    count = -(-len(weights) // INSTANCES_A_RELAY)
    order = rendezvous_order(weights, TASK)
    order.sort(key=lambda name: weights[name], reverse=True)
    return order[:count]
