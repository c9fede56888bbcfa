"""Start of an entry: early listening, and reload signals while it loads."""

import signal
import socket
from collections.abc import Iterator

import pytest

from borageramp_entry.routed import Platform
from borageramp_entry.start import run_routed
from borageramp_settings import RoutedSettings
from tests.lib.routed import make_settings


class PlatformLoadedError(Exception):
    pass


@pytest.fixture(autouse=True)
def restored_signal_handler() -> Iterator[None]:
    previous = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, previous)


@pytest.fixture
def settings() -> RoutedSettings:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return make_settings(caller_address=f"127.0.0.1:{sock.getsockname()[1]}")


def test_callers_can_connect_while_the_rest_loads(settings: RoutedSettings) -> None:
    _, _, port = settings.caller_address.rpartition(":")

    def load_platform() -> Platform:
        with socket.create_connection(("127.0.0.1", int(port)), timeout=5.0):
            raise PlatformLoadedError

    with pytest.raises(PlatformLoadedError):
        run_routed(load_settings=lambda: settings, load_platform=load_platform)


def test_a_reload_signal_does_not_end_an_entry_that_is_loading(
    settings: RoutedSettings,
) -> None:
    def load_platform() -> Platform:
        signal.raise_signal(signal.SIGHUP)
        raise PlatformLoadedError

    with pytest.raises(PlatformLoadedError):
        run_routed(load_settings=lambda: settings, load_platform=load_platform)
