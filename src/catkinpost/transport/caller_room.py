"""Room for the connections of callers, and which of them make it for others."""

import math
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.answer_memory import STALL_TIMEOUT_S
from catkinpost.transport.acceptor import CallerGate
from catkinpost.transport.http_connection import (
    RECEIVE_BUFFER_BYTES,
    Connection,
    Phase,
)
from catkinpost.transport.linger import Linger
from catkinpost.transport.parse_turn import rate_work
from catkinpost.transport.socket_io import count_unread_bytes

__all__ = [
    "MIN_IDLE_S",
    "MIN_UNREAD_S",
    "RESERVED_DESCRIPTORS",
    "SHORTAGE_FAILURE",
    "UNCOUNTED_CONNECTIONS",
    "CallerRoom",
]

# A caller that has just connected, or been answered, is likely to send next.
MIN_IDLE_S = 0.2
MAX_CLOSED_AT_ONCE = 16
# Work of an unfinished request, as turns at parsing rate it, that no ordinary one has.
MIN_COSTLY_WORK = 4
# Time in which the head of a request comes whole, unless packets are lost or its caller
# lets others wait.
MIN_UNREAD_S = 1.0
# Descriptors for connections that a node needs to answer its callers: to its server,
# peers and the store, and for readiness probes.
RESERVED_DESCRIPTORS = 16
# Memory of a connection with its task, and of a small request on it.
CONNECTION_BYTES = 16 * 1024
# So many connections with a request hold little unread input, which takes a system call
# each to count.
UNCOUNTED_CONNECTIONS = 128
SHORTAGE_RETRY_AFTER_S = 0.5
SHORTAGE_FAILURE = Failure(
    reason=Reason.QUEUE_FULL,
    detail="the node has no room left for more callers",
    retry_after=SHORTAGE_RETRY_AFTER_S,
)


class CallerRoom:
    """Connections of callers, of which some make room while descriptors are short.

    :param reserved_descriptors: descriptors that callers leave free.
    :param max_connections: most connections of callers, ``None`` for no such bound.
    :ivar connections: connections that are served.
    :ivar lingers: connections that this side has closed and their callers have not.
    :ivar unread_bytes: input that the system held of callers when it was last counted.
    :ivar resumed_at: end of the latest pause of this process.
    :ivar gate: bound on connections of callers.
    """

    def __init__(
        self, *, reserved_descriptors: int, max_connections: int | None
    ) -> None:
        self.connections: set[Connection] = set()
        self.lingers: set[Linger] = set()
        self.unread_bytes = 0
        self.resumed_at = -math.inf
        self.gate = CallerGate(
            count_connections=self.count_connections,
            make_room=self.make_room_gently,
            reserved_descriptors=reserved_descriptors,
            max_connections=max_connections,
        )

    def count_connections(self) -> int:
        """Return the number of callers' connections, with those that are answered."""
        return len(self.connections) + len(self.lingers)

    @property
    def used_bytes(self) -> int:
        """Bytes of memory that the connections take, without what is counted else."""
        return self.count_connections() * CONNECTION_BYTES + self.unread_bytes

    def update_unread_bytes(self) -> None:
        """Count the input that the system holds, without that of reserved bodies."""
        active = [
            item.stream
            for item in self.connections
            if (item.phase is not Phase.IDLE or item.memory_wait is not None)
            and not item.has_wide_buffer
        ]
        if len(active) <= UNCOUNTED_CONNECTIONS:
            self.unread_bytes = 0
            return
        try:
            self.unread_bytes = sum(count_unread_bytes(stream) for stream in active)
        except OSError:
            self.unread_bytes = len(active) * 2 * RECEIVE_BUFFER_BYTES

    def count_unread_bytes(self) -> int | None:
        """Return the bytes that callers have sent and this process has not read.

        :return: the number, ``None`` when the system does not tell it.
        """
        streams = [item.stream for item in (*self.connections, *self.lingers)]
        try:
            return sum(count_unread_bytes(stream) for stream in streams)
        except OSError:
            return None

    def make_room_gently(self) -> int:
        """Make room for a caller that can wait."""
        return self.make_room(MIN_IDLE_S)

    def make_room(self, min_linger_s: float = 0.0) -> int:
        """Close connections whose callers hold them up, and return their number.

        Those go first on which nothing is due: answered ones that await the close of
        their callers, and then idle ones. Those follow whose request has not come for
        some time or costs much to parse, which are told so, and those whose caller
        takes nothing. Of each kind those go first that have waited for the longest
        time, or cost most.

        :param min_linger_s: seconds that callers have for their close.
        """
        now = trio.current_time()
        if closed := self.close_lingers(now, min_linger_s):
            return closed
        if idle := self.find_oldest(Phase.IDLE, now - MIN_IDLE_S):
            for connection in idle:
                self.close_overdue(connection)
            return len(idle)
        if unread := self.find_oldest(
            Phase.READING, now - MIN_UNREAD_S, lambda item: item.is_unread
        ):
            for connection in unread:
                connection.drop_unread(SHORTAGE_FAILURE)
            return len(unread)
        if costly := self.find_costly():
            for connection in costly:
                connection.drop_unread(SHORTAGE_FAILURE)
            return len(costly)
        stalled = self.find_oldest(
            Phase.SENDING,
            now - STALL_TIMEOUT_S,
            lambda item: self.is_stalled(item, now),
        )
        return sum(item.give_up() for item in stalled)

    def close_lingers(self, now: float, min_linger_s: float) -> int:
        """Close connections whose callers have their last answer, and return how many.

        Callers that go on sending behind it have some time to read it.
        """
        delivered = []
        for linger in self.lingers:
            elapsed_s = now - linger.begun_at
            is_due = not linger.is_pending or elapsed_s >= MIN_UNREAD_S
            if is_due and elapsed_s >= min_linger_s and not linger.unsent_bytes:
                delivered.append(linger)
        delivered.sort(key=lambda item: item.begun_at)
        for linger in delivered[:MAX_CLOSED_AT_ONCE]:
            linger.scope.cancel()
        return len(delivered[:MAX_CLOSED_AT_ONCE])

    def find_oldest(
        self,
        phase: Phase,
        since: float,
        may_close: Callable[[Connection], bool] = lambda item: True,
    ) -> list[Connection]:
        """Return some of the connections that have been in a phase for longest.

        :param phase: phase in which their callers hold them up.
        :param since: time before which the phase has begun.
        :param may_close: whether a connection may be among them.
        """
        found = [
            item
            for item in self.connections
            if item.phase is phase
            and item.phase_started_at < since
            and not item.scope.cancel_called
            and may_close(item)
            # The last check takes a system call.
            and not (item.is_awaiting_request and item.is_ending)
        ]
        found.sort(key=lambda item: item.phase_started_at)
        return found[:MAX_CLOSED_AT_ONCE]

    def find_costly(self) -> list[Connection]:
        """Return some of the connections whose unfinished requests cost most to parse.

        Their input waits for turns, so they neither end nor stop coming.
        """
        works = {
            item: rate_work(item.parser)
            for item in self.connections
            if item.phase is Phase.READING and not item.closing
        }
        costly = [item for item, work in works.items() if work >= MIN_COSTLY_WORK]
        costly.sort(key=works.__getitem__, reverse=True)
        return costly[:MAX_CLOSED_AT_ONCE]

    def is_stalled(self, connection: Connection, now: float) -> bool:
        """Return whether a caller has taken nothing of an answer for some time."""
        connection.update_taken_at(now)
        taken_at = max(connection.progressed_at, connection.taken_at, self.resumed_at)
        return now - taken_at > STALL_TIMEOUT_S

    def keep_descriptors_free(self) -> None:
        """Close connections on which nothing is due while descriptors are short."""
        if not self.connections:
            return
        socket = next(iter(self.connections)).stream.socket
        if socket.fileno() < 0 or self.gate.has_free(
            socket, self.gate.reserved_descriptors
        ):
            return
        if closed := self.make_room():
            log_message("http: closed for descriptors", count=closed)

    def close_overdue(self, connection: Connection) -> None:
        """Close a connection that makes no progress."""
        if connection.phase is Phase.IDLE:
            # A request that arrives before its task runs would be discarded.
            connection.end_sending()
        connection.overdue = True
        connection.closing = True
        connection.scope.cancel()
