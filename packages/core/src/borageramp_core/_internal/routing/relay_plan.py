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
INSTANCES_PER_RELAY = 16
# What the rendezvous hashes of instances are taken for.
RENDEZVOUS_KEY = "follow the store"


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
    other_relays : tuple of Instance
        The other instances that do, in the order in which to ask them: those
        of the own data centre first.
    """

    def __init__(self, *, own: Instance) -> None:
        self.is_relay = True
        self.other_relays: tuple[Instance, ...] = ()
        self._own = own

    def update(self, instances: Iterable[Instance]) -> None:
        """Apply a new list of instances."""
        by_name = {i.name: i for i in instances} | {self._own.name: self._own}
        by_data_centre: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for instance in by_name.values():
            if instance.peer_address is not None:
                capacities = by_data_centre[instance.data_centre]
                capacities[instance.name] = instance.capacity
        relays = {name for w in by_data_centre.values() for name in _select_relays(w)}
        self.is_relay = self._own.name in relays
        order = rendezvous_order(relays - {self._own.name}, self._own.name)
        order.sort(key=lambda n: by_name[n].data_centre != self._own.data_centre)
        self.other_relays = tuple(by_name[name] for name in order)


def _select_relays(capacities: Mapping[str, float]) -> list[str]:
    count = -(-len(capacities) // INSTANCES_PER_RELAY)
    order = rendezvous_order(capacities, RENDEZVOUS_KEY)
    order.sort(key=lambda name: capacities[name], reverse=True)
    return order[:count]
