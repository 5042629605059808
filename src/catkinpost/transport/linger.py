"""Graceful close of a connection, without a reset that destroys sent bytes."""

import fcntl
import struct
import termios

import trio
from eliot import log_message

from catkinpost.transport.socket_io import receive_some

__all__ = ["LINGER_TIMEOUT_S", "Linger", "has_data_in_flight"]

# Time for a caller to close its side after everything sent was acknowledged.
LINGER_TIMEOUT_S = 5.0
DISCARD_READ_BYTES = 65536
# The end of the stream takes one place in the send queue until it is acknowledged.
END_OF_STREAM_BYTES = 1
QUEUE_SIZE = struct.Struct("i")


class Linger:
    """Close of a connection by this side.

    The kernel resets a connection that is closed with unread input, or that receives
    input afterwards. The reset discards sent bytes that the caller has not received.
    Therefore only the sending side is closed, and input is discarded until the caller
    closes.

    :param stream: connection to close; the caller of ``run`` closes it afterwards.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.caller_has_closed = False

    @property
    def unsent_bytes(self) -> int:
        """Number of sent bytes that the caller's system has not acknowledged."""
        queued_bytes = count_unacknowledged_bytes(self.stream.socket)
        return max(0, queued_bytes - END_OF_STREAM_BYTES)

    @property
    def is_pending(self) -> bool:
        """Whether sent bytes are on their way or input is unread."""
        return self.unsent_bytes > 0 or self.stream.socket.is_readable()

    async def run(self, delivery_timeout_s: float) -> None:
        """Close the sending side and discard input until the caller closes.

        This ends after ``LINGER_TIMEOUT_S`` at most, or later while sent bytes are on
        their way to a caller that reads slowly.

        :param delivery_timeout_s: seconds after which this ends in any case.
        :raises trio.BrokenResourceError: when the caller has reset the connection.
        """
        await self.stream.send_eof()
        try:
            with trio.move_on_after(delivery_timeout_s):
                await self.discard_input()
                while self.unsent_bytes and not self.caller_has_closed:
                    await self.discard_input()
        finally:
            self.log_unread_input()

    async def discard_input(self) -> None:
        """Discard input until the caller closes, for ``LINGER_TIMEOUT_S`` at most."""
        with trio.move_on_after(LINGER_TIMEOUT_S):
            try:
                while await receive_some(self.stream, DISCARD_READ_BYTES):
                    pass
            except trio.BrokenResourceError:
                # After a reset by the caller there is nothing left to deliver.
                pass
            self.caller_has_closed = True

    def log_unread_input(self) -> None:
        """Log that closing the connection now resets it, as input is unread."""
        if not self.caller_has_closed and self.stream.socket.is_readable():
            log_message(
                "http: closed with unread input", unsent_bytes=self.unsent_bytes
            )


def has_data_in_flight(socket: trio.socket.SocketType) -> bool:
    """Return whether input is unread or sent bytes are not acknowledged.

    :param socket: connected socket whose sending side is open.
    """
    return socket.is_readable() or count_unacknowledged_bytes(socket) > 0


def count_unacknowledged_bytes(socket: trio.socket.SocketType) -> int:
    """Return the size of the send queue, with bytes that were sent once already."""
    size = fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    return QUEUE_SIZE.unpack(size)[0]
