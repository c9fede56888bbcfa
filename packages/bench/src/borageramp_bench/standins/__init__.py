"""Stand-ins of the systems outside borageramp."""
