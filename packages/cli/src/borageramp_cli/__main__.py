"""Runs ``borageramp``."""

from borageramp_cli import main

main()
