"""What one entry knows of one upstream."""

from dataclasses import dataclass, field

from borageramp_core._internal.load import UpstreamLoad
from borageramp_core._internal.messages import LoadReport, Notice
from borageramp_core._internal.model import Upstream
from borageramp_core._internal.routing.model import Registration

__all__ = [
    "LoadSnapshot",
    "UpstreamIncarnation",
    "UpstreamView",
    "incarnation_of",
    "new_view",
]

# The pace of an upstream shifts many times a second; an old one says little.
PACE_REPORT_HALF_LIFE_S = 0.25
# An ejection is short, as probes and the trial after it show what holds.
EJECTION_S = 1.5
# An upstream that didn't answer a probe is passed over this long.
UNRESPONSIVE_PENALTY_S = 0.4
# Longest pause that an upstream can ask for, so that a nonsense figure doesn't
# take it out of use for good.
MAX_PAUSE_S = 300.0

# Identifier, address and start of an upstream's process.
UpstreamIncarnation = tuple[str, str, int]


def incarnation_of(registration: Registration) -> UpstreamIncarnation:
    """Return what tells one start of an upstream from another."""
    address = f"{registration.host}:{registration.port}"
    return (registration.id, address, registration.started_ms)


def _to_upstream(registration: Registration) -> Upstream:
    """Return the upstream that a registration names."""
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
    """How busy an upstream was when it got a request.

    Attributes
    ----------
    requests : int
        Requests that it had, the new one among them.
    slots : int
        Requests that it runs at once.
    cold : bool
        Whether it was cold.
    report_age_s : float
        Age of its last report.
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
        What it registered.
    upstream : Upstream
        Its name and address.
    load : UpstreamLoad
        Own requests and reported ones.
    pace : float
        How long work takes there, 1.0 for as usual.
    pace_reported_at_s : float
        Time of that report.
    cold_until_s : float
        Time until which it is cold.
    unresponsive_until_s : float
        Time until which it is passed over for its silence.
    unhealthy : bool
        Whether its health endpoint said that it is not well.
    address_mismatch : bool
        Whether its address turned out to belong to another upstream.
    leaving : bool
        Whether it said itself that it is leaving, whatever the store says.
    paused_until_s : float
        Time until which it asked to get nothing.
    ramp_hz : float
        Requests a second that it bears while cold, over all entries.
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

    def is_cold(self, *, now_s: float) -> bool:
        """Tell whether it bears only a low rate."""
        return now_s < self.cold_until_s

    def report_age_s(self, *, now_s: float) -> float:
        """Return the age of the last report."""
        return now_s - self.pace_reported_at_s

    def expected_pace(self, *, mean_pace: float, now_s: float) -> float:
        """Return the pace to expect, which tends to the usual one."""
        age_s = self.report_age_s(now_s=now_s)
        trust = 0.5 ** min(64.0, age_s / PACE_REPORT_HALF_LIFE_S)
        return trust * self.pace + (1.0 - trust) * mean_pace

    def load_snapshot(self, *, now_s: float) -> "LoadSnapshot":
        """Return how busy it is, by its last report."""
        return LoadSnapshot(
            requests=round(self.load.in_flight + self.load.others),
            slots=self.load.slots,
            cold=self.is_cold(now_s=now_s),
            report_age_s=self.report_age_s(now_s=now_s),
        )

    def on_report(self, report: LoadReport, *, now_s: float) -> None:
        """Take in what the upstream says of itself."""
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
        """Take in that the upstream did not answer a probe."""
        self.unresponsive_until_s = now_s + UNRESPONSIVE_PENALTY_S

    def on_notice(self, notice: Notice, *, now_s: float) -> None:
        """Take in what the upstream asks for."""
        self.leaving |= notice.leaving
        if notice.pause_s > 0:
            until_s = now_s + min(MAX_PAUSE_S, notice.pause_s)
            self.paused_until_s = max(self.paused_until_s, until_s)

    def is_paused(self, *, now_s: float) -> bool:
        """Tell whether it asked to get nothing now."""
        return now_s < self.paused_until_s


def new_view(registration: Registration, *, now_s: float) -> UpstreamView:
    """Return what is known of an upstream that has just registered."""
    upstream = _to_upstream(registration)
    return UpstreamView(
        registration=registration,
        upstream=upstream,
        load=UpstreamLoad(slots=upstream.slots),
        cold_until_s=now_s + registration.warmup_left_s,
    )
