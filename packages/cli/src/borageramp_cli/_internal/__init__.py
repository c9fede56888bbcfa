"""Private modules of the command line."""
