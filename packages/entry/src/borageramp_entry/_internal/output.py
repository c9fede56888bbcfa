"""Log output that never blocks."""

import os

__all__ = ["BoundedOutput"]


class BoundedOutput:
    """Writes lines to a descriptor; drops those that its reader can't take.

    Parameters
    ----------
    descriptor : int
        Where to write.
    max_held_bytes : int
        Bytes held back for a slow reader.

    Attributes
    ----------
    dropped : int
        Lines dropped.
    """

    def __init__(self, *, descriptor: int, max_held_bytes: int = 65_536) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_held_bytes = max_held_bytes
        self._held = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write text, or drop it."""
        line = text.encode("utf-8", "backslashreplace")
        if len(self._held) + len(line) > self._max_held_bytes:
            self._send()
        if len(self._held) + len(line) > self._max_held_bytes:
            self.dropped += 1
            return
        self._held += line

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it."""
        self._send()

    def _send(self) -> None:
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads; the process goes on without its log.
                self.dropped += self._held.count(b"\n")
                self._held = b""
                return
            self._held = self._held[written:]
