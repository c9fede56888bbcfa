"""Acceptance of callers' connections, within the descriptors of the process."""

import asyncio
import socket
from collections.abc import Callable

from borageramp_entry._internal.routed.listener import BACKLOG

__all__ = ["serve_callers"]

# Connections accepted before those accepted earlier are counted: asyncio accepts as
# many at once as its backlog, which may take all descriptors.
ACCEPTS_AT_ONCE = 4


class _Listener(socket.socket):
    """A listening socket whose queue stays as long as it is."""

    def listen(self, backlog: int = BACKLOG) -> None:
        # The event loop asks for the number that it accepts at once.
        super().listen(max(backlog, BACKLOG))


async def serve_callers(
    listener: socket.socket, protocol: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Accept the connections of callers, a few at a time; takes the socket over."""
    loop = asyncio.get_running_loop()
    taken = _Listener(
        listener.family, listener.type, listener.proto, fileno=listener.detach()
    )
    return await loop.create_server(protocol, sock=taken, backlog=ACCEPTS_AT_ONCE)
