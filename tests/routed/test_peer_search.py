"""Search for an instance that reaches a service, with scripted answers."""

import asyncio
import random

from structlog.testing import capture_logs

from borageramp_core.routing import Instance, PeerReport, PeerSelector, Reach
from borageramp_entry._internal.routed.peer_search import NoReportError, PeerSearch
from tests.lib.routed import AWAY, make_instance

SERVICE = "records"


async def find(search: PeerSearch, **kwargs: int) -> Instance | None:
    return await search.find(
        SERVICE,
        request_id="r1",
        min_reach=Reach.PARTIAL,
        excluded=frozenset(),
        **kwargs,
    )


class Peers:
    """Instances that answer questions by a script; others reach nothing."""

    def __init__(self, *instances: Instance) -> None:
        self.reaching: set[str] = set()
        self.silent: set[str] = set()
        self.asked: list[str] = []
        self.selector = PeerSelector(own=make_instance("own"), rng=random.Random(1))
        self.selector.update(instances)

    def search(self) -> PeerSearch:
        return PeerSearch(
            selector=self.selector,
            ask=self._ask,
            rng=random.Random(1),
            clock=asyncio.get_running_loop().time,
        )

    async def _ask(self, instance: Instance, service: str) -> PeerReport:
        self.asked.append(instance.name)
        await asyncio.sleep(0.001)
        if instance.name in self.silent:
            raise NoReportError("silent")
        reach = Reach.FULL if instance.name in self.reaching else Reach.NONE
        return PeerReport(reach=reach, in_flight=0)


def test_a_search_says_whom_it_asked_and_why_it_ended() -> None:
    peers = Peers(
        make_instance("a"), make_instance("b"), make_instance("c", data_centre=AWAY)
    )
    peers.silent.add("b")

    async def run() -> None:
        search = peers.search()
        with capture_logs() as lines:
            assert await find(search) is None
        (line,) = (entry for entry in lines if entry["event"] == "search ended")
        assert line["request_id"] == "r1"
        assert line["ended"] == "nobody_left" and line["instance"] is None
        assert sum(line["asked"].values()) == 3 and line["asked"][AWAY] == 1
        assert (line["not_reaching"], line["unanswered"]) == (2, 1)
        assert (search.asked, search.unanswered, search.failed) == (3, 1, 1)

    asyncio.run(run())


def test_a_search_says_whom_it_found() -> None:
    peers = Peers(make_instance("a"))
    peers.reaching.add("a")

    async def run() -> None:
        search = peers.search()
        with capture_logs() as lines:
            found = await find(search)
        assert found is not None and found.name == "a"
        (line,) = (entry for entry in lines if entry["event"] == "search ended")
        assert (line["ended"], line["instance"], line["reaching"]) == ("found", "a", 1)
        assert search.failed == 0

    asyncio.run(run())
