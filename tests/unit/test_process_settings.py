"""Settings of an entry process."""

from pathlib import Path

import pytest

from borageramp_cli._internal.commands.reference import reference_text
from borageramp_core import SettingsError
from borageramp_settings import load_entry_settings

ROOT = Path(__file__).resolve().parents[2]
EXAMPLE = ROOT / "examples" / "entry.yaml"


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "entry.yaml"
    path.write_text(EXAMPLE.read_text() + text)
    return path


def test_flags_go_before_the_file() -> None:
    settings = load_entry_settings(EXAMPLE, {"name": "other"})
    assert settings.name == "other"
    assert settings.data_centre == "north"


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("unknown: 1\n", "unknown"),
        ("drain_s: never\n", "drain_s"),
        ("owner_settle_s: 1.0\n", "owner_settle_s"),
        ("heartbeat_interval_s: 2.0\n", "heartbeat_interval_s"),
        ("name: [\n", "line"),
    ],
)
def test_fault_is_told(tmp_path: Path, text: str, told: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_entry_settings(write(tmp_path, text), {})
    assert told in str(caught.value)


def test_malformed_address_is_told_with_its_field(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_entry_settings(EXAMPLE, {"caller_address": "localhost"})
    assert [f.path for f in caught.value.faults] == ["caller_address"]


def test_reference_page_is_current() -> None:
    assert (ROOT / "docs" / "settings.md").read_text() == reference_text()
