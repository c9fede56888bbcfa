"""Access to the platform's key-value service; ``etcd`` has the client of one."""

from borageramp_entry._internal.store.base import (
    Change,
    Commit,
    Condition,
    Item,
    Listing,
    Outcome,
    Put,
    Store,
)

__all__ = [
    "Change",
    "Commit",
    "Condition",
    "Item",
    "Listing",
    "Outcome",
    "Put",
    "Store",
]
