"""Attempts that are in flight to upstreams."""

from dataclasses import dataclass

from borageramp_core._internal.messages import Submit
from borageramp_core._internal.model import Upstream

__all__ = ["InFlightAttempt"]


@dataclass(kw_only=True, slots=True)
class InFlightAttempt:
    """An attempt in flight to an upstream.

    Attributes
    ----------
    request : Submit
        The request.
    upstream : Upstream
        The upstream that was chosen.
    started_at_s : float
        Time at which the attempt was placed.
    start_key : str
        Identifies the upstream and its start (the run of its process between
        two restarts) at the time of placement.
    """

    request: Submit
    upstream: Upstream
    started_at_s: float
    start_key: str
