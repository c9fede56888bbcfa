"""Load and experiment tool of borageramp, with stand-ins of outside systems.

Nothing of this package is part of the two binaries.
"""
