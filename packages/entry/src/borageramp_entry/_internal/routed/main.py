"""Entry point for platform adapters."""

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
    """Run an entry until SIGTERM; exit the process on an error.

    The listening socket is opened before the server modules are imported: imports
    take most of the startup time, and connections would be refused meanwhile.

    Parameters
    ----------
    load_settings : callable
        Loads the settings.
    load_platform : callable
        Returns the adapter of the platform that the entry runs on.
    log_level : str
        Minimum level of log messages.
    """
    # The default action of SIGHUP would end the process. The settings are loaded
    # after this, so that no change of them is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        listener = open_listener(load_settings().caller_address)
    except Exception as error:
        from borageramp_entry._internal.routed.process import exit_on_startup_error

        exit_on_startup_error(error, log_level=log_level)
    from borageramp_entry._internal.routed.process import serve_routed

    serve_routed(load_platform(), listener=listener, log_level=log_level)
