"""The operators' command line of borageramp."""

from borageramp_cli._internal.main import main

__all__ = ["main"]
