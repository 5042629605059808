"""Graceful close of a connection, without a reset that destroys sent bytes."""

import functools
import termios

import trio
from eliot import log_message

from catkinpost.transport.socket_io import read_queue_size, receive_some

__all__ = [
    "LINGER_TIMEOUT_S",
    "Linger",
    "count_unacknowledged_bytes",
    "has_data_in_flight",
]

# Time for a caller to close its side after everything sent was acknowledged.
LINGER_TIMEOUT_S = 5.0
PROGRESS_CHECK_INTERVAL_S = 0.5
DISCARD_READ_BYTES = 65536
ACKNOWLEDGEMENT_CHECK_INTERVAL_S = 0.01
# The end of the stream takes one place in the send queue until it is acknowledged.
END_OF_STREAM_BYTES = 1


class Linger:
    """Close of a connection by this side.

    The kernel resets a connection that is closed with unread input, or that receives
    input afterwards. The reset discards sent bytes that the caller has not received.
    Therefore only the sending side is closed, and input is discarded until the caller
    closes.

    :param stream: connection to close; the caller of ``run`` closes it afterwards.
    :param is_announced: whether the last response told the caller of the close.
    :ivar was_pending: whether sent bytes were on their way at the close.
    :ivar scope: cancelling it ends ``run``.
    :ivar begun_at: time at which the close began.
    """

    def __init__(
        self, stream: trio.SocketStream, *, is_announced: bool = False
    ) -> None:
        self.stream = stream
        self.is_announced = is_announced
        self.caller_has_closed = False
        self.was_pending = False
        self.scope = trio.CancelScope()
        self.begun_at = trio.current_time()

    @property
    def unsent_bytes(self) -> int:
        """Number of sent bytes that the caller's system has not acknowledged.

        It is 0 when the number is unknown, so that nothing waits for it for ever.
        """
        queued_bytes = count_unacknowledged_bytes(self.stream.socket)
        return max(0, (queued_bytes or 0) - END_OF_STREAM_BYTES)

    @property
    def is_pending(self) -> bool:
        """Whether sent bytes are on their way or input is unread."""
        return self.unsent_bytes > 0 or self.stream.socket.is_readable()

    @property
    def awaits_caller(self) -> bool:
        """Whether the caller may not have read everything.

        What its system has acknowledged is lost to it if it writes again after a reset,
        as many clients then drop what they have not read.
        """
        is_recent = self.is_announced or self.was_pending
        return is_recent and not self.caller_has_closed

    async def run(self, delivery_timeout_s: float) -> None:
        """Close the sending side and discard input until the caller closes.

        This ends after ``LINGER_TIMEOUT_S`` at most, or later while a caller that reads
        slowly takes what was sent.

        :param delivery_timeout_s: seconds after which this ends if the caller has taken
            nothing meanwhile.
        :raises trio.BrokenResourceError: when the caller has reset the connection.
        """
        self.was_pending = self.unsent_bytes > 0
        await self.stream.send_eof()
        wait_s = min(LINGER_TIMEOUT_S, delivery_timeout_s)
        taken_at = trio.current_time()
        try:
            with self.scope:
                while not self.caller_has_closed:
                    unsent = self.unsent_bytes
                    ends_at = taken_at + (delivery_timeout_s if unsent else wait_s)
                    now = trio.current_time()
                    if now >= ends_at:
                        break
                    with trio.move_on_at(min(ends_at, now + PROGRESS_CHECK_INTERVAL_S)):
                        await self.discard_input()
                    if self.unsent_bytes < unsent:
                        taken_at = trio.current_time()
        finally:
            self.log_unread_input()

    async def deliver(self) -> None:
        """Close the sending side and discard input until everything sent has arrived.

        Unlike ``run``, this does not wait for a peer that keeps the connection open,
        unless the number of unacknowledged bytes is unknown.

        :raises trio.BrokenResourceError: when the peer has reset the connection.
        """
        if not has_data_in_flight(self.stream.socket):
            return
        await self.stream.send_eof()
        while not self.caller_has_closed:
            with trio.move_on_after(ACKNOWLEDGEMENT_CHECK_INTERVAL_S):
                await self.discard_input()
            queued_bytes = count_unacknowledged_bytes(self.stream.socket)
            if queued_bytes is not None and queued_bytes <= END_OF_STREAM_BYTES:
                return

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
    """Return whether input is unread or sent bytes may not be acknowledged.

    :param socket: connected socket whose sending side is open.
    """
    if socket.fileno() < 0:
        return False
    return socket.is_readable() or count_unacknowledged_bytes(socket) != 0


def count_unacknowledged_bytes(socket: trio.socket.SocketType) -> int | None:
    """Return the size of the send queue, with bytes that were sent once already.

    :return: size in bytes, ``None`` when the system does not tell it.
    """
    if socket.fileno() < 0:
        # Another task has closed it.
        return 0
    try:
        return read_queue_size(socket, termios.TIOCOUTQ)
    except OSError as error:
        log_unknown_size(error.errno, error.strerror)
        return None


@functools.cache
def log_unknown_size(number: int, reason: str) -> None:
    """Log once for each error that the size of send queues is unknown."""
    log_message("linger: size of the send queue unknown", errno=number, why=reason)
