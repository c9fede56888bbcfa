"""Features, run by behave against real processes."""
