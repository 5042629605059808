"""Reading of callers' requests in parts, of which costly ones wait for others."""

import trio

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.http_connection import Connection, Phase
from catkinpost.transport.parse_turn import (
    FIRST_READ_BYTES,
    ParseTurns,
    compute_read_bytes,
    has_few_lines,
    rate_work,
)
from catkinpost.transport.socket_io import read_available, wait_for_input

__all__ = ["PartReader"]

# What is parsed at once is counted after it.
READ_BYTES = 16 * 1024
LARGE_READ_BYTES = 256 * 1024
# Callers that send less while they wait for a turn are slow themselves.
MIN_PART_BYTES = 1024
CROWD_FAILURE = Failure(
    reason=Reason.QUEUE_FULL,
    detail="too many requests in small parts wait to be read",
    retry_after=0.5,
)


class PartReader:
    """Reader of the connections of one server, whose requests it reads in parts.

    A part that begins a message is read at once and small. What continues a message is
    read in turns, see :class:`ParseTurns`. Nothing is held while a connection waits, so
    its input stays unread.

    :ivar turns: turns of all connections.
    :ivar is_last_read: whether the server stops, and discards what is left unread.
    """

    def __init__(self) -> None:
        self.turns = ParseTurns()
        self.is_last_read = False

    async def receive(self, connection: Connection) -> bytes:
        """Wait for bytes of a connection and read a part.

        The part is to be parsed before anything is waited for.

        :return: received bytes, empty at the end of the connection.
        :raises trio.BrokenResourceError: when the connection is lost.
        :raises trio.ClosedResourceError: when this side has closed it.
        """
        parser, stream = connection.parser, connection.stream
        while True:
            await wait_for_input(stream)
            waited_s = 0.0
            if parser.in_message and not connection.closing:
                waited_s = await self.take_turn(connection)
            data = read_available(stream, self.limit_read(connection))
            if data is None:
                continue
            if parser.in_message:
                connection.parts_read += 1
                if len(data) >= MIN_PART_BYTES:
                    connection.phase_started_at += waited_s
            if len(data) == FIRST_READ_BYTES and not parser.in_message:
                data += self.read_on(connection, data)
            return data

    def read_on(self, connection: Connection, data: bytes) -> bytes:
        """Read what follows the first bytes of a message, if a turn is free.

        An ordinary message does not wait for another step of the event loop then.
        """
        if not has_few_lines(data) or not self.turns.try_take(connection):
            return b""
        max_bytes = READ_BYTES - FIRST_READ_BYTES
        return read_available(connection.stream, max_bytes) or b""

    async def take_turn(self, connection: Connection) -> float:
        """Wait until it is a connection's turn, and return the seconds that it waited.

        They don't count as its caller's, unless hardly anything has come meanwhile.
        While very many wait, a costly message without reserved memory is refused.
        """
        if self.turns.try_take(connection):
            return 0.0
        work = rate_work(connection.parser)
        if work and connection.is_unread and self.turns.is_full:
            # This cancels the task, so that the wait below ends at once.
            connection.drop_unread(CROWD_FAILURE)
        waits_since = trio.current_time()
        await self.turns.wait(connection, work)
        if connection.phase is not Phase.READING:
            return 0.0
        waits_since = max(waits_since, connection.phase_started_at)
        return trio.current_time() - waits_since

    def end_turn(self, connection: Connection) -> None:
        """End the turn of a connection whose message is read whole or dropped."""
        self.turns.release(connection)

    def limit_read(self, connection: Connection) -> int:
        """Return the largest number of bytes to read next."""
        least = READ_BYTES if self.is_last_read else FIRST_READ_BYTES
        if not connection.parser.in_message:
            return least
        in_large_body = connection.reservation is not None
        most = LARGE_READ_BYTES if in_large_body else READ_BYTES
        return compute_read_bytes(connection.parser, least, most)
