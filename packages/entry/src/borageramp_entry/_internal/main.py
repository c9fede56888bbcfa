"""The command ``borageramp-entry``."""

import asyncio
import os
import signal
import sys
from typing import Any

from borageramp_core import SettingsError
from borageramp_entry._internal.arguments import parse_arguments
from borageramp_entry._internal.logs import configure_logs, get_logger
from borageramp_settings import EntrySettings, load_entry_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1

_log = get_logger(__name__)


def main() -> None:
    """Run the command."""
    arguments = parse_arguments()
    try:
        checked = load_entry_settings(arguments.settings, arguments.overrides)
    except OSError as error:
        _fail(f"{arguments.settings}: {error.strerror}")
    except SettingsError as error:
        for fault in error.faults:
            print(
                f"{arguments.settings}: {fault.path}: {fault.problem}", file=sys.stderr
            )
        sys.exit(EXIT_SETTINGS)
    configure_logs(arguments.log_level)
    _run(checked)


def _fail(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def _run(settings: EntrySettings) -> None:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed

    reactor: Any = installed
    failures: list[BaseException] = []
    loop.call_soon(_start, loop, settings, reactor, failures)
    reactor.run(installSignalHandlers=False)
    if failures:
        _log.error("entry failed", error=repr(failures[0]))
        sys.exit(EXIT_FAILED)


def _start(
    loop: asyncio.AbstractEventLoop,
    settings: EntrySettings,
    reactor: Any,
    failures: list[BaseException],
) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_signal, stop)
    running = asyncio.ensure_future(_serve(settings, reactor, stop))

    def ended(task: "asyncio.Task[None]") -> None:
        error = task.exception()
        if error is not None:
            failures.append(error)
        reactor.stop()

    running.add_done_callback(ended)


def _on_signal(stop: asyncio.Event) -> None:
    if stop.is_set():
        _log.warning("second signal: stopping at once")
        os._exit(EXIT_FAILED)
    stop.set()


async def _serve(settings: EntrySettings, reactor: Any, stop: asyncio.Event) -> None:
    from borageramp_entry._internal.app import EntryApp

    app = EntryApp(settings=settings, reactor=reactor)
    await app.run(stop)
