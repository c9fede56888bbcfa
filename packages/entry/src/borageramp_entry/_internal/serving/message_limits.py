"""Limits on what a message of HTTP/1.1 may have beside its body."""

import asyncio

__all__ = ["READ_BYTES", "BoundedReads", "ExcessiveFramingError", "FramingMeter"]

# Bytes that are read and parsed before other connections have their turn.
READ_BYTES = 65_536
MAX_HEADERS = 256
# Bytes without any of the body: a head, an extension of a chunk, or trailers.
MAX_BODILESS_BYTES = 65_536
# Bytes beside the body in all, and as many again for each byte of the body.
MAX_FRAMING_BYTES = 131_072


class ExcessiveFramingError(Exception):
    """A message has too much beside its body.

    Parameters
    ----------
    what : str
        What there is too much of.
    """


class TooManyHeadersError(ExcessiveFramingError):
    """A message has too many headers and trailers."""


class FramingMeter:
    """Measures what a message has beside its body, while it arrives.

    Headers, trailers and the framing of chunks cost memory and processor time that
    the length of a body doesn't limit.
    """

    def __init__(self) -> None:
        self.start()

    def start(self) -> None:
        """Begin another message."""
        self._headers = 0
        self._read_bytes = 0
        self._body_bytes = 0
        self._bodiless_bytes = 0
        self._in_body = False
        self._began = True

    def on_header(self) -> None:
        """Count a header or trailer.

        Raises
        ------
        TooManyHeadersError
            If there are too many.
        """
        self._headers += 1
        if self._headers > MAX_HEADERS:
            raise TooManyHeadersError("headers")

    def on_body(self, size: int) -> None:
        """Count a part of the body."""
        self._body_bytes += size
        self._in_body = True

    def on_read(self, size: int) -> None:
        """Count bytes that were read, once they have been parsed.

        Those with which the message began may belong to the one before.

        Raises
        ------
        ExcessiveFramingError
            If too many of them are beside the body.
        """
        if self._began:
            self._began = False
            return
        self._read_bytes += size
        self._bodiless_bytes = 0 if self._in_body else self._bodiless_bytes + size
        self._in_body = False
        if self._bodiless_bytes > MAX_BODILESS_BYTES:
            raise ExcessiveFramingError("bytes without any of the body")
        if self._read_bytes > MAX_FRAMING_BYTES + 2 * self._body_bytes:
            raise ExcessiveFramingError("bytes beside the body")


# One for all connections: what is read there is copied before anything else is read.
_buffer = bytearray(READ_BYTES)


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol that takes in at most ``READ_BYTES`` at once."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where the next bytes are to be read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take in bytes that were read."""
        self.data_received(bytes(memoryview(_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the peer."""
        raise NotImplementedError
