"""The process of a borageramp entry instance."""

from borageramp_entry._internal.main import main

__all__ = ["main"]
