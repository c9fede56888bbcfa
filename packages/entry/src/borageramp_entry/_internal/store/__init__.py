"""Access to the platform's key-value service."""

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
from borageramp_entry._internal.store.etcd import EtcdStore

__all__ = [
    "Change",
    "Commit",
    "Condition",
    "EtcdStore",
    "Item",
    "Listing",
    "Outcome",
    "Put",
    "Store",
]
