"""Client of the shards of other instances."""

import asyncio

from borageramp_core.routing import Instance, ShardAnswer
from borageramp_entry._internal.addresses import split_address
from borageramp_entry._internal.logs import get_logger
from borageramp_entry._internal.routed.forwarding_messages import (
    MalformedMessageError,
)
from borageramp_entry._internal.routed.quota.messages import (
    TokenRequest,
    decode_answer,
    encode_request,
)
from borageramp_entry._internal.serving.http_client import (
    HttpClient,
    NotConnectedError,
)
from borageramp_entry._internal.serving.http_response import BrokenExchangeError

__all__ = ["ShardClient"]

_log = get_logger(__name__)

ASK_TIMEOUT_S = 0.15
# Instances keep idle connections of others for 60 s.
IDLE_TIMEOUT_S = 20.0
# Token requests for different workspaces at the same time.
MAX_IDLE_CONNECTIONS = 4
MAX_ANSWER_BYTES = 4096
STATUS_OK = 200


class ShardClient:
    """Asks other instances for tokens over HTTP."""

    def __init__(self) -> None:
        self._http = HttpClient(idle_s=IDLE_TIMEOUT_S, max_idle=MAX_IDLE_CONNECTIONS)

    async def ask(self, owner: Instance, request: TokenRequest) -> ShardAnswer | None:
        """Return the answer of an instance, or ``None`` if it gave none in time."""
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._ask(owner, request)
        except (
            NotConnectedError,
            BrokenExchangeError,
            MalformedMessageError,
            TimeoutError,
        ) as error:
            _log.info(
                "no quota answer",
                instance=owner.name,
                workspace=request.workspace,
                error=repr(error),
            )
            return None

    async def _ask(self, owner: Instance, request: TokenRequest) -> ShardAnswer:
        assert owner.peer_address is not None
        response = await self._http.request(
            split_address(owner.peer_address),
            "GET",
            encode_request(request),
            connect_timeout_s=ASK_TIMEOUT_S,
        )
        body = await response.read_all(max_bytes=MAX_ANSWER_BYTES)
        if response.status != STATUS_OK:
            raise MalformedMessageError(f"status {response.status}")
        return decode_answer(body)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()
