"""A store that comes back from an older copy while a simulated fleet follows it."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from dataclasses import dataclass

from tests.lib.simulated_fleet import SimulatedFleet

__all__ = ["Restore", "restore_store", "writing_upstreams"]

UPSTREAM_COUNT = 5
WRITES_HZ = 2.0


@dataclass(frozen=True, kw_only=True)
class Restore:
    """How the store comes back from an older copy.

    Attributes
    ----------
    lost_revisions : int
        Revisions that the store had given out since the copy.
    away_s : float
        Time in seconds for which it answers nothing before.
    """

    lost_revisions: int
    away_s: float = 0.5


@contextlib.asynccontextmanager
async def writing_upstreams(
    fleet: SimulatedFleet, *, rate_hz: float = WRITES_HZ
) -> AsyncIterator[None]:
    """Let upstreams write their registrations anew meanwhile."""

    async def write() -> None:
        for number in itertools.count():
            fleet.register_upstream(f"u{number % UPSTREAM_COUNT}")
            await asyncio.sleep(1.0 / rate_hz)

    task = asyncio.ensure_future(write())
    try:
        yield
    finally:
        task.cancel()


async def restore_store(fleet: SimulatedFleet, restore: Restore) -> None:
    """Let the store give out revisions, be away, and come back without them."""
    copy = fleet.store.copy()
    while fleet.store.revision < copy.revision + restore.lost_revisions:
        await asyncio.sleep(0.05)
    fleet.store.down = True
    await asyncio.sleep(restore.away_s)
    fleet.store.restore(copy)
    fleet.store.down = False
