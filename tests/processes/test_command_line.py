"""The command line as a process."""

import os
import subprocess
import sys

from borageramp_cli._internal.exits import Exit


def test_reader_that_went_away_causes_no_traceback() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    done = subprocess.run(
        [sys.executable, "-m", "borageramp_cli", "reference"],
        stdout=writer,
        stderr=subprocess.PIPE,
        text=True,
        check=False,
    )
    os.close(writer)
    assert done.stderr == ""
    assert done.returncode == Exit.OUTPUT_CUT
