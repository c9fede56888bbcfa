"""Search for an instance that reaches the upstreams of a service."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field

from borageramp_core import TokenBucket
from borageramp_core.routing import (
    Instance,
    PeerCandidate,
    PeerReport,
    PeerSelector,
    Reach,
    Standing,
)
from borageramp_entry._internal.logs import get_logger

__all__ = ["NoReportError", "PeerSearch"]

_log = get_logger(__name__)

# Instances that are asked at a time whether they reach a service.
ASK_COUNTS = (3, 6, 12)
# Instances known to reach a service, over which requests for it are spread; while fewer
# are known, each round asks some others as well.
MIN_KNOWN = 16
EXTRA_ASK_COUNT = 2
# Questions to instances that aren't known to reach the service, in a second and at
# once, for all services together.
EXPLORATION_HZ = 10.0
EXPLORATION_BURST = 2.0 * sum(ASK_COUNTS)

AskTask = asyncio.Task[PeerReport | None]


class NoReportError(Exception):
    """An instance didn't say what it reaches."""


@dataclass(kw_only=True, slots=True)
class _Tally:
    """What one search has asked and heard, for its log line."""

    request_id: str
    service: str
    started_at_s: float
    data_centres: Counter[str] = field(default_factory=Counter)
    reaching: int = 0
    not_reaching: int = 0
    unanswered: int = 0
    ended: str = "found"

    def add_ended(self, tasks: Collection[AskTask]) -> bool:
        """Count answers; return whether any instance reaches the service."""
        reaching_before = self.reaching
        for task in tasks:
            report = None if task.cancelled() else task.result()
            if report is None:
                self.unanswered += 1
            elif report.reach is Reach.NONE:
                self.not_reaching += 1
            else:
                self.reaching += 1
        return self.reaching > reaching_before


class PeerSearch:
    """Asks other instances whether they reach a service, until one does.

    Requests that search for the same service at the same time share the questions.

    Parameters
    ----------
    selector : PeerSelector
        Chooses the instances to ask, and one that reaches the service.
    ask : callable
        Asks an instance about a service; raises `NoReportError`.
    rng : random.Random
        Source of randomness.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    asked, unanswered : int
        Questions sent, and those without an answer.
    failed : int
        Searches that found no instance.
    """

    def __init__(
        self,
        *,
        selector: PeerSelector,
        ask: Callable[[Instance, str], Awaitable[PeerReport]],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._selector = selector
        self._rng = rng
        self._ask_instance = ask
        self._clock = clock
        # Full from the start, as an instance may start while it is cut off.
        self._exploration = TokenBucket(
            rate_hz=EXPLORATION_HZ,
            burst=EXPLORATION_BURST,
            now_s=clock() - EXPLORATION_BURST / EXPLORATION_HZ,
        )
        self._asks: dict[str, dict[str, AskTask]] = defaultdict(dict)
        self.asked = 0
        self.unanswered = 0
        self.failed = 0

    async def find(
        self,
        service: str,
        *,
        request_id: str,
        min_reach: Reach,
        excluded: Collection[str],
        max_rounds: int | None = None,
    ) -> Instance | None:
        """Return an instance that has just said that it reaches a service.

        Parameters
        ----------
        service : str
            Name of the service.
        request_id : str
            Identifier of the request, for the log.
        min_reach : Reach
            How much of it the instance has to reach.
        excluded : collection of str
            Names of instances to leave out.
        max_rounds : int, optional
            How often further instances are asked if none of those before will do; by
            default, up to three times.
        """

        def choose() -> Instance | None:
            return self._selector.choose(
                service, min_reach=min_reach, excluded=excluded, now_s=self._clock()
            )

        peer = choose()
        if peer is not None:
            return peer
        tally = _Tally(
            request_id=request_id,
            service=service,
            started_at_s=self._clock(),
            ended="limit",
        )
        for count in ASK_COUNTS[:max_rounds]:
            pending = self._start_round(
                service,
                count=count,
                min_reach=min_reach,
                excluded=excluded,
                tally=tally,
            )
            if not pending:
                tally.ended = "nobody_left"
                break
            peer = await _wait_for_choice(pending, choose, tally=tally)
            if peer is not None:
                tally.ended = "found"
                break
        self._log_end(tally, peer)
        return peer

    def _start_round(
        self,
        service: str,
        *,
        count: int,
        min_reach: Reach,
        excluded: Collection[str],
        tally: _Tally,
    ) -> set[AskTask]:
        """Start some questions; return these and those already under way."""
        under_way = set(self._asks[service].values())
        candidates = self._selector.to_ask(
            service,
            min_reach=min_reach,
            excluded={*excluded, *self._asks[service]},
            now_s=self._clock(),
        )
        reaching = [c for c in candidates if c.standing is Standing.REACHES]
        if reaching:
            chosen = self._among_known(candidates, reaching, count=count)
        else:
            chosen = [] if under_way else candidates[:count]
        return under_way | self._start_asks(chosen, service, tally=tally)

    def _among_known(
        self,
        candidates: list[PeerCandidate],
        reaching: list[PeerCandidate],
        *,
        count: int,
    ) -> list[PeerCandidate]:
        """Return some that reach a service, and others while few of these are known."""
        others = [
            c
            for c in candidates
            if c.standing not in (Standing.REACHES, Standing.MISSES)
        ]
        self._rng.shuffle(others)
        known = reaching[:count]
        min_others = EXTRA_ASK_COUNT if len(reaching) < MIN_KNOWN else 0
        return known + others[: max(min_others, count - len(known))]

    def _start_asks(
        self, candidates: Iterable[PeerCandidate], service: str, *, tally: _Tally
    ) -> set[AskTask]:
        tasks = set()
        for candidate in candidates:
            known = candidate.standing is Standing.REACHES
            if not known and not self._exploration.take(now_s=self._clock()):
                continue
            tally.data_centres[candidate.instance.data_centre] += 1
            tasks.add(self._start_ask(candidate.instance, service))
        return tasks

    def _start_ask(self, instance: Instance, service: str) -> AskTask:
        self.asked += 1
        task = asyncio.ensure_future(self._ask(instance, service))
        self._asks[service][instance.name] = task
        return task

    async def _ask(self, instance: Instance, service: str) -> PeerReport | None:
        try:
            report = await self._ask_instance(instance, service)
        except NoReportError as error:
            self.unanswered += 1
            _log.info(
                "no answer", instance=instance.name, service=service, error=str(error)
            )
            self._selector.on_no_answer(instance.name, service, now_s=self._clock())
            return None
        else:
            self._selector.on_report(
                instance.name, service, report, now_s=self._clock()
            )
            return report
        finally:
            del self._asks[service][instance.name]

    def _log_end(self, tally: _Tally, peer: Instance | None) -> None:
        self.failed += peer is None
        _log.info(
            "search ended",
            request_id=tally.request_id,
            service=tally.service,
            instance=peer.name if peer is not None else None,
            ended=tally.ended,
            asked=dict(tally.data_centres),
            reaching=tally.reaching,
            not_reaching=tally.not_reaching,
            unanswered=tally.unanswered,
            took_ms=round((self._clock() - tally.started_at_s) * 1000, 1),
        )

    def close(self) -> None:
        """End all questions."""
        for asks in self._asks.values():
            for task in asks.values():
                task.cancel()


async def _wait_for_choice(
    pending: set[AskTask], choose: Callable[[], Instance | None], *, tally: _Tally
) -> Instance | None:
    """Return the first instance that can be chosen while questions are answered."""
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if tally.add_ended(done) and (peer := choose()) is not None:
            return peer
    return None
