"""Selection of the relays: the instances that watch the store directly.

Each change costs the store one call per watching instance. Therefore only a few
instances of each data centre watch it, and pass the changes on to the others.
The instances with the largest capacity become relays; ties are broken by
rendezvous hash.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from borageramp_core._internal.ownership import rendezvous_order
from borageramp_core._internal.routing.model import Instance

__all__ = ["RelayPlan"]

# Instances of a data centre per relay; with more, answering all of them would be
# a load of its own.
INSTANCES_PER_RELAY = 16
# Key of the rendezvous hash; all instances must use the same one.
RENDEZVOUS_KEY = "follow the store"


class RelayPlan:
    """Sources from which one instance gets the changes of the store.

    Parameters
    ----------
    own : Instance
        This instance.

    Attributes
    ----------
    is_relay : bool
        Whether this instance watches the store and serves its changes to others.
    other_relays : tuple of Instance
        The other relays in order of preference, those of the own data centre
        first.
    """

    def __init__(self, *, own: Instance) -> None:
        self.is_relay = True
        self.other_relays: tuple[Instance, ...] = ()
        self._own = own

    def update(self, instances: Iterable[Instance]) -> None:
        """Recompute the relays for a new list of instances."""
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
