"""Idempotency keys of non-idempotent requests.

A bound key contains the incarnation of the only process that may run its
request, and the time of issue by the clock of that process. A plain key
contains neither and is first bound to a process through the key-value service.
"""

import hashlib
import re
from dataclasses import dataclass

__all__ = ["BoundKey", "key_prefix", "parse_key", "plain_key_id"]

_BOUND_KEY_PATTERN = re.compile(
    r"b1\.([0-9A-Za-z_-]{1,80})\.(\d{1,15})\.([0-9A-Za-z_-]{1,80})"
)


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundKey:
    """A key bound to the only process that may run its request.

    Attributes
    ----------
    incarnation : str
        Incarnation of the process.
    issued_ms : int
        Time of issue by the clock of that incarnation, in milliseconds.
    nonce : str
        Part that makes the key unique.
    """

    incarnation: str
    issued_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"{key_prefix(self.incarnation, self.issued_ms)}.{self.nonce}"


def key_prefix(incarnation: str, issued_ms: int) -> str:
    """Return the prefix of a bound key, to which a caller appends ``.nonce``."""
    return f"b1.{incarnation}.{issued_ms}"


def parse_key(text: str) -> BoundKey | None:
    """Parse a bound key.

    Parameters
    ----------
    text : str
        Value of the ``Idempotency-Key`` header.

    Returns
    -------
    BoundKey or None
        The key; ``None`` if the text is a plain key.
    """
    match = _BOUND_KEY_PATTERN.fullmatch(text)
    if match is None:
        return None
    incarnation, issued_ms, nonce = match.groups()
    return BoundKey(incarnation=incarnation, issued_ms=int(issued_ms), nonce=nonce)


def plain_key_id(*, service: str, key: str) -> str:
    """Return the name under which the store keeps a plain key."""
    return hashlib.blake2b(f"{service}\0{key}".encode(), digest_size=16).hexdigest()
