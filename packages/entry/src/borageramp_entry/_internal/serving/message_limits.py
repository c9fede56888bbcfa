"""Limits on what a message of HTTP/1.1 may have beside its body."""

__all__ = ["ExcessiveFramingError", "FramingMeter", "TooManyHeadersError"]

MAX_HEADERS = 256
# Bytes without any of the body: a head, an extension of a chunk, or trailers.
MAX_BODILESS_BYTES = 65_536
# Bytes beside the body in all, and as many again for each byte of the body.
MAX_FRAMING_BYTES = 131_072
# Parts of a body beyond one for each read, and one more for so many bytes: a part costs
# processor time whatever its size.
MAX_EXTRA_PARTS = 8192
BYTES_PER_EXTRA_PART = 16


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
        self._extra_parts = 0
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
        """Count a part of the body.

        Raises
        ------
        ExcessiveFramingError
            If there are too many for its size.
        """
        self._body_bytes += size
        self._extra_parts += self._in_body
        self._in_body = True
        allowed = MAX_EXTRA_PARTS + self._body_bytes // BYTES_PER_EXTRA_PART
        if self._extra_parts > allowed:
            raise ExcessiveFramingError("parts of the body")

    def on_read(self, size: int) -> None:
        """Count bytes that were read, once they have been parsed.

        Those with which the message began may belong to the one before.

        Raises
        ------
        ExcessiveFramingError
            If too many of them are beside the body.
        """
        in_body, self._in_body = self._in_body, False
        if self._began:
            self._began = False
            return
        self._read_bytes += size
        self._bodiless_bytes = 0 if in_body else self._bodiless_bytes + size
        if self._bodiless_bytes > MAX_BODILESS_BYTES:
            raise ExcessiveFramingError("bytes without any of the body")
        if self._read_bytes > MAX_FRAMING_BYTES + 2 * self._body_bytes:
            raise ExcessiveFramingError("bytes beside the body")
