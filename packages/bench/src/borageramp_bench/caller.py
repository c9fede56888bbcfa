"""A caller, as the callers' interface asks for one."""

import http.client
import json
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Answer", "Caller"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What a caller got.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection failed.
    headers : dict
        Headers, with names in lower case.
    body : bytes
        The body.
    whole : bool
        Whether the body came to its end.
    request_id : str
        Identifier of the request.
    address : str
        Entry that was asked.
    first_byte_s, total_s : float
        Time to the first part of the body, and to the end.
    parts_at_s : tuple of float
        When each part came, from the start.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    request_id: str = ""
    address: str = ""
    first_byte_s: float = 0.0
    total_s: float = 0.0
    parts_at_s: tuple[float, ...] = ()

    @property
    def verdict(self) -> str:
        """What the entry says of whether the request ran."""
        return self.headers.get("borageramp-verdict", "")

    @property
    def reason(self) -> str:
        """Why the entry refused."""
        return self.headers.get("borageramp-reason", "")

    @property
    def data(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


class Caller:
    """Asks for addresses, keeps them a while, and sends requests.

    Parameters
    ----------
    first_address : str
        An entry to ask for addresses, as ``host:port``.
    data_centre : str
        Data centre nearest to the caller.
    """

    def __init__(self, *, first_address: str, data_centre: str = "") -> None:
        self._first_address = first_address
        self._data_centre = data_centre
        self._addresses: list[str] = []
        self._key_prefix = ""
        self._until_s = 0.0
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def addresses(self) -> list[str]:
        """Return the addresses to use, the best first."""
        if time.monotonic() >= self._until_s:
            self._ask()
        return self._addresses

    def new_key(self) -> str:
        """Return a new key for a non-idempotent request."""
        self.addresses()
        return f"{self._key_prefix}.{uuid.uuid4().hex}"

    def _ask(self) -> None:
        for address in (*self._addresses, self._first_address):
            try:
                path = f"/.borageramp/addresses?data_centre={self._data_centre}"
                answer = self.exchange(address, "GET", path, {}, timeout_s=2.0)
                told = answer.data
            except (OSError, http.client.HTTPException, ValueError):
                continue
            if told["addresses"]:
                self._addresses = [a["address"] for a in told["addresses"]]
                self._key_prefix = told["key_prefix"]
                self._until_s = time.monotonic() + told["ttl_s"]
                return

    def send(
        self,
        service: str,
        path: str,
        *,
        method: str = "GET",
        class_name: str | None = None,
        deadline_ms: int = 5000,
        key: str | None = None,
        body: bytes | None = None,
        address: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request to one entry.

        Returns
        -------
        Answer
            With status 0 if the connection failed.
        """
        request_id = uuid.uuid4().hex
        sent = {
            "Borageramp-Service": service,
            "Borageramp-Deadline-Ms": str(deadline_ms),
            "Borageramp-Request-Id": request_id,
            **(headers or {}),
        }
        if class_name:
            sent["Borageramp-Class"] = class_name
        if key:
            sent["Idempotency-Key"] = key
        target = address or self.addresses()[0]
        timeout_s = deadline_ms / 1000 + 5.0
        try:
            return self.exchange(target, method, path, sent, body, timeout_s)
        except (OSError, http.client.HTTPException):
            return Answer(status=0, request_id=request_id, address=target)

    def exchange(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None = None,
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send one request and read its answer part by part."""
        started_at_s = time.monotonic()
        connection = self._connections.pop(address, None)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port))
        connection.timeout = timeout_s
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        parts: list[bytes] = []
        parts_at_s: list[float] = []
        whole = True
        try:
            while part := response.read1(65536):
                parts.append(part)
                parts_at_s.append(time.monotonic() - started_at_s)
            whole = response.length in (None, 0)
        except (OSError, http.client.HTTPException):
            whole = False
        response.close()
        if whole and not response.will_close:
            self._connections[address] = connection
        else:
            connection.close()
        total_s = time.monotonic() - started_at_s
        return Answer(
            status=response.status,
            headers={k.lower(): v for k, v in response.getheaders()},
            body=b"".join(parts),
            whole=whole,
            request_id=headers.get("Borageramp-Request-Id", ""),
            address=address,
            first_byte_s=parts_at_s[0] if parts_at_s else total_s,
            total_s=total_s,
            parts_at_s=tuple(parts_at_s),
        )

    def close(self) -> None:
        """Close the connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
