"""The tries that upstreams have."""

from dataclasses import dataclass

from borageramp_core._internal.messages import Submit
from borageramp_core._internal.model import Upstream

__all__ = ["InFlightAttempt"]


@dataclass(kw_only=True, slots=True)
class InFlightAttempt:
    """A try that an upstream has.

    Attributes
    ----------
    request : Submit
        The request.
    upstream : Upstream
        Where it runs.
    started_at_s : float
        Time at which it was placed.
    start_key : str
        Name of the upstream's start that it was placed on.
    """

    request: Submit
    upstream: Upstream
    started_at_s: float
    start_key: str
