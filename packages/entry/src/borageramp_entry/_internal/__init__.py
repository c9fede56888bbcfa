"""Private modules of the entry."""
