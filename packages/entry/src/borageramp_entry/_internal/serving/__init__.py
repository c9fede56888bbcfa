"""Service of callers' requests."""
