"""Starts an entry that serves routes, on a platform."""

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from borageramp_entry._internal.routed.listener import open_listener

if TYPE_CHECKING:
    from borageramp_entry._internal.routed.interfaces import Platform
    from borageramp_settings import RoutedSettings

__all__ = ["run_routed"]


def run_routed(
    *,
    load_settings: Callable[[], "RoutedSettings"],
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
    except Exception as error:
        from borageramp_entry._internal.routed.process import exit_on_startup_error

        exit_on_startup_error(error, log_level=log_level)
    from borageramp_entry._internal.routed.process import serve_routed

    serve_routed(load_platform(), listener=listener, log_level=log_level)
