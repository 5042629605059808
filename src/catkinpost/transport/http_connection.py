"""State of one connection of a caller."""

import enum
from collections import deque
from dataclasses import dataclass, field

import trio
from eliot import log_message

from catkinpost.protocol.http import HttpResponse, find_header
from catkinpost.protocol.outcome import Failure
from catkinpost.state.request_memory import Reservation
from catkinpost.transport.http_parser import RequestParser
from catkinpost.transport.linger import (
    count_unacknowledged_bytes,
    has_data_in_flight,
)
from catkinpost.transport.parse_turn import rate_work
from catkinpost.transport.socket_io import set_receive_buffer

__all__ = ["RECEIVE_BUFFER_BYTES", "Connection", "Exchange", "Phase"]

# Receive buffer of a caller's connection. What the system holds there counts towards
# the memory of the machine; ordinary requests fit.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Buffer while a longer rest of a body is due, whose memory is reserved. The window
# scale of the connection was fixed by the small one, so a larger one is not used.
BODY_BUFFER_BYTES = 64 * 1024
# Shorter deliveries end in time at any moment of a stop that still reads requests.
MIN_DELIVERY_S = 0.1


class Phase(enum.Enum):
    """Phase of a connection between idle and sending a response."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    SENDING = "sending"


@dataclass(eq=False, slots=True)
class Exchange:
    """One request of a connection and its response, ``None`` until it is ready.

    :param reservation: memory that was reserved while the body was read.
    :param is_refused: whether the request is refused without being handled.
    :param has_begun: whether its answer does not wait for the caller to take others.
    :param held_bytes: bytes of memory that it takes, without large bodies, until it was
        handled.
    :param answer_bytes: bytes for which its response is counted.
    """

    keep_alive: bool
    head_only: bool
    is_refused: bool = False
    has_begun: bool = True
    held_bytes: int = 0
    answer_bytes: int = 0
    reservation: Reservation | None = None
    response: HttpResponse | None = None

    def release_memory(self) -> None:
        """Release the memory that was reserved for the body, if any."""
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection.

    :param stream: the connection.
    :param parser: parser of the received bytes.
    :param phase: current phase.
    :param phase_started_at: time at which the phase began.
    :param scope: cancel scope of the tasks of the connection.
    :param exchanges: requests without a sent response, in the order of their arrival.
    :param sending: whether a response is being sent.
    :param is_refused: whether all requests are refused without being handled.
    :param closing: whether no further request is accepted.
    :param overdue: whether the connection is closed because it made no progress.
    :param is_close_announced: whether a response told the caller of the close.
    :param caller_has_closed: whether the caller has closed its sending side.
    :param awaits_continue: whether the caller waits for an interim response before it
        sends the body of the request that is being read.
    :param answer_taken: set when a response was sent, and replaced then.
    :param has_reader_task: whether the connection is read while requests are handled.
    :param reading_ended: whether the first task that reads the connection has ended.
    :param nursery: nursery of the tasks of the connection.
    :param reservation: memory for the request that is being read.
    :param parts_read: parts of unfinished requests that were read.
    :param parts_read_overdue: their number when the request was last seen to be overdue
        with unread input.
    :param body_read_at: time at which a part of a body was last read.
    :param memory_wait: cancel scope of the wait for that memory, if it waits.
    :param progressed_at: time at which the last piece of a large response was sent.
    :param taken_at: time at which the send queue was last seen to have shrunk.
    :param unsent_bytes: bytes in the send queue when it was last looked at.
    :param written_bytes: bytes written of the body of the response that is being sent.
    :param longest_delivery_s: longest time, as estimated, in which the caller's system
        has taken a response.
    :param idle_timeout: seconds for which the caller may take the connection as kept,
        by the limits in force when it last got an answer.
    :param refusal: what the caller is told of a request that was dropped before it was
        read whole.
    :param exchange_bytes: bytes of memory that the requests being handled take.
    :param has_wide_buffer: whether its receive buffer is that of a large body.
    :param had_data_in_flight: whether a close could destroy data when the sending side
        was closed; true until then.
    """

    stream: trio.SocketStream
    parser: RequestParser
    phase: Phase = Phase.IDLE
    phase_started_at: float = 0.0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    exchanges: deque[Exchange] = field(default_factory=deque)
    sending: bool = False
    is_refused: bool = False
    closing: bool = False
    overdue: bool = False
    is_close_announced: bool = False
    caller_has_closed: bool = False
    awaits_continue: bool = False
    answer_taken: trio.Event = field(default_factory=trio.Event)
    has_reader_task: bool = False
    reading_ended: bool = False
    nursery: trio.Nursery | None = None
    reservation: Reservation | None = None
    parts_read: int = 0
    parts_read_overdue: int = -1
    body_read_at: float = 0.0
    memory_wait: trio.CancelScope | None = None
    progressed_at: float = 0.0
    taken_at: float = 0.0
    unsent_bytes: int = 0
    written_bytes: int = 0
    longest_delivery_s: float = 0.0
    idle_timeout: float = 0.0
    refusal: Failure | None = None
    exchange_bytes: int = 0
    has_wide_buffer: bool = False
    had_data_in_flight: bool = True

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that its requests take, without large bodies."""
        parser = self.parser
        unfinished_bytes = parser.held_bytes if parser.in_message else 0
        return parser.ready_bytes + unfinished_bytes + self.exchange_bytes

    @property
    def is_unread(self) -> bool:
        """Whether it holds nothing but an incomplete request that can be dropped.

        A large body that is on its way comes slower, and has its own bound.
        """
        is_small = self.reservation is None and self.memory_wait is None
        return self.phase is Phase.READING and is_small and not self.closing

    def has_stalled_body(self, since: float) -> bool:
        """Whether no part of a body whose memory is reserved has come for some time.

        :param since: time before which the last part was read.
        """
        is_reading = self.phase is Phase.READING and not self.is_ending
        return is_reading and self.reservation is not None and self.body_read_at < since

    def may_become_whole(self) -> bool:
        """Return whether unread input of an overdue request may be the rest of it.

        It was in time then, and the process late. That holds for one read.
        """
        if not (self.is_awaiting_request and self.has_unread_input):
            return False
        is_read_since = 0 <= self.parts_read_overdue < self.parts_read
        self.parts_read_overdue = self.parts_read
        return not is_read_since

    @property
    def has_single_request(self) -> bool:
        """Whether exactly one request was received and none is in progress."""
        parser = self.parser
        no_other_request = not self.has_reader_task and not self.exchanges
        return no_other_request and len(parser.messages) == 1 and not parser.in_message

    @property
    def is_awaiting_request(self) -> bool:
        """Whether no complete request was received without a response."""
        return self.phase in (Phase.IDLE, Phase.READING)

    @property
    def is_handling(self) -> bool:
        """Whether a request is handled, or its response is not sent yet."""
        return any(not exchange.is_refused for exchange in self.exchanges)

    @property
    def has_unread_input(self) -> bool:
        """Whether input or the caller's close can be read now."""
        socket = self.stream.socket
        is_open = not self.closing and socket.fileno() >= 0
        return is_open and socket.is_readable()

    @property
    def is_ending(self) -> bool:
        """Whether it is closed already, or will be read in the next step."""
        return self.closing or self.has_unread_input

    @property
    def needs_linger(self) -> bool:
        """Whether a close by this side could destroy sent bytes.

        An idle timeout is the most common close and mostly has nothing to protect.
        """
        if self.caller_has_closed:
            return False
        is_expired = self.overdue and self.phase is Phase.IDLE
        if not is_expired or self.had_data_in_flight:
            return True
        socket = self.stream.socket
        return socket.fileno() >= 0 and socket.is_readable()

    @property
    def needs_reader_task(self) -> bool:
        """Whether nothing reads the connection while requests are handled."""
        is_read = self.has_reader_task or self.reading_ended
        return bool(self.exchanges) and not is_read

    @property
    def is_at_last_exchange(self) -> bool:
        """Whether no answer is due behind that of the first request.

        A request that waits for memory is answered in any case.
        """
        return len(self.exchanges) == 1 and self.memory_wait is None

    @property
    def has_answer_to_take(self) -> bool:
        """Whether an answer is due, or the caller's system has not taken all of it."""
        return bool(self.exchanges or count_unacknowledged_bytes(self.stream.socket))

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of responses, at most, that its caller's system has not taken.

        Those in the send queue, and those of bodies that have not been written.
        """
        responses = (item.response for item in self.exchanges)
        ready_bytes = sum(len(item.body) for item in responses if item is not None)
        queued_bytes = count_unacknowledged_bytes(self.stream.socket) or 0
        return ready_bytes - self.written_bytes + queued_bytes

    def update_taken_at(self, now: float) -> None:
        """Note whether the caller's system has taken a part since the last look."""
        unsent_bytes = count_unacknowledged_bytes(self.stream.socket) or 0
        if unsent_bytes < self.unsent_bytes:
            self.taken_at = now
        self.unsent_bytes = unsent_bytes

    def note_delivery(self, size: int, queued_bytes: int, sending_s: float) -> None:
        """Note what is left of a response that was written, and how long it takes.

        What is left in the send queue is taken at the same pace.

        :param size: size of the response, in bytes.
        :param queued_bytes: bytes of earlier responses in the send queue before it.
        :param sending_s: time in which all of it was written.
        """
        self.unsent_bytes = count_unacknowledged_bytes(self.stream.socket) or 0
        if sending_s < MIN_DELIVERY_S:
            return
        taken_bytes = queued_bytes + size - self.unsent_bytes
        if taken_bytes > 0:
            delivery_s = sending_s * size / taken_bytes
            self.longest_delivery_s = max(self.longest_delivery_s, delivery_s)

    def notify_taken(self) -> None:
        """Wake the requests that wait for a response to be sent."""
        self.answer_taken.set()
        self.answer_taken = trio.Event()

    def give_up(self) -> bool:
        """Close the connection without the rest of its responses, unless none is due.

        A response that waits behind a request at work is not for the caller to take.
        """
        if not self.sending:
            return False
        self.closing = True
        self.scope.cancel()
        return True

    def end_sending(self) -> None:
        """Close the sending side at once, before any other task runs."""
        # The end of the stream is in flight itself from now on.
        self.had_data_in_flight = has_data_in_flight(self.stream.socket)
        try:
            self.stream.socket.shutdown(trio.socket.SHUT_WR)
        except OSError as error:
            log_message("http: closed by its caller before", why=repr(error))

    def drop_unread(self, failure: Failure) -> None:
        """Drop the incomplete request and close the connection.

        :param failure: what the caller is told.
        """
        self.refusal = failure
        self.closing = True
        self.drop_unfinished_body()
        self.parser.drop_requests()
        self.scope.cancel()

    def close(self) -> None:
        """Drop all requests and responses: the caller may be slow to close its side."""
        self.drop_unfinished_body()
        self.exchanges.clear()
        self.parser.close()

    def widen_buffer(self) -> None:
        """Let the rest of a body whose memory is reserved come faster.

        Without a length, most of what comes may be framing, which is not reserved.
        """
        if self.has_wide_buffer:
            return
        rest = self.parser.count_missing_body_bytes()
        if find_header(self.parser.headers, b"content-length") is None:
            rest = 0 if rate_work(self.parser) else BODY_BUFFER_BYTES
        if rest > RECEIVE_BUFFER_BYTES:
            self.has_wide_buffer = True
            set_receive_buffer(self.stream.socket, min(rest, BODY_BUFFER_BYTES))

    def narrow_buffer(self) -> None:
        """Let the system hold no more than small requests again."""
        if self.has_wide_buffer:
            self.has_wide_buffer = False
            set_receive_buffer(self.stream.socket, RECEIVE_BUFFER_BYTES)

    def drop_unfinished_body(self) -> None:
        """Drop the body that is being read, which is not needed any more."""
        self.narrow_buffer()
        self.parser.body_parts.clear()
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def enter_phase(self, phase: Phase) -> None:
        """Start a phase."""
        self.phase = phase
        self.parts_read_overdue = -1
        self.phase_started_at = trio.current_time()

    def update_phase(self) -> None:
        """Set the phase from the state of the parser and of the exchanges."""
        if self.exchanges:
            new_phase = Phase.SENDING if self.sending else Phase.ANSWERING
        elif self.parser.in_message:
            new_phase = Phase.READING
        else:
            new_phase = Phase.IDLE
        if new_phase is not self.phase or new_phase is Phase.IDLE:
            self.enter_phase(new_phase)
