"""Log output of a node process."""

import contextlib
import logging
import os
import sys

import eliot
from eliot.stdlib import EliotHandler

__all__ = ["LogSink", "log_exception", "start_log"]

# Lines beyond this are dropped while the reader lags behind: the node must neither
# block on its log nor use more and more memory for it.
MAX_UNREAD_BYTES = 256 * 1024


class LogSink:
    """Writer of whole lines to a descriptor that never blocks on the reader.

    :param descriptor: descriptor to write to; it is set to non-blocking mode.
    :param max_unread_bytes: bytes buffered for a reader that lags behind.
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
        """Write or buffer one line, or drop it when the buffer is full."""
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
        """Write as much of the buffer as the descriptor accepts now."""
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            while self.unread:
                written = os.write(self.descriptor, self.unread)
                del self.unread[:written]


def start_log(descriptor: int) -> None:
    """Send the log of this process to a descriptor.

    That of libraries goes there as well, with warnings and exceptions that nobody can
    catch: their default is the standard error, whose writes wait for its reader.
    """
    eliot.to_file(LogSink(descriptor))
    logging.getLogger().addHandler(EliotHandler())
    logging.captureWarnings(True)
    sys.unraisablehook = log_unraisable


def log_exception() -> None:
    """Log the exception that is being handled, unless that fails as well.

    Whoever handles one goes on, and memory may be too short to describe it.
    """
    with contextlib.suppress(Exception):
        eliot.write_traceback()


def log_unraisable(unraisable) -> None:
    """Log an exception that nobody can catch.

    :param unraisable: what :data:`sys.unraisablehook` is told.
    """
    eliot.log_message(
        "log: exception ignored",
        place=repr(unraisable.object),
        why=repr(unraisable.exc_value),
    )
