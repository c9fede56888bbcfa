"""What the stand-ins share: a reactor on asyncio, and JSON over HTTP."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

__all__ = ["ControlResource", "QuietSite", "run_standin"]


class QuietSite(Site):
    """A site without an access log."""

    def log(self, request: Any) -> None:
        """Log nothing."""


class ControlResource(Resource):
    """Takes commands as ``POST /NAME`` with JSON arguments.

    Parameters
    ----------
    commands : dict
        Functions by name, called with the arguments.
    """

    isLeaf = True

    def __init__(self, commands: dict[str, Callable[..., Any]]) -> None:
        super().__init__()
        self._commands = commands

    def render(self, request: Request) -> bytes:
        """Carry a command out."""
        name = request.path.decode().strip("/")
        content = request.content
        raw = content.read() if content is not None else b""
        result = self._commands[name](**json.loads(raw or b"{}"))
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(result).encode()


def run_standin(start: Callable[[Any], Any]) -> None:
    """Run a stand-in until it is killed.

    Parameters
    ----------
    start : callable
        Coroutine function that gets the reactor and starts the stand-in.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    tasks = []
    loop.call_soon(lambda: tasks.append(asyncio.ensure_future(start(reactor))))
    reactor.run()  # type: ignore[attr-defined,misc]
