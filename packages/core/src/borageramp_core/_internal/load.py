"""What one entry knows of the load of one upstream."""

from dataclasses import dataclass

from borageramp_core._internal.messages import LoadReport

__all__ = ["UpstreamLoad"]

LATENCY_WEIGHT = 0.2
# An upstream that is avoided for its latency is tried again in time.
LATENCY_HALF_LIFE_S = 3.0
# A report says little once requests that it counted have ended.
REPORT_HALF_LIFE_S = 0.02


@dataclass(kw_only=True, slots=True)
class UpstreamLoad:
    """Own counts, reports and latency of one upstream.

    Attributes
    ----------
    slots : int
        Requests that the upstream runs at once.
    in_flight : int
        This entry's requests that it has.
    others : float
        Requests of other entries that it had at its last report.
    reported_at_s : float
        Time of that report.
    latency_s : float
        Moving average of its time to the first byte; 0 when unknown.
    latency_at_s : float
        Time of the last answer in it.
    answers : int
        Answers seen.
    """

    slots: int
    in_flight: int = 0
    others: float = 0.0
    reported_at_s: float = float("-inf")
    latency_s: float = 0.0
    latency_at_s: float = float("-inf")
    answers: int = 0

    def on_report(self, report: LoadReport, *, now_s: float) -> None:
        """Take in a report; it counts all ``in_flight`` of this entry."""
        self.others = max(0.0, float(report.in_flight - self.in_flight))
        self.reported_at_s = now_s
        if report.slots > 0:
            self.slots = report.slots

    def on_latency(self, latency_s: float, *, now_s: float) -> None:
        """Take in the latency of an answer."""
        self.answers += 1
        self.latency_at_s = now_s
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += (latency_s - self.latency_s) * LATENCY_WEIGHT

    def on_abandoned(self, waited_s: float, *, now_s: float) -> None:
        """Take in that an answer had not come when it was given up."""
        if waited_s > self.latency_s:
            self.on_latency(waited_s, now_s=now_s)

    def expected_latency_s(self, *, default_latency_s: float, now_s: float) -> float:
        """Return the latency to expect, which tends to the usual one.

        Parameters
        ----------
        default_latency_s : float
            What to expect of an upstream of which nothing is known.
        now_s : float
            Present time.
        """
        age_s = now_s - self.latency_at_s
        weight = 0.5 ** min(64.0, age_s / LATENCY_HALF_LIFE_S)
        return weight * self.latency_s + (1.0 - weight) * default_latency_s

    def estimate(self, *, mean_others: float, now_s: float) -> float:
        """Estimate the requests that the upstream has now.

        Parameters
        ----------
        mean_others : float
            Mean of ``others`` over the service, which a report decays to.
        now_s : float
            Present time.
        """
        age_s = now_s - self.reported_at_s
        weight = 0.5 ** min(64.0, age_s / REPORT_HALF_LIFE_S)
        return self.in_flight + weight * self.others + (1.0 - weight) * mean_others

    def remaining_load(self, *, work_s: float, now_s: float) -> float:
        """Return the requests that it has now if nobody else has sent any.

        Parameters
        ----------
        work_s : float
            Time that a request takes on an idle upstream.
        now_s : float
            Present time.
        """
        ended = self.slots * (now_s - self.reported_at_s) / work_s
        return self.in_flight + max(0.0, self.others - ended)
