"""Log lines of a node's process."""

import contextlib
import os

import eliot

__all__ = ["LogSink", "start_log"]

# What a reader that is late may leave unread; more is dropped, as the node must
# neither wait for its log nor grow with it.
MAX_UNREAD_BYTES = 256 * 1024


class LogSink:
    """Writes whole lines to a descriptor and never waits for its reader.

    :param descriptor: where lines go; it is switched to non-blocking mode.
    :param max_unread_bytes: bytes that are kept for a reader that is late.
    """

    def __init__(
        self, descriptor: int, *, max_unread_bytes: int = MAX_UNREAD_BYTES
    ) -> None:
        self.descriptor = descriptor
        self.max_unread_bytes = max_unread_bytes
        self.unread = bytearray()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str | bytes) -> int:
        """Write or keep one line, or drop it when too much is unread."""
        line = text.encode() if isinstance(text, str) else text
        if not line:
            return 0
        if len(self.unread) + len(line) > self.max_unread_bytes:
            self.dropped_lines += 1
        else:
            if self.dropped_lines:
                notice = '{"message_type":"log: lines dropped","count":%d}\n'
                self.unread += (notice % self.dropped_lines).encode()
                self.dropped_lines = 0
            self.unread += line
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self.unread:
                written = os.write(self.descriptor, self.unread)
                del self.unread[:written]


def start_log(descriptor: int) -> None:
    """Send the log of this process to a descriptor."""
    eliot.to_file(LogSink(descriptor))
