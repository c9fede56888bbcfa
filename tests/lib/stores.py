"""A store adapter and the stand-in that it talks to, in one process."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from borageramp_bench.processes import free_port
from borageramp_bench.standins.store import StoreStandin, make_server
from borageramp_entry._internal.store.etcd import EtcdStore

__all__ = ["StorePair", "running_store"]


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePair:
    """An adapter and its stand-in.

    Attributes
    ----------
    store : EtcdStore
        The adapter.
    standin : StoreStandin
        The stand-in, whose faults can be set directly.
    address : str
        Where the stand-in listens.
    """

    store: EtcdStore
    standin: StoreStandin
    address: str


@asynccontextmanager
async def running_store(
    *, timeout_s: float, kind: type[EtcdStore] = EtcdStore
) -> AsyncIterator[StorePair]:
    """Run a stand-in and an adapter, and close both afterwards.

    Parameters
    ----------
    timeout_s : float
        Time that the adapter waits for an answer.
    kind : type
        Class of the adapter.
    """
    standin = StoreStandin()
    address = f"127.0.0.1:{free_port()}"
    server = make_server(standin)
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))
    store = kind(endpoints=(address,), timeout_s=timeout_s, rng=random.Random(1))
    try:
        yield StorePair(store=store, standin=standin, address=address)
    finally:
        store.close()
        server.close()
