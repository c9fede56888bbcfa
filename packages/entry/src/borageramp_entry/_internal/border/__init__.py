"""Borders of the process: callers, operators and peers."""
