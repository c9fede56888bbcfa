"""Counts of the responses of one version on one route."""

from dataclasses import dataclass

__all__ = ["ResponseCounts", "VersionCounts"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseCounts:
    """Responses of one version on one route.

    Attributes
    ----------
    responses : int
        Attempts that ended with a response, or that broke or timed out.
    failures : int
        Those with a server error, or without a response.
    timed : int
        Responses whose time counts: those of upstreams that weren't cold.
    log_sum : float
        Sum of the natural logarithms of their times in seconds.
    log_squares : float
        Sum of the squares of these logarithms.
    """

    responses: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def __add__(self, other: "ResponseCounts") -> "ResponseCounts":
        return ResponseCounts(
            responses=self.responses + other.responses,
            failures=self.failures + other.failures,
            timed=self.timed + other.timed,
            log_sum=self.log_sum + other.log_sum,
            log_squares=self.log_squares + other.log_squares,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionCounts:
    """New responses of both versions on one route.

    Attributes
    ----------
    old, new : ResponseCounts
        Responses of the old and of the new version.
    """

    old: ResponseCounts = ResponseCounts()
    new: ResponseCounts = ResponseCounts()

    def __add__(self, other: "VersionCounts") -> "VersionCounts":
        return VersionCounts(old=self.old + other.old, new=self.new + other.new)
