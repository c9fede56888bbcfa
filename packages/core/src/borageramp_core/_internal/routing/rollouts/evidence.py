"""Evidence on a new version, compared with the old one at the same time.

Both tests are cumulative sums [1]_: they forget what was good before a fault appeared,
and a short disturbance doesn't reach the threshold.

References
----------
.. [1] E. S. Page, "Continuous inspection schemes", Biometrika 41, 1954.
"""

from dataclasses import dataclass
from enum import Enum

from borageramp_core._internal.routing.rollouts.counts import (
    ResponseCounts,
    VersionCounts,
)

__all__ = ["RouteEvidence", "EvidenceVerdict", "EvidenceReport"]

# Responses of the old version are compared for about this long.
HALF_LIFE_S = 3.0
LN_2 = 0.6931
# Responses of the old version without which times can't be compared.
MIN_BASELINE = 5.0
# Failures to expect of a good version, at least and at most, and as a multiple of
# those of the old one; those of a bad one are higher by the margin, or a third.
MIN_GOOD_FAILURES = 0.02
MAX_GOOD_FAILURES = 0.3
GOOD_FAILURES_FACTOR = 1.5
BAD_FAILURES = 1.0 / 3.0
BAD_FAILURES_MARGIN = 0.25
# Share of failures that neither raises nor lowers the excess, between a good version's
# and a bad one's, and the excess at which a version is bad. Both follow from the
# likelihood ratio of the two: two failures in a row are not enough, three are.
NEUTRAL_FAILURES_SHARE = 0.35
MAX_EXCESS_FAILURES = 2.2
MAX_EXCESS_SLOPE = 15.0
# Mean logarithm of the ratio of times that still counts as equal, and the sum beyond
# it at which a version is bad. A response of a neighbour that is slowed sevenfold adds
# 1.3, as ratios are limited to 5 where they are counted: four in a row aren't enough.
EQUAL_LOG_RATIO = 0.3
MAX_SLOWNESS = 6.0
# Part of a threshold above which a version isn't known to be good.
DOUBT_SHARE = 0.5


class EvidenceVerdict(Enum):
    """What the evidence says of a new version."""

    GOOD = "good"
    BAD = "bad"
    NOT_ENOUGH = "not_enough"


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceReport:
    """A verdict with its reason.

    Attributes
    ----------
    verdict : EvidenceVerdict
        The verdict.
    reason : str
        Description of what it follows from.
    """

    verdict: EvidenceVerdict
    reason: str


class _Decayed:
    """Counts that decay with time."""

    def __init__(self, *, now_s: float) -> None:
        self._at_s = self._started_at_s = now_s
        self.responses = 0.0
        self.failures = 0.0
        self.timed = 0.0
        self.log_sum = 0.0

    def add(self, counts: ResponseCounts, *, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
        self._at_s = now_s
        self.responses = factor * self.responses + counts.responses
        self.failures = factor * self.failures + counts.failures
        self.timed = factor * self.timed + counts.timed
        self.log_sum = factor * self.log_sum + counts.log_sum

    def rate_hz(self, *, now_s: float) -> float:
        """Return the rate of responses."""
        age_s = max(0.1, now_s - self._started_at_s)
        covered = 1.0 - 0.5 ** (age_s / HALF_LIFE_S)
        factor = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
        return LN_2 / HALF_LIFE_S * factor * self.responses / covered


class RouteEvidence:
    """Evidence on the new version from one route, or from all.

    Parameters
    ----------
    now_s : float
        Current time in seconds.

    Attributes
    ----------
    new_responses : int
        Responses of the new version since the last step.
    total : VersionCounts
        All responses.
    """

    def __init__(self, *, now_s: float) -> None:
        self.new_responses = 0
        self.total = VersionCounts()
        self._old = _Decayed(now_s=now_s)
        self._all = _Decayed(now_s=now_s)
        self._excess_failures = 0.0
        self._max_excess_failures = MAX_EXCESS_FAILURES
        self._slowness = 0.0
        # Times of the new version that have yet to be compared.
        self._untested = ResponseCounts()
        self._baseline_log_s: float | None = None

    def add(self, counts: VersionCounts, *, now_s: float) -> None:
        """Add responses, in the order in which reports arrive."""
        self.total += counts
        self.new_responses += counts.new.responses
        self._old.add(counts.old, now_s=now_s)
        self._all.add(counts.old + counts.new, now_s=now_s)
        if self._old.timed >= MIN_BASELINE:
            self._baseline_log_s = self._old.log_sum / self._old.timed
        self._test_failures(counts.new)
        self._test_times(counts.new)

    def rate_hz(self, *, now_s: float) -> float:
        """Return the rate of responses of both versions."""
        return self._all.rate_hz(now_s=now_s)

    def _test_failures(self, new: ResponseCounts) -> None:
        if not new.responses:
            return
        old_failures = self._old.failures / (self._old.responses + 1.0)
        good = min(
            MAX_GOOD_FAILURES,
            max(MIN_GOOD_FAILURES, GOOD_FAILURES_FACTOR * old_failures),
        )
        bad = max(BAD_FAILURES, good + BAD_FAILURES_MARGIN)
        neutral = good + NEUTRAL_FAILURES_SHARE * (bad - good)
        excess = new.failures - neutral * new.responses
        self._excess_failures = max(0.0, self._excess_failures + excess)
        margin = MAX_EXCESS_SLOPE * (good - MIN_GOOD_FAILURES)
        self._max_excess_failures = MAX_EXCESS_FAILURES + margin

    def _test_times(self, new: ResponseCounts) -> None:
        self._untested += new
        if self._baseline_log_s is None or not self._untested.timed:
            return
        expected = self._baseline_log_s + EQUAL_LOG_RATIO
        excess = self._untested.log_sum - self._untested.timed * expected
        self._slowness = max(0.0, self._slowness + excess)
        self._untested = ResponseCounts()

    def start_step(self) -> None:
        """Count the responses of the new version anew."""
        self.new_responses = 0

    def judge(self, route: str, *, needed: float) -> EvidenceReport:
        """Return what the evidence says.

        Parameters
        ----------
        route : str
            Name of the route, for the reason.
        needed : float
            Responses of the new version since the last step without which it isn't
            known to be good.
        """
        new = self.total.new
        if self._excess_failures >= self._max_excess_failures:
            reason = f"{new.failures} of {new.responses} responses failed on {route}"
            return EvidenceReport(verdict=EvidenceVerdict.BAD, reason=reason)
        if self._slowness >= MAX_SLOWNESS:
            reason = f"several times slower than the old version on {route}"
            return EvidenceReport(verdict=EvidenceVerdict.BAD, reason=reason)
        if self.new_responses < needed:
            reason = f"{self.new_responses} of {needed:.0f} responses on {route}"
            return EvidenceReport(verdict=EvidenceVerdict.NOT_ENOUGH, reason=reason)
        if (
            self._excess_failures >= DOUBT_SHARE * self._max_excess_failures
            or self._slowness >= DOUBT_SHARE * MAX_SLOWNESS
        ):
            reason = f"some failures or slow responses on {route}"
            return EvidenceReport(verdict=EvidenceVerdict.NOT_ENOUGH, reason=reason)
        return EvidenceReport(verdict=EvidenceVerdict.GOOD, reason=f"good on {route}")
