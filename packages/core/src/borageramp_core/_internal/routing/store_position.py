"""Position in the history of a store."""

from dataclasses import dataclass

__all__ = ["StorePosition"]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """Point in the history of a store up to which all changes are known.

    A store that comes back from an older copy begins a new era and gives out
    revisions again, so that a revision alone says nothing. Positions are ordered by
    era, then by revision.

    Attributes
    ----------
    era : int
        History that the revision belongs to; 0 if the store doesn't say.
    revision : int
        Revision within that history.
    """

    era: int = 0
    revision: int = 0
