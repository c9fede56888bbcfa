"""Token requests between instances, as ``GET /quota`` with a small JSON answer.

Builds without quotas answer 404, which counts as no answer.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import parse_qs, quote

import msgspec
from msgspec import Meta

from borageramp_core.routing import ShardAnswer, ShardState
from borageramp_entry._internal.routed.forwarding_messages import (
    MalformedMessageError,
)
from borageramp_entry._internal.routed.message_struct import MessageStruct

__all__ = [
    "QUOTA_PATH",
    "TokenRequest",
    "decode_answer",
    "decode_request",
    "encode_answer",
    "encode_request",
]

QUOTA_PATH = "/quota"
# Requests of one workspace that wait at one instance at the same time.
MAX_TOKENS = 100_000

NotNegative = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Token request to the owner of a shard.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    count : int
        Tokens asked for.
    returned : int
        Tokens of earlier grants that were not used.
    """

    workspace: str
    count: int
    returned: int = 0


class _Answer(MessageStruct, frozen=True, kw_only=True):
    # Not a ShardState: later builds may have others.
    state: str
    granted: Annotated[int, Meta(ge=0, le=MAX_TOKENS)] = 0
    wait_s: NotNegative = 0.0
    left: NotNegative = 0.0
    share_used: NotNegative = 0.0


_decoder = msgspec.json.Decoder(_Answer)


def encode_request(request: TokenRequest) -> str:
    """Return the path and query of a token request."""
    name = quote(request.workspace, safe="")
    query = f"workspace={name}&count={request.count}&returned={request.returned}"
    return f"{QUOTA_PATH}?{query}"


def decode_request(target: str) -> TokenRequest:
    """Return the token request of a path with its query.

    Raises
    ------
    MalformedMessageError
        If an argument is missing or malformed.
    """
    args = parse_qs(target.partition("?")[2])
    workspace = args.get("workspace", [""])[0]
    if not workspace:
        raise MalformedMessageError("no workspace")
    return TokenRequest(
        workspace=workspace,
        count=_read_count(args, "count"),
        returned=_read_count(args, "returned"),
    )


def _read_count(args: Mapping[str, Sequence[str]], name: str) -> int:
    text = args.get(name, ["0"])[0]
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_TOKENS)):
        raise MalformedMessageError(f"{name} is no count")
    return min(MAX_TOKENS, int(text))


def encode_answer(answer: ShardAnswer) -> bytes:
    """Return the body of the answer to a token request."""
    message = _Answer(
        state=answer.state.value,
        granted=answer.granted,
        wait_s=round(answer.wait_s, 4),
        left=round(answer.left, 2),
        share_used=round(answer.share_used, 3),
    )
    return msgspec.json.encode(message)


def decode_answer(body: bytes) -> ShardAnswer:
    """Return the answer of a body.

    Raises
    ------
    MalformedMessageError
        If it is no answer.
    """
    try:
        message = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(str(error)) from error
    try:
        state = ShardState(message.state)
    except ValueError:
        state = ShardState.UNKNOWN
    return ShardAnswer(
        state=state,
        granted=message.granted,
        wait_s=message.wait_s,
        left=message.left,
        share_used=message.share_used,
    )
