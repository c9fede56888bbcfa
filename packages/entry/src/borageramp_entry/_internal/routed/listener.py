"""Listening socket for callers."""

import socket

from borageramp_entry._internal.addresses import split_address

__all__ = ["BACKLOG", "open_listener"]

# Connections also queue in the backlog while the server modules are imported.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on an address."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener
