"""Delivery of an upstream's answer, part by part."""

import asyncio
from dataclasses import dataclass

from borageramp_core import AttemptResult
from borageramp_entry._internal.serving.requests import AnswerSink
from borageramp_entry._internal.serving.tries import Try
from borageramp_entry._internal.serving.upstreams import TryFailedError

__all__ = ["BODY_IDLE_S", "Delivered", "deliver"]

# An upstream that sends nothing for this long has lost the answer.
BODY_IDLE_S = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivered:
    """What was delivered of an answer.

    Attributes
    ----------
    whole : bool
        Whether all of it was.
    status : int
        HTTP status.
    """

    whole: bool
    status: int


async def deliver(winner: Try, sink: AnswerSink) -> Delivered:
    """Pass an answer on as it arrives, and give the slot back.

    Parameters
    ----------
    winner : Try
        A try with the head of an answer.
    sink : AnswerSink
        Where the answer goes.

    Returns
    -------
    Delivered
        Whether the whole answer went through.
    """
    answer = winner.answer
    if answer is None:
        raise ValueError("the try has no answer")
    status = answer.head.status
    try:
        sink.start(answer.head)
        if not answer.ready:
            # The head goes out at once when the first part is far off.
            await sink.write(b"")
        while chunk := await answer.read(BODY_IDLE_S):
            await sink.write(chunk)
    except (TryFailedError, TimeoutError):
        winner.end(AttemptResult.DIED)
        sink.abort()
        return Delivered(whole=False, status=status)
    except asyncio.CancelledError:
        winner.end(AttemptResult.CANCELLED)
        raise
    winner.end(winner.head_result)
    sink.finish()
    return Delivered(whole=True, status=status)
