"""How an entry starts."""

import signal
import socket
from collections.abc import Iterator

import pytest

from borageramp_entry.routed import Platform
from borageramp_entry.start import run_routed
from borageramp_settings import RoutedSettings
from tests.lib.routed import make_settings


class Loaded(Exception):
    pass


@pytest.fixture(autouse=True)
def kept_signals() -> Iterator[None]:
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.fixture
def settings() -> RoutedSettings:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return make_settings(caller_address=f"127.0.0.1:{sock.getsockname()[1]}")


def test_callers_can_connect_while_the_rest_loads(settings: RoutedSettings) -> None:
    _, _, port = settings.caller_address.rpartition(":")

    def load_platform() -> Platform:
        with socket.create_connection(("127.0.0.1", int(port)), timeout=5.0):
            raise Loaded

    with pytest.raises(Loaded):
        run_routed(load_settings=lambda: settings, load_platform=load_platform)


def test_a_signal_to_reload_does_not_end_an_entry_that_loads(
    settings: RoutedSettings,
) -> None:
    def load_platform() -> Platform:
        signal.raise_signal(signal.SIGHUP)
        raise Loaded

    with pytest.raises(Loaded):
        run_routed(load_settings=lambda: settings, load_platform=load_platform)
