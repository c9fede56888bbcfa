"""Private modules; import from ``borageramp_core`` instead."""
