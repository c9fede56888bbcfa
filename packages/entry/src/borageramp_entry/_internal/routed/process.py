"""Process setup of a routed entry: logging, signals and the event loop."""

import asyncio
import gc
import signal
import socket
import sys
from typing import NoReturn

from borageramp_core import SettingsError
from borageramp_entry._internal.logs import configure_logs, get_logger
from borageramp_entry._internal.output import BoundedOutput
from borageramp_entry._internal.routed.interfaces import Platform

__all__ = ["exit_on_startup_error", "serve_routed"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1

_log = get_logger(__name__)


def serve_routed(
    platform: Platform, *, listener: socket.socket, log_level: str = "info"
) -> None:
    """Run an entry until SIGTERM.

    SIGHUP reloads the settings.

    Parameters
    ----------
    platform : Platform
        Adapter of the platform that the entry runs on.
    listener : socket.socket
        Listening socket for callers.
    log_level : str
        Minimum level of log messages.
    """
    _configure_logging(log_level)
    try:
        asyncio.run(_serve(platform, listener))
    except Exception as error:
        _exit_with_error(error)


def exit_on_startup_error(error: BaseException, *, log_level: str) -> NoReturn:
    """Log a startup error and exit with its exit code."""
    _configure_logging(log_level)
    _exit_with_error(error)


def _configure_logging(level: str) -> None:
    configure_logs(level, output=BoundedOutput(descriptor=sys.stdout.fileno()))


def _exit_with_error(error: BaseException) -> NoReturn:
    if isinstance(error, SettingsError):
        for fault in error.faults:
            _log.error("invalid settings", path=fault.path, problem=fault.problem)
        sys.exit(EXIT_SETTINGS)
    _log.error("entry failed", exc_info=error)
    sys.exit(EXIT_FAILED)


async def _serve(platform: Platform, listener: socket.socket) -> None:
    from borageramp_entry._internal.routed.app import RoutedApp

    # Modules loaded so far are never freed, so exclude them from garbage
    # collection.
    gc.freeze()
    gc.enable()
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    app = RoutedApp(platform=platform, listener=listener)
    loop.add_signal_handler(signal.SIGHUP, app.reload)
    await app.run(stop)
