"""Starts an entry that serves routes, on a platform."""

import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from borageramp_entry._internal.addresses import split_address
from borageramp_settings import RoutedSettings

if TYPE_CHECKING:
    from borageramp_entry._internal.routed.ports import Platform

__all__ = ["run_routed"]

# Connections that wait to be taken, also while the rest of the program loads.
BACKLOG = 512


def run_routed(
    *,
    load_settings: Callable[[], RoutedSettings],
    load_platform: Callable[[], "Platform"],
    log_level: str = "info",
) -> None:
    """Run an entry until SIGTERM, and end the process.

    It takes connections before it loads what serves them: loading is most of
    a start, and callers would be turned away meanwhile.

    Parameters
    ----------
    load_settings : callable
        Reads the settings.
    load_platform : callable
        Returns the platform that it runs on.
    log_level : str
        Lowest level that is logged.
    """
    # The settings are read after this, so that nothing is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        listener = open_listener(load_settings().caller_address)
    except Exception as failure:
        from borageramp_entry._internal.routed.process import exit_before_serving

        exit_before_serving(failure, log_level=log_level)
    from borageramp_entry._internal.routed.process import serve_routed

    serve_routed(load_platform(), listener=listener, log_level=log_level)


def open_listener(address: str) -> socket.socket:
    """Return a socket that takes connections at an address."""
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
    listener.setblocking(False)
    return listener
