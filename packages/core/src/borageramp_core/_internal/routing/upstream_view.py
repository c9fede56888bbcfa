"""State of one upstream as one entry sees it."""

from dataclasses import dataclass, field

from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.messages import LoadReport, Notice
from borageramp_core._internal.model import Upstream
from borageramp_core._internal.routing.model import Registration
from borageramp_core._internal.routing.rate_limit import RateLimitState

__all__ = [
    "LoadSnapshot",
    "UpstreamIncarnation",
    "UpstreamView",
    "incarnation_of",
    "new_view",
]

# The pace of an upstream changes many times a second, so reports age quickly.
PACE_REPORT_HALF_LIFE_S = 0.25
# Short, since probes and the trial request after an ejection show recovery.
EJECTION_S = 1.5
# Time for which an upstream that didn't answer is avoided.
UNRESPONSIVE_PENALTY_S = 0.4
# Limits the pause that an upstream can request, so that an invalid value can't
# exclude it for good.
MAX_PAUSE_S = 300.0

# Identifier, address and start time in milliseconds of an upstream's process.
UpstreamIncarnation = tuple[str, str, int]


def incarnation_of(registration: Registration) -> UpstreamIncarnation:
    """Return the key of an upstream's process, which differs after a restart."""
    address = f"{registration.host}:{registration.port}"
    return (registration.id, address, registration.started_ms)


def _to_upstream(registration: Registration) -> Upstream:
    """Convert a registration to the common upstream model."""
    return Upstream(
        name=registration.id,
        service=registration.service,
        data_centre=registration.data_centre,
        host=registration.host,
        port=registration.port,
        slots=max(1, registration.slots),
        eject_s=EJECTION_S,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSnapshot:
    """Load of an upstream when a request was sent to it.

    Attributes
    ----------
    requests : int
        Requests at the upstream, including the new one.
    slots : int
        Requests that it runs concurrently.
    cold : bool
        Whether it was cold.
    report_age_s : float
        Age of its last load report in seconds.
    """

    requests: int
    slots: int
    cold: bool
    report_age_s: float


@dataclass(kw_only=True, slots=True)
class UpstreamView:
    """Load, pace, warm-up and health of one upstream.

    Attributes
    ----------
    registration : Registration
        Its latest registration.
    upstream : Upstream
        Its identifier, address and slots.
    load : UpstreamLoad
        In-flight requests of this entry and of others.
    pace : float
        Last reported service time relative to the usual one (1.0).
    pace_reported_at_s : float
        Time of that report.
    cold_until_s : float
        End of its warm-up.
    unresponsive_until_s : float
        Time until which it is avoided because it did not answer.
    unhealthy : bool
        Whether its health endpoint reported a failure.
    address_mismatch : bool
        Whether another upstream answered at its address.
    leaving : bool
        Whether it announced that it is leaving, regardless of the store.
    paused_until_s : float
        End of the pause that it requested.
    ramp_hz : float
        Rate limit while cold in requests per second, over all entries.
    rate_limit : RateLimitState
        Rate limit that it names in its answers.
    """

    registration: Registration
    upstream: Upstream
    load: UpstreamLoad
    pace: float = 1.0
    pace_reported_at_s: float = float("-inf")
    cold_until_s: float = float("-inf")
    unresponsive_until_s: float = float("-inf")
    unhealthy: bool = False
    address_mismatch: bool = False
    leaving: bool = False
    paused_until_s: float = float("-inf")
    ramp_hz: float = field(default=0.0)
    rate_limit: RateLimitState = field(default_factory=RateLimitState)

    def is_cold(self, *, now_s: float) -> bool:
        """Return whether it is still warming up."""
        return now_s < self.cold_until_s

    def report_age_s(self, *, now_s: float) -> float:
        """Return the age of the last load report in seconds."""
        return now_s - self.pace_reported_at_s

    def expected_pace(self, *, mean_pace: float, now_s: float) -> float:
        """Return the reported pace, which decays to the mean of its peers."""
        age_s = self.report_age_s(now_s=now_s)
        trust = 0.5 ** min(64.0, age_s / PACE_REPORT_HALF_LIFE_S)
        return trust * self.pace + (1.0 - trust) * mean_pace

    def load_snapshot(self, *, now_s: float) -> "LoadSnapshot":
        """Return its load by own in-flight requests and the last report."""
        return LoadSnapshot(
            requests=round(self.load.in_flight + self.load.others),
            slots=self.load.slots,
            cold=self.is_cold(now_s=now_s),
            report_age_s=self.report_age_s(now_s=now_s),
        )

    def on_report(self, report: LoadReport, *, now_s: float) -> None:
        """Update the state from a load report."""
        if report.start_id and report.start_id != self.registration.id:
            self.address_mismatch = True
            return
        self.address_mismatch = False
        self.leaving |= report.leaving
        self.unresponsive_until_s = float("-inf")
        self.load.on_report(report, now_s=now_s)
        self.pace = report.pace
        self.pace_reported_at_s = now_s
        if report.warmup_left_s is not None:
            self.cold_until_s = now_s + report.warmup_left_s

    def mark_unresponsive(self, *, now_s: float) -> None:
        """Record that the upstream did not answer."""
        self.unresponsive_until_s = now_s + UNRESPONSIVE_PENALTY_S

    def on_notice(self, notice: Notice, *, now_s: float) -> None:
        """Apply a notice that the upstream is leaving or wants a pause."""
        self.leaving |= notice.leaving
        if notice.pause_s > 0:
            until_s = now_s + min(MAX_PAUSE_S, notice.pause_s)
            self.paused_until_s = max(self.paused_until_s, until_s)

    def is_paused(self, *, now_s: float) -> bool:
        """Return whether a pause that it requested is in force."""
        return now_s < self.paused_until_s


def new_view(registration: Registration, *, now_s: float) -> UpstreamView:
    """Return the initial state of a newly registered upstream."""
    upstream = _to_upstream(registration)
    return UpstreamView(
        registration=registration,
        upstream=upstream,
        load=UpstreamLoad(slots=upstream.slots),
        cold_until_s=now_s + registration.warmup_left_s,
    )
