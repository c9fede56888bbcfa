"""Verdict on whether an upstream ran a request."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether a request may have run on an upstream.

    Attributes
    ----------
    NOT_RUN
        No upstream ran the request or will run it.
    MAY_HAVE_RUN
        An upstream may have run the request or may still run it.
    RAN
        An upstream ran the request.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
