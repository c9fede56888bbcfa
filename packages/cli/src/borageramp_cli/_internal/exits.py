"""Exit codes, for scripts."""

import enum

__all__ = ["Exit"]


class Exit(enum.IntEnum):
    """What an exit code means.

    Attributes
    ----------
    OK
        Done.
    FAILED
        The entry could not do it.
    INVALID
        The file, the change or the call is wrong; nothing was changed.
    UNREACHABLE
        No entry answered; nothing was changed.
    CONFLICT
        Another operator changed the configuration first.
    UNKNOWN
        The change may or may not take effect; repeat it with its identifier.
    UNCONFIRMED
        The change is written, but not yet known to be in force everywhere.
    NOT_FOUND
        There is no such thing.
    OUTPUT_CUT
        Whoever read the output went away, as shells report it.
    """

    OK = 0
    FAILED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNCONFIRMED = 6
    NOT_FOUND = 7
    OUTPUT_CUT = 141
