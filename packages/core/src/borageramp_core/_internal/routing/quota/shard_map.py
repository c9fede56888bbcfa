"""Assignment of the shards of quotas to instances.

A workspace has one shard in each data centre with listed instances. Its owner is
computed from the list by rendezvous hashing [1]_ among the instances of the largest
capacity there, so that instances with the same list agree without messages.

References
----------
.. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections import defaultdict
from collections.abc import Iterable

from borageramp_core._internal.ownership import rendezvous_order, rendezvous_owner
from borageramp_core._internal.routing.model import Instance

__all__ = ["ShardMap"]

# Time for which a data centre that left the list counts as one that may be cut off.
DATA_CENTRE_KEPT_S = 600.0
RENDEZVOUS_KEY = "quota"


class ShardMap:
    """Owners of the shards, as computed by one instance.

    Parameters
    ----------
    own : Instance
        This instance.

    Attributes
    ----------
    instance_count : int
        Instances on the list, including this one.
    """

    def __init__(self, *, own: Instance) -> None:
        self.own = own
        self.instance_count = 1
        self._candidates: dict[str, dict[str, Instance]] = {}
        self._order: list[str] = []
        self._owners: dict[str, dict[str, Instance]] = {}
        self._left_at_s: dict[str, float] = {}
        self.update((), now_s=0.0)

    def update(self, instances: Iterable[Instance], *, now_s: float) -> None:
        """Apply the list of instances; this one counts as listed.

        Instances without an address for others hold no shard, except one that is
        alone.
        """
        listed = {i.name: i for i in instances} | {self.own.name: self.own}
        self.instance_count = len(listed)
        by_data_centre: defaultdict[str, list[Instance]] = defaultdict(list)
        for instance in listed.values():
            if instance.peer_address is not None or len(listed) == 1:
                by_data_centre[instance.data_centre].append(instance)
        candidates = {d: _largest(by_data_centre[d]) for d in by_data_centre}
        for data_centre in self._candidates.keys() | candidates.keys():
            if candidates.get(data_centre) != self._candidates.get(data_centre):
                self._owners.pop(data_centre, None)
        self._note_left(candidates.keys(), now_s=now_s)
        self._candidates = candidates
        self._order = rendezvous_order(candidates, self.own.name)
        self._order.sort(key=lambda d: d != self.own.data_centre)

    def _note_left(self, data_centres: Iterable[str], *, now_s: float) -> None:
        for data_centre in self._candidates:
            self._left_at_s.setdefault(data_centre, now_s)
        for data_centre in data_centres:
            self._left_at_s.pop(data_centre, None)
        self._left_at_s = {
            data_centre: left_at_s
            for data_centre, left_at_s in self._left_at_s.items()
            if now_s - left_at_s < DATA_CENTRE_KEPT_S
        }

    @property
    def listed_data_centres(self) -> int:
        """Data centres with listed instances that can hold a shard."""
        return len(self._candidates)

    @property
    def kept_data_centres(self) -> int:
        """These, and those that left the list lately."""
        return len(self._candidates) + len(self._left_at_s)

    def owners(self, workspace: str) -> list[Instance]:
        """Return the owners of a workspace's shards in the order to ask them.

        That of this data centre comes first. Instances ask the others in different
        orders.
        """
        return [self._owner(workspace, data_centre) for data_centre in self._order]

    def owns(self, workspace: str) -> bool:
        """Return whether this instance owns the shard of its data centre."""
        if self.own.data_centre not in self._candidates:
            return False
        return self._owner(workspace, self.own.data_centre).name == self.own.name

    def _owner(self, workspace: str, data_centre: str) -> Instance:
        owners = self._owners.setdefault(data_centre, {})
        owner = owners.get(workspace)
        if owner is None:
            candidates = self._candidates[data_centre]
            name = rendezvous_owner(candidates, f"{RENDEZVOUS_KEY}\0{workspace}")
            assert name is not None
            owner = owners[workspace] = candidates[name]
        return owner


def _largest(instances: list[Instance]) -> dict[str, Instance]:
    capacity = max(i.capacity for i in instances)
    return {i.name: i for i in instances if i.capacity == capacity}
