"""The one run of a keyed request, apart from the caller that asked for it.

The run goes on when its caller leaves or its deadline passes, so that a
repeat can have the answer.
"""

import asyncio

from borageramp_core import KeptAnswer, RefusedError
from borageramp_entry._internal.serving.delivery import Delivered
from borageramp_entry._internal.serving.requests import AnswerHead, AnswerSink

__all__ = ["KeyedRun"]

QUEUED_PARTS = 16

_Part = AnswerHead | bytes | None


class KeyedRun:
    """Collects the answer of a keyed request and hands it to one reader.

    Parameters
    ----------
    kept_bytes : int
        Largest body that is kept for repeats.
    """

    def __init__(self, *, kept_bytes: int) -> None:
        self._kept_bytes = kept_bytes
        self._parts: asyncio.Queue[_Part] = asyncio.Queue(maxsize=QUEUED_PARTS)
        self._reading = True
        self._head: AnswerHead | None = None
        self._body: bytearray | None = bytearray()
        self._whole = False
        self.outcome: asyncio.Future[KeptAnswer | None] = (
            asyncio.get_running_loop().create_future()
        )
        # Nobody may be left to look at a refusal.
        self.outcome.add_done_callback(lambda f: f.exception())

    def start(self, head: AnswerHead) -> None:
        """Begin the answer."""
        self._head = head
        if self._reading:
            self._parts.put_nowait(head)

    async def write(self, chunk: bytes) -> None:
        """Take a part; waits for the reader while there is one."""
        self._keep(chunk)
        if self._reading:
            await self._parts.put(chunk)

    def _keep(self, chunk: bytes) -> None:
        if self._body is None:
            return
        if len(self._body) + len(chunk) > self._kept_bytes:
            self._body = None
            return
        self._body += chunk

    def finish(self) -> None:
        """End a whole answer."""
        self._whole = True

    def abort(self) -> None:
        """End an answer that was cut short."""
        self._whole = False

    @property
    def kept(self) -> KeptAnswer | None:
        """The whole answer, if it was kept."""
        if self._head is None or self._body is None or not self._whole:
            return None
        return KeptAnswer(
            status=self._head.status,
            headers=self._head.headers,
            body=bytes(self._body),
        )

    async def close(self, error: RefusedError | None) -> None:
        """End the run, with a refusal if there is no answer."""
        if error is not None:
            self.outcome.set_exception(error)
        else:
            self.outcome.set_result(self.kept)
        if self._reading:
            await self._parts.put(None)

    def detach(self) -> None:
        """Let the run go on without its reader."""
        self._reading = False
        while not self._parts.empty():
            self._parts.get_nowait()

    async def read_into(self, sink: AnswerSink, *, head_wait_s: float) -> Delivered:
        """Deliver the answer as it arrives.

        Parameters
        ----------
        sink : AnswerSink
            Where it goes.
        head_wait_s : float
            Time to wait for the head.

        Returns
        -------
        Delivered
            How much was delivered.

        Raises
        ------
        TimeoutError
            If no head came in time.
        RefusedError
            If the run was refused.
        """
        try:
            async with asyncio.timeout(head_wait_s):
                head = await self._parts.get()
            if not isinstance(head, AnswerHead):
                await self.outcome
                raise RuntimeError("a run ended without head or refusal")
            sink.start(head)
            part = await self._parts.get()
            while isinstance(part, bytes):
                await sink.write(part)
                part = await self._parts.get()
        finally:
            self.detach()
        if self._whole:
            sink.finish()
        else:
            sink.abort()
        return Delivered(whole=self._whole, status=head.status)
