"""Bodies of requests while they arrive."""

import asyncio
from typing import Any

from borageramp_entry._internal.border.uploads import Upload

__all__ = ["make_upload", "run_with_timeout"]


def make_upload(*, length: int | None) -> Upload:
    """Return an upload whose connection need not read on."""
    return Upload(length=length, on_room=lambda: None)


def run_with_timeout(test: Any) -> None:
    """Run a test for ten seconds at most."""

    async def bounded() -> None:
        async with asyncio.timeout(10):
            await test()

    asyncio.run(bounded())
