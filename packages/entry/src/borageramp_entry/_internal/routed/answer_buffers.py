"""Memory for answers that are read before any of them is passed on."""

__all__ = ["AnswerBuffer", "AnswerBuffers"]

# An answer up to this size is buffered before any of it is sent to the caller, so
# that a truncated answer can be retried.
MAX_ANSWER_BYTES = 1_048_576
# All answers of an instance together; beyond it, an answer that holds more than the
# smaller size is passed on as it arrives.
MAX_TOTAL_BYTES = 33_554_432
MIN_ANSWER_BYTES = 65_536


class AnswerBuffers:
    """What all answers of an instance hold together.

    Attributes
    ----------
    held_bytes : int
        Bytes of answers that are held.
    max_held_bytes : int
        Bytes beyond which an answer holds only the smaller size.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.max_held_bytes = MAX_TOTAL_BYTES

    def open(self) -> "AnswerBuffer":
        """Return a buffer for an answer."""
        return AnswerBuffer(self)


class AnswerBuffer:
    """The first part of an answer.

    It counts for as long as something refers to it: until the answer was sent, or
    was given up, which has many causes.

    Parameters
    ----------
    buffers : AnswerBuffers
        What all answers hold.
    """

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._parts: list[bytes] = []
        self._held_bytes = 0
        # Counts the request as in flight while the rest of the answer arrives.
        self.flight: object | None = None

    def __del__(self) -> None:
        self.release()

    def release(self) -> None:
        """Count nothing more, as the answer is passed on as it arrives."""
        self._buffers.held_bytes -= self._held_bytes
        self._held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether no more of the answer is to be held."""
        if self._held_bytes > MAX_ANSWER_BYTES:
            return True
        crowded = self._buffers.held_bytes > self._buffers.max_held_bytes
        return crowded and self._held_bytes > MIN_ANSWER_BYTES

    def add(self, data: bytes) -> None:
        """Hold another part."""
        self._parts.append(data)
        self._held_bytes += len(data)
        self._buffers.held_bytes += len(data)

    def take(self) -> bytes:
        """Return all parts as one, which goes on to count."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data
