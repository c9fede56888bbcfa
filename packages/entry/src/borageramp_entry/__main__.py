"""Runs ``borageramp-entry``."""

from borageramp_entry import main

main()
