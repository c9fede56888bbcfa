"""The command line of an entry."""

import subprocess
import sys
from pathlib import Path

import pytest

from borageramp_entry._internal.arguments import parse_arguments


def test_only_what_is_given_replaces_the_file() -> None:
    arguments = parse_arguments(["entry.yaml", "--data-centre", "south", "-n", "e1"])
    assert arguments.settings == Path("entry.yaml")
    assert arguments.overrides == {"name": "e1", "data_centre": "south"}
    assert arguments.log_level == "info"


@pytest.mark.parametrize("given", [[], ["a.yaml", "b.yaml"], ["a.yaml", "--pert", "1"]])
def test_faults_end_with_the_exit_code_of_a_wrong_use(given: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        parse_arguments(given)
    assert ended.value.code == 2


def test_entry_loads_no_parser_of_docstrings() -> None:
    code = "import sys, borageramp_entry._internal.app, borageramp_entry._internal.main"
    found = subprocess.run(
        [sys.executable, "-c", f"{code}; print('docutils' in sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == "False"
