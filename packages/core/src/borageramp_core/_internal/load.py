"""Load and latency of an upstream, as estimated by one entry."""

from dataclasses import dataclass

from borageramp_core._internal.messages import LoadReport

__all__ = ["UpstreamLoad"]

LATENCY_WEIGHT = 0.2
# Decays, so that an upstream avoided for its latency is used again later.
LATENCY_HALF_LIFE_S = 3.0
# A report is stale once the requests that it counted have ended.
REPORT_HALF_LIFE_S = 0.02


@dataclass(kw_only=True, slots=True)
class UpstreamLoad:
    """Request counts, load reports and latency of one upstream.

    Attributes
    ----------
    slots : int
        Requests that the upstream runs concurrently.
    in_flight : int
        Requests of this entry in flight at the upstream.
    others : float
        Requests of other entries in flight at the last load report.
    reported_at_s : float
        Time of the last load report.
    latency_s : float
        Moving average of the time to the first byte; 0 when unknown.
    latency_at_s : float
        Time of the last response included in the average.
    answers : int
        Number of latencies recorded.
    """

    slots: int
    in_flight: int = 0
    others: float = 0.0
    reported_at_s: float = float("-inf")
    latency_s: float = 0.0
    latency_at_s: float = float("-inf")
    answers: int = 0

    def on_report(self, report: LoadReport, *, now_s: float) -> None:
        """Record a load report, which includes this entry's ``in_flight``."""
        self.others = max(0.0, float(report.in_flight - self.in_flight))
        self.reported_at_s = now_s
        if report.slots > 0:
            self.slots = report.slots

    def on_latency(self, latency_s: float, *, now_s: float) -> None:
        """Record the latency of a response."""
        self.answers += 1
        self.latency_at_s = now_s
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT

    def on_abandoned(self, waited_s: float, *, now_s: float) -> None:
        """Record that a request was abandoned before its response arrived.

        The wait is a lower bound of the latency, and counts only if it exceeds
        the average.
        """
        if waited_s > self.latency_s:
            self.on_latency(waited_s, now_s=now_s)

    def expected_latency_s(self, *, default_latency_s: float, now_s: float) -> float:
        """Return the expected latency, which decays to the default.

        Parameters
        ----------
        default_latency_s : float
            Latency expected of an upstream without measurements.
        now_s : float
            Present time.
        """
        age_s = now_s - self.latency_at_s
        weight = 0.5 ** min(64.0, age_s / LATENCY_HALF_LIFE_S)
        return weight * self.latency_s + (1.0 - weight) * default_latency_s

    def estimate(self, *, mean_others: float, now_s: float) -> float:
        """Estimate the requests now in flight at the upstream.

        Parameters
        ----------
        mean_others : float
            Mean of ``others`` over the service, to which a report decays.
        now_s : float
            Present time.
        """
        age_s = now_s - self.reported_at_s
        weight = 0.5 ** min(64.0, age_s / REPORT_HALF_LIFE_S)
        return self.in_flight + weight * self.others + (1.0 - weight) * mean_others

    def remaining_load(self, *, work_s: float, now_s: float) -> float:
        """Estimate the requests in flight if no other entry has sent any since.

        Assumes that the reported requests of other entries end at the full
        rate of the upstream.

        Parameters
        ----------
        work_s : float
            Duration of a request on an idle upstream.
        now_s : float
            Present time.
        """
        ended = self.slots * (now_s - self.reported_at_s) / work_s
        return self.in_flight + max(0.0, self.others - ended)
