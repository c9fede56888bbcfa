"""A store that comes back from an older copy while a simulated fleet follows it."""

import asyncio
from dataclasses import dataclass

from tests.lib.simulated_fleet import SimulatedFleet

__all__ = ["Restore", "restore_store", "writing_upstreams"]

UPSTREAM_COUNT = 5


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


async def writing_upstreams(fleet: SimulatedFleet, *, rate_hz: float) -> None:
    """Let upstreams write their registrations anew until cancelled."""
    number = 0
    while True:
        fleet.register_upstream(f"u{number % UPSTREAM_COUNT}")
        number += 1
        await asyncio.sleep(1.0 / rate_hz)


async def restore_store(fleet: SimulatedFleet, restore: Restore) -> None:
    """Let the store give out revisions, be away, and come back without them."""
    copy = fleet.store.copy()
    while fleet.store.revision < copy.revision + restore.lost_revisions:
        await asyncio.sleep(0.05)
    fleet.store.down = True
    await asyncio.sleep(restore.away_s)
    fleet.store.restore(copy)
    fleet.store.down = False
