"""Which upstream of a service takes a request.

Load and pace of upstreams shift within milliseconds, so an entry asks a few
of them right before it places a request, and compares what they say. What
it remembers of the others decides whom to ask.
"""

import random
from collections.abc import Collection, Iterable

from borageramp_core._internal.messages import LoadReport, Notice, Result
from borageramp_core._internal.outliers import Outliers
from borageramp_core._internal.routing.choice import Chosen, Wanted
from borageramp_core._internal.routing.cold import ColdAllowance
from borageramp_core._internal.routing.expected import expectations
from borageramp_core._internal.routing.model import Registration, RoutedService
from borageramp_core._internal.routing.shortlist import Shortlist
from borageramp_core._internal.routing.slowdown import SlowdownProfile
from borageramp_core._internal.routing.state import (
    Busy,
    Start,
    UpstreamView,
    new_view,
    start_of,
)
from borageramp_core._internal.routing.work_estimate import WorkEstimate

__all__ = ["ServicePool"]

# A report of this age is as good as a new one; meanwhile other entries may have
# sent a request or two.
FRESH_S = 0.015
# Upstreams elsewhere cost bytes between data centres: near ones win ties.
REMOTE_FACTOR = 1.3
# How much an upstream's share of failures counts against it.
FAILURE_FACTOR = 4.0
# How much it counts against an upstream that its health endpoint says ill.
ILL_FACTOR = 4.0
# What a good upstream reports, and its share of successes.
GOOD_PACE = 1.2
GOOD_SUCCESS = 0.9
# How much of its slots a good upstream has in use, and how much it counts against
# others that more are: some work slower when they are nearly full.
GOOD_FILL = 0.67
CROWDING = 0.3
# Spreads entries that remember the same over upstreams that look alike.
JITTER = 0.25
# How much an upstream stands back to be asked for each own request that it has:
# the connection to it is in use, and asking needs another.
OWN_REQUEST_FACTOR = 0.5
# Largest share of a service's upstreams that may be ejected at once.
EJECT_MAX_SHARE = 0.5
# Time for which a service counts as full once a request found no place.
FULL_S = 0.5
# How long it is kept that a start of an upstream said it was leaving: its entry
# in the store may lapse and return while it serves on.
LEAVING_KEPT_S = 600.0

_ANY_REQUEST = Wanted(work_s=0.0, within_s=0.0)


class ServicePool:
    """The upstreams of one service, as one entry sees them.

    Parameters
    ----------
    name : str
        Name of the service.
    member : str
        Name of this entry.
    data_centre : str
        Where it runs.
    cold : ColdAllowance
        What this entry may send to cold upstreams.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        name: str,
        member: str,
        data_centre: str,
        cold: ColdAllowance,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.views: dict[str, UpstreamView] = {}
        self.shortlist = Shortlist(member=member, data_centre=data_centre)
        self.slowdown = SlowdownProfile()
        self.outliers = Outliers(max_share=EJECT_MAX_SHARE)
        self._data_centre = data_centre
        self._cold = cold
        self._rng = rng
        self._out: Collection[str] = ()
        self._left_at_s: dict[Start, float] = {}
        self._full_until_s = float("-inf")

    def apply(
        self,
        registrations: Iterable[Registration],
        *,
        settings: RoutedService | None,
        data_centres_out: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Take in the registered upstreams.

        Returns
        -------
        list of str
            Names of upstreams that are gone or started anew.
        """
        self._out = data_centres_out
        ramp_hz = settings.ramp_hz if settings is not None else 0.0
        before = self.views
        self.views = {}
        for registration in registrations:
            known = before.get(registration.id)
            if known is None or start_of(known.registration) != start_of(registration):
                known = new_view(registration, now_s=now_s)
                known.leaving = start_of(registration) in self._left_at_s
            known.registration = registration
            known.ramp_hz = ramp_hz
            self.views[registration.id] = known
        self.outliers.keep_only(v.upstream.id for v in self.views.values())
        self.shortlist.update(self.views.values())
        self._left_at_s = {
            start: at_s
            for start, at_s in self._left_at_s.items()
            if now_s - at_s < LEAVING_KEPT_S
        }
        return [k for k, v in before.items() if self.views.get(k) is not v]

    def _takes_work(self, view: UpstreamView, wanted: Wanted) -> bool:
        if view.registration.leaving or view.leaving or view.elsewhere:
            return False
        if view.registration.data_centre in self._out:
            return False
        return view.registration.id not in wanted.excluded

    def on_no_room(self, *, now_s: float) -> None:
        """Take in that a request that could be in time found no place."""
        self._full_until_s = now_s + FULL_S

    def is_full(self, *, now_s: float) -> bool:
        """Tell whether such requests have found no place lately."""
        return now_s < self._full_until_s

    def can_serve(self, wanted: Wanted, *, now_s: float) -> bool:
        """Tell whether any upstream may take a request, now or in time."""
        until_s = now_s + wanted.within_s
        return any(
            self._takes_work(view, wanted) and view.paused_until_s < until_s
            for view in self.views.values()
        )

    def pause_left_s(self, *, now_s: float) -> float:
        """Return the time until some upstream takes requests again.

        It is 0 unless all upstreams that take work asked for a pause.
        """
        ends_s = [
            view.paused_until_s
            for view in self.views.values()
            if self._takes_work(view, _ANY_REQUEST)
        ]
        return max(0.0, min(ends_s, default=now_s) - now_s)

    def _usable(self, view: UpstreamView, wanted: Wanted, *, now_s: float) -> bool:
        if not self._takes_work(view, wanted) or view.is_paused(now_s=now_s):
            return False
        return not view.is_cold(now_s=now_s) or self._cold.has_room(
            view.registration.id, ramp_hz=view.ramp_hz, now_s=now_s
        )

    def _sound(self, view: UpstreamView, *, now_s: float) -> bool:
        if now_s < view.silent_until_s:
            return False
        return not self.outliers.is_ejected(view.upstream.id, now_s=now_s)

    def usable(self, wanted: Wanted, *, now_s: float) -> list[UpstreamView]:
        """Return the upstreams to compare for a request, the preferred ones.

        Those that failed lately are left out as long as there are others.
        """
        width = self.shortlist.width(now_s=now_s)
        usable: list[UpstreamView] = []
        sound: list[UpstreamView] = []
        for view in self.shortlist.order:
            if not self._usable(view, wanted, now_s=now_s):
                continue
            usable.append(view)
            if self._sound(view, now_s=now_s):
                sound.append(view)
                if len(sound) >= width:
                    break
        return sound or usable

    def to_probe(
        self, wanted: Wanted, *, count: int, now_s: float
    ) -> list[UpstreamView]:
        """Return the upstreams to ask before a request is placed.

        Those that have just reported need not be asked.

        Parameters
        ----------
        wanted : Wanted
            The request.
        count : int
            Upstreams to ask at most.
        now_s : float
            Present time.
        """
        usable = [
            view
            for view in self.usable(wanted, now_s=now_s)
            if view.report_age_s(now_s=now_s) > FRESH_S
        ]
        if len(usable) <= count:
            return usable
        expected = expectations(usable, wanted, slowdown=self.slowdown, now_s=now_s)
        spread = {
            v.registration.id: self._penalty(v)
            * expected(v)
            * (1.0 + JITTER * self._rng.random())
            * (1.0 + OWN_REQUEST_FACTOR * v.load.in_flight)
            for v in usable
        }
        usable.sort(key=lambda v: spread[v.registration.id])
        # One at random keeps what is remembered of the others from ageing.
        others = usable[count - 1 :]
        idle = [v for v in others if v.load.in_flight == 0]
        return [*usable[: count - 1], self._rng.choice(idle or others)]

    def choose(
        self, wanted: Wanted, *, now_s: float, fresh_only: bool = False
    ) -> Chosen | None:
        """Choose the upstream with the least expected time to an answer.

        Parameters
        ----------
        wanted : Wanted
            The request.
        now_s : float
            Present time.
        fresh_only : bool
            Whether only upstreams that have just reported count.

        Returns
        -------
        Chosen or None
            ``None`` if no upstream has room for it.
        """
        usable = self.usable(wanted, now_s=now_s)
        fresh = [v for v in usable if v.report_age_s(now_s=now_s) <= FRESH_S]
        compared = fresh or ([] if fresh_only else usable)
        expected = expectations(compared, wanted, slowdown=self.slowdown, now_s=now_s)
        costs = [
            (
                self._penalty(view)
                * expected(view)
                * self._crowding(view, now_s=now_s),
                self._rng.random(),
                view,
            )
            for view in compared
            if self._has_room(view, wanted, now_s=now_s)
            and expected(view) <= wanted.within_s
        ]
        if not costs:
            return None
        _, _, view = min(costs, key=lambda item: item[:2])
        return Chosen(
            view=view,
            expected_s=expected(view),
            candidates=len(compared),
        )

    def has_good(self, wanted: Wanted, *, now_s: float) -> bool:
        """Tell whether an upstream is as good as one may hope for."""
        return any(
            self.is_good(view, wanted, now_s=now_s)
            for view in self.usable(wanted, now_s=now_s)
        )

    def is_good(self, view: UpstreamView, wanted: Wanted, *, now_s: float) -> bool:
        """Tell whether an upstream is as good as one may hope for.

        It is idle enough, works at the usual pace, and has not failed lately.
        """
        if (
            view.pace > GOOD_PACE
            or view.ill
            or view.report_age_s(now_s=now_s) > FRESH_S
        ):
            return False
        if view.load.in_flight + view.load.others + 1 > GOOD_FILL * view.load.slots:
            return False
        if self.outliers.state(view.upstream.id).success < GOOD_SUCCESS:
            return False
        sound = self._sound(view, now_s=now_s)
        return sound and self._usable(view, wanted, now_s=now_s)

    def _has_room(self, view: UpstreamView, wanted: Wanted, *, now_s: float) -> bool:
        left = view.load.left(work_s=wanted.work_s, now_s=now_s)
        slots = view.load.slots
        usable = self.slowdown.usable_slots(slots)
        room = float(max(1, usable - wanted.spared_slots))
        if room == slots:
            room *= 1.0 + wanted.queue_slots
        # A request that may have ended in part has not left its slot.
        return -(-left // 1.0) < room

    def _crowding(self, view: UpstreamView, *, now_s: float) -> float:
        """Return how much an upstream stands back for being nearly full."""
        requests = view.load.estimate(usual_others=0.0, now_s=now_s)
        filled = min(1.0, (requests + 1.0) / view.load.slots)
        return 1.0 + CROWDING * filled**2

    def _penalty(self, view: UpstreamView) -> float:
        """Return how much an upstream stands back behind others, as a factor."""
        success = self.outliers.state(view.upstream.id).success
        penalty = 1.0 + FAILURE_FACTOR * (1.0 - success)
        if view.ill:
            penalty *= ILL_FACTOR
        if view.registration.data_centre != self._data_centre:
            penalty *= REMOTE_FACTOR
        return penalty

    def start(self, view: UpstreamView, *, now_s: float) -> bool:
        """Count a request to an upstream; tell whether it may still be sent."""
        if view.is_cold(now_s=now_s) and not self._cold.take(
            view.registration.id, ramp_hz=view.ramp_hz, now_s=now_s
        ):
            return False
        view.load.in_flight += 1
        return True

    def give_back(self, view: UpstreamView) -> None:
        """Take back a request that was counted and not sent."""
        view.load.in_flight -= 1

    def finish(self, view: UpstreamView, result: Result, *, now_s: float) -> bool:
        """Count the end of a request; tell whether the upstream was ejected."""
        view.load.in_flight -= 1
        name = view.upstream.id
        if result is Result.ANSWERED:
            self.outliers.on_success(name)
            return False
        if result in (Result.CANCELLED, Result.SHED):
            # Who sheds says so at once, and may well take the next request.
            return False
        if result is Result.UNREACHABLE:
            view.on_silence(now_s=now_s)
        return self.outliers.on_failure(
            view.upstream, service_size=len(self.views), now_s=now_s
        )

    def learn(
        self, work: WorkEstimate, latency_s: float, *, pace: float, busy: Busy
    ) -> None:
        """Take in how long an answer took.

        Parameters
        ----------
        work : WorkEstimate
            What is known of the request's route.
        latency_s : float
            Time of the answer.
        pace : float
            Pace that the upstream reported when it got the request.
        busy : Busy
            How busy it was then.
        """
        slowdown = self.slowdown.factor(busy.requests, slots=busy.slots, cold=busy.cold)
        if pace <= GOOD_PACE and busy.report_age_s <= FRESH_S:
            self.slowdown.on_answer(
                latency_s / (max(0.5, pace) * work.mean_s),
                requests=busy.requests,
                slots=busy.slots,
                cold=busy.cold,
            )
        work.on_answer(latency_s, pace=pace * slowdown)

    def on_report(
        self, view: UpstreamView, report: LoadReport, *, now_s: float
    ) -> None:
        """Take in what an upstream says of itself."""
        view.on_report(report, now_s=now_s)

    def on_notice(self, view: UpstreamView, notice: Notice, *, now_s: float) -> bool:
        """Take in what an upstream asks for; tell whether that is new."""
        before = (view.leaving, view.is_paused(now_s=now_s))
        view.on_notice(notice, now_s=now_s)
        if notice.leaving:
            self._left_at_s[start_of(view.registration)] = now_s
        return before != (view.leaving, view.is_paused(now_s=now_s))
