"""HTTP/1.1 server of the call path, with one task for each connection."""

import math
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from catkinpost.protocol.header import build_failure_response
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    compute_head_bytes,
    encode_response,
    encode_response_parts,
)
from catkinpost.protocol.outcome import Failure, Reason, build_leaving_failure
from catkinpost.state.answer_memory import AnswerMemory
from catkinpost.state.head_memory import HeadMemory
from catkinpost.state.request_memory import (
    SMALL_BODY_BYTES,
    RequestMemory,
    Reservation,
)
from catkinpost.transport.body_reservation import reserve_body
from catkinpost.transport.caller_room import (
    RESERVED_DESCRIPTORS,
    SHORTAGE_FAILURE,
    CallerRoom,
)
from catkinpost.transport.http_connection import Connection, Exchange, Phase
from catkinpost.transport.http_parser import RequestParser
from catkinpost.transport.linger import Linger, count_unacknowledged_bytes
from catkinpost.transport.part_reader import PartReader
from catkinpost.transport.socket_io import send_all, split_bytes

__all__ = ["HttpServer"]

# A disconnect of the caller is detected within this time, well below 0.5 s.
CONNECTION_CHECK_INTERVAL_S = 0.2
# A check that is later than this shows that the process did not run.
MAX_CHECK_DELAY_S = 0.4
MAX_PIPELINED_REQUESTS = 32
# Memory of the task of a request that is handled, and of what it refers to.
EXCHANGE_BYTES = 4096
# An upload that comes at all comes again within this time, unless packets are lost.
MIN_BODY_STALL_S = 0.5
STALLED_DETAIL = "the body did not come, and others wait for its memory"
LEAVING_FAILURE = build_leaving_failure(
    "the node stops and an answer would not reach the caller in time"
)
EXPECT_CONTINUE = (b"expect", b"100-continue")
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Larger bodies are sent without a copy, in pieces that show the caller's progress.
MAX_COPIED_BODY_BYTES = 65536
SENT_PIECE_BYTES = 16384

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
FailureReporter = Callable[[Failure], None]


class HttpServer(CallerRoom):
    """HTTP server that passes requests to a handler and sends its responses.

    Pipelined requests of a connection are handled concurrently; their responses are
    sent in the order of the requests.

    :param handler: handles one request; it is cancelled when the caller disconnects.
    :param limits: limits on each message; changes apply to requests that begin later,
        but a longer ``head_timeout`` to all, and a shorter ``idle_timeout`` to answers
        that are sent later and to connections that become idle behind them.
    :param report_failure: called with each failure for which a connection is closed.
    :param build_refusal: builds the response for such a failure.
    :param memory: memory for the bodies of requests, ``None`` for no common bound.
    :param head_memory: memory for requests without large bodies, ``None`` for no bound.
    :param answer_memory: memory for the bodies of responses, ``None`` for no bound.
    :param reserved_descriptors: descriptors that callers leave free.
    :param max_connections: most connections of callers, ``None`` for no such bound.
    :ivar leaving: whether each connection is closed after its last response.
    :ivar deliver_by: time until which callers can take responses, infinite while the
        server does not leave.
    :ivar is_refusing: whether requests that are read are refused.
    :ivar has_stopped_reading: whether no further request is accepted.
    :ivar refused_requests: number of requests refused as the server leaves.
    :ivar unbegun_requests: number of requests left behind a close as the server leaves.
    :ivar closed_idle: number of idle connections closed at the end of reading.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits,
        report_failure: FailureReporter,
        build_refusal: Callable[[Failure], HttpResponse] = build_failure_response,
        memory: RequestMemory | None = None,
        head_memory: HeadMemory | None = None,
        answer_memory: AnswerMemory | None = None,
        reserved_descriptors: int = RESERVED_DESCRIPTORS,
        max_connections: int | None = None,
    ) -> None:
        super().__init__(
            reserved_descriptors=reserved_descriptors, max_connections=max_connections
        )
        self.handler = handler
        self.limits = limits
        self.report_failure = report_failure
        self.build_refusal = build_refusal
        self.memory = memory
        self.head_memory = head_memory
        self.answer_memory = answer_memory
        self.reader = PartReader()
        self.leaving = False
        self.deliver_by = math.inf
        self.is_refusing = False
        self.has_stopped_reading = False
        self.refused_requests = 0
        self.unbegun_requests = 0
        self.closed_idle = 0
        self.checked_at = -math.inf

    @property
    def is_busy(self) -> bool:
        """Whether any request is being read or handled, or its response sent.

        A response is sent when it was received: a process that ends before may destroy
        it. Callers that keep a closed connection open do not count.
        """
        is_serving = any(
            item.phase is not Phase.IDLE or item.closing for item in self.connections
        )
        return is_serving or any(item.is_pending for item in self.lingers)

    @property
    def is_handling(self) -> bool:
        """Whether any request is handled, or its response is not sent yet.

        Requests that are refused don't count, as callers may never stop sending them.
        """
        return any(item.is_handling for item in self.connections)

    @property
    def awaits_callers(self) -> bool:
        """Whether callers that may not have read their answers have to close yet."""
        return any(item.awaits_caller for item in self.lingers)

    def describe_open(self) -> dict[str, object]:
        """Return what callers have not been sent, have not taken or have not closed."""
        unclosed = [item for item in self.lingers if not item.caller_has_closed]
        return {
            "answers_due": sum(len(item.exchanges) for item in self.connections),
            "undelivered_bytes": sum(
                item.undelivered_bytes for item in self.connections
            ),
            "connections": dict(Counter(item.phase.value for item in self.connections)),
            "unsent_bytes": sum(item.unsent_bytes for item in self.lingers),
            "unclosed": len(unclosed),
            "unclosed_after_answer": sum(item.awaits_caller for item in unclosed),
        }

    def has_new_connection(self, max_age_s: float) -> bool:
        """Return whether a caller has connected and sent nothing yet.

        While the server leaves, no connection becomes idle after a response.

        :param max_age_s: seconds for which a connection counts as new.
        """
        opened_after = trio.current_time() - max_age_s
        return any(
            item.phase is Phase.IDLE and item.phase_started_at > opened_after
            for item in self.connections
        )

    def refuse_requests(self) -> None:
        """Answer each request that is read from now on with a refusal.

        Idle connections stay open, so that requests on their way get an answer.
        """
        self.leaving = True
        self.is_refusing = True
        for connection in self.connections:
            if connection.memory_wait is not None:
                connection.memory_wait.cancel()

    def stop_reading(self) -> None:
        """Accept no further requests and close each connection.

        Connections without a complete request are closed at once, the others after
        their last response. What has arrived by now is read first: a request that is
        discarded counts as read, so its caller must not send it again. An incomplete
        request has not run; one that waits for memory may have been sent whole and is
        refused. Input after that is discarded as unread.
        """
        self.leaving = True
        self.has_stopped_reading = True
        self.reader.is_last_read = True
        for connection in list(self.connections):
            if connection.memory_wait is not None:
                # Its reader refuses the request, which closes the connection.
                connection.memory_wait.cancel()
            elif connection.is_awaiting_request and connection.has_unread_input:
                # Its reader ends reading; the server is busy until then.
                if connection.phase is Phase.IDLE:
                    connection.enter_phase(Phase.READING)
            else:
                if connection.phase is Phase.IDLE and not connection.closing:
                    self.closed_idle += 1
                    # A request that arrives before its task runs would be discarded.
                    connection.end_sending()
                self.end_reading(connection)

    def end_reading(self, connection: Connection) -> None:
        """Accept no further request on a connection, and close it once answered."""
        connection.closing = True
        if connection.is_awaiting_request:
            connection.scope.cancel()

    async def watch_connections(self) -> None:
        """Close overdue connections and start readers where needed, until cancelled.

        All connections are checked periodically: a cancel scope or a task for each
        request would add a cost to every call that only few calls need.
        """
        while True:
            await trio.sleep(CONNECTION_CHECK_INTERVAL_S)
            self.check_connections(trio.current_time())
            self.keep_descriptors_free()
            self.update_unread_bytes()
            self.drop_stalled_bodies()

    def drop_stalled_bodies(self) -> None:
        """Let uploads whose callers have stopped make room for those that wait."""
        if self.memory is None or not self.memory.waiters:
            return
        since = trio.current_time() - MIN_BODY_STALL_S
        if self.resumed_at > since:
            # What has come while this process did not run is not known.
            return
        stalled = [item for item in self.connections if item.has_stalled_body(since)]
        stalled.sort(key=lambda item: item.body_read_at)
        for connection in stalled:
            if not self.memory.waiters:
                return
            connection.drop_unread(self.memory.refuse(STALLED_DETAIL))

    def check_connections(self, now: float) -> None:
        """Close overdue connections, and start readers where needed.

        A request, or the rest of one, may have arrived on a connection whose task has
        not read it yet, as the whole process was late. It was in time.
        """
        if now - self.checked_at > CONNECTION_CHECK_INTERVAL_S + MAX_CHECK_DELAY_S:
            self.resumed_at = now
        self.checked_at = now
        for connection in list(self.connections):
            if self.is_overdue(connection, now):
                if not connection.may_become_whole():
                    self.close_overdue(connection)
            elif connection.needs_reader_task:
                self.start_reader_if_readable(connection)

    def start_reader_if_readable(self, connection: Connection) -> None:
        """Start to read a connection beside its only request if it is readable.

        The input is either the disconnect of the caller or another request. A caller
        that pipelines requests is likely to do so again, so the reader task stays.
        """
        if connection.stream.socket.is_readable():
            connection.has_reader_task = True
            connection.nursery.start_soon(self.read_requests, connection)

    def get_head_timeout(self, connection: Connection) -> float:
        """Return the seconds within which the request being read must be complete.

        Its caller may have begun it under a longer time-out than the current one.
        """
        began_under = connection.parser.limits
        return max(self.limits.head_timeout, began_under.head_timeout)

    def is_overdue(self, connection: Connection, now: float) -> bool:
        elapsed_s = now - connection.phase_started_at
        if connection.phase is Phase.READING:
            return elapsed_s > self.get_head_timeout(connection)
        if connection.phase is Phase.ANSWERING:
            return False
        idle_timeout = max(self.limits.idle_timeout, connection.idle_timeout)
        if connection.phase is Phase.IDLE and not connection.unsent_bytes:
            # The caller is idle from when its system has taken the whole answer.
            return min(elapsed_s, now - connection.taken_at) > idle_timeout
        # A caller that reads small answers makes no room for large ones for a while.
        idle_timeout = max(idle_timeout, self.limits.stall_timeout)
        connection.update_taken_at(now)
        # What a caller has taken while this process did not run is not known.
        taken_at = max(connection.progressed_at, connection.taken_at, self.resumed_at)
        return min(elapsed_s, now - taken_at) > idle_timeout

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until either side closes it.

        :param stream: accepted connection; closed on return.
        """
        connection = Connection(stream, RequestParser(self.limits))
        connection.is_refused = self.gate.is_refused(stream)
        connection.idle_timeout = self.limits.idle_timeout
        connection.enter_phase(Phase.IDLE)
        try:
            async with stream:
                # It may have been accepted just before its task runs.
                if not self.has_stopped_reading:
                    await self.run_until_closed(connection)
                if connection.needs_linger:
                    await self.linger(connection)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed the connection: no response can be sent.
            pass

    async def run_until_closed(self, connection: Connection) -> None:
        """Serve a connection, which is not checked any more once it is to be closed."""
        self.connections.add(connection)
        try:
            with connection.scope:
                await self.run_connection(connection)
            if connection.phase is Phase.READING and connection.overdue:
                connection.refusal = self.build_slow_sender_failure(connection)
            if connection.refusal is not None:
                await self.refuse_unread(connection, connection.refusal)
        finally:
            self.connections.discard(connection)
            self.reader.end_turn(connection)
            connection.close()
            if self.head_memory is not None:
                self.head_memory.remove(connection)
            if self.answer_memory is not None:
                self.answer_memory.release_all(connection)

    async def linger(self, connection: Connection) -> None:
        """Let the caller receive what was sent before the connection is closed."""
        linger = Linger(connection.stream, is_announced=connection.is_close_announced)
        self.lingers.add(linger)
        try:
            await linger.run(max(self.limits.idle_timeout, self.limits.stall_timeout))
        finally:
            self.lingers.discard(linger)

    def build_slow_sender_failure(self, connection: Connection) -> Failure:
        head_timeout = self.get_head_timeout(connection)
        return Failure(
            reason=Reason.SLOW_SENDER,
            detail=f"the request made no progress for {head_timeout} s",
        )

    async def refuse_unread(self, connection: Connection, failure: Failure) -> None:
        """Tell a caller why its request, which was not read whole, is dropped."""
        self.report_failure(failure)
        connection.drop_unfinished_body()
        data = encode_response(
            self.build_refusal(failure), keep_alive=False, head_only=False
        )
        connection.is_close_announced = True
        with trio.move_on_after(self.get_head_timeout(connection)):
            await connection.stream.send_all(data)

    async def run_connection(self, connection: Connection) -> None:
        async with trio.open_nursery() as nursery:
            connection.nursery = nursery
            try:
                await self.read_requests(connection)
            finally:
                # The nursery may accept no further task while it waits to be left.
                connection.reading_ended = True

    async def read_requests(self, connection: Connection) -> None:
        """Read and start requests until the connection accepts no more."""
        parser = connection.parser
        while True:
            connection.update_phase()
            data = await self.reader.receive(connection)
            if not data:
                # The caller has disconnected: its responses are no longer needed.
                connection.caller_has_closed = True
                connection.nursery.cancel_scope.cancel()
                return
            if connection.closing:
                # Input after an announced close is discarded as unread.
                continue
            connection.awaits_continue = False
            parser.next_limits = self.limits
            failure = parser.feed(data)
            # It would be held while the request waits for memory, or for its answer.
            del data
            if not parser.in_message:
                self.reader.end_turn(connection)
            head_only = bool(parser.messages) and parser.messages[0].method == b"HEAD"
            if failure is None:
                failure = self.count_requests(connection)
            is_single = failure is None and connection.has_single_request
            if is_single and not self.must_wait(connection):
                await self.handle_single_request(connection, parser.messages.popleft())
                if connection.has_reader_task:
                    # A reader task was started in the meantime.
                    return
                continue
            if parser.messages:
                connection.has_reader_task = True
            while parser.messages and not connection.closing:
                await self.start_handling(connection, parser.messages.popleft())
            if failure is None and parser.in_message and parser.head_complete:
                failure = await self.reserve_memory(connection)
            if failure is not None and not connection.closing:
                self.report_failure(failure)
                connection.closing = True
                connection.drop_unfinished_body()
                exchange = Exchange(
                    keep_alive=False, head_only=head_only, is_refused=True
                )
                connection.exchanges.append(exchange)
                await self.send_ready_responses(
                    connection, exchange, self.build_refusal(failure)
                )
                return
            if self.has_stopped_reading:
                self.end_reading(connection)
            elif parser.in_message and parser.head_complete:
                connection.awaits_continue = (
                    parser.body_bytes == 0 and EXPECT_CONTINUE in parser.headers
                )
                await self.send_continue(connection)

    def count_requests(self, connection: Connection) -> Failure | None:
        """Count what was read of the requests of a connection.

        Without room for them, those that were read last are dropped. The refusal of the
        first of them closes the connection, so the others count as not read.
        """
        if self.head_memory is None:
            return None
        failure = self.head_memory.update(connection, connection.held_bytes)
        if failure is not None:
            connection.parser.drop_requests()
            self.head_memory.update(connection, connection.held_bytes)
        return failure

    def drop_request(
        self, connection: Connection, exchange: Exchange, request: HttpRequest
    ) -> None:
        """Stop holding a request that was handled; its answer may be due for longer."""
        request.headers = []
        connection.exchange_bytes -= exchange.held_bytes
        exchange.held_bytes = 0
        if self.head_memory is not None:
            self.head_memory.update(connection, connection.held_bytes)

    async def reserve_memory(self, connection: Connection) -> Failure | None:
        """Reserve memory for the incomplete request of a connection.

        The connection is not read meanwhile, so the time does not count as the
        caller's.
        """
        if self.memory is None or connection.closing:
            return None
        started_at, waits_since = connection.phase_started_at, trio.current_time()
        connection.phase_started_at = math.inf
        result: Reservation | Failure | None = None
        with trio.CancelScope() as connection.memory_wait:
            result = await reserve_body(
                self.memory, connection.parser, connection.reservation
            )
        connection.memory_wait = None
        connection.body_read_at = trio.current_time()
        if connection.phase_started_at == math.inf:
            waited_s = connection.body_read_at - waits_since
            connection.phase_started_at = started_at + waited_s
        if isinstance(result, Failure):
            return result
        connection.reservation = result
        if self.is_refusing or self.has_stopped_reading:
            self.refused_requests += 1
            return LEAVING_FAILURE
        if result is not None:
            connection.widen_buffer()
        return None

    async def handle_single_request(
        self, connection: Connection, request: HttpRequest
    ) -> None:
        """Handle the only request of a connection without a separate task."""
        connection.closing = self.has_stopped_reading
        exchange = self.add_exchange(connection, request)
        await self.handle_request(connection, exchange, request)

    def must_wait(self, connection: Connection) -> bool:
        """Return whether a request waits for its caller to take earlier answers.

        Its own answer would be held until then. A leaving server has a fixed time left,
        and a caller that sends behind an answer may be too slow to take another one.
        """
        if self.leaving:
            return connection.has_answer_to_take
        return connection.sending

    def compute_answer_time(self, connection: Connection) -> float:
        """Return the time by which a response must be ready for its caller.

        A caller as slow as before would not get a later one whole.
        """
        return self.deliver_by - connection.longest_delivery_s

    async def start_handling(
        self, connection: Connection, request: HttpRequest
    ) -> None:
        """Start a task that handles a request concurrently with others."""
        while len(connection.exchanges) >= MAX_PIPELINED_REQUESTS:
            await connection.answer_taken.wait()
            if connection.closing:
                return
        exchange = self.add_exchange(connection, request)
        connection.nursery.start_soon(
            self.handle_request, connection, exchange, request
        )

    def add_exchange(self, connection: Connection, request: HttpRequest) -> Exchange:
        exchange = Exchange(request.keep_alive, request.method == b"HEAD")
        exchange.reservation, connection.reservation = connection.reservation, None
        connection.narrow_buffer()
        connection.parser.ready_bytes -= request.held_bytes
        exchange.held_bytes = request.held_bytes + EXCHANGE_BYTES
        connection.exchange_bytes += exchange.held_bytes
        request.answer_by = self.compute_answer_time(connection)
        # The caller can send the request again, which has not run.
        is_late = self.is_refusing or trio.current_time() > request.answer_by
        exchange.is_refused = is_late or connection.is_refused
        exchange.has_begun = exchange.is_refused or not self.must_wait(connection)
        self.refused_requests += is_late
        connection.exchanges.append(exchange)
        if exchange.is_refused or not request.keep_alive:
            connection.closing = True
        connection.update_phase()
        return exchange

    async def send_continue(self, connection: Connection) -> None:
        """Ask for a body that the caller holds back, once no earlier answer is due."""
        if (
            connection.awaits_continue
            and not connection.exchanges
            and not connection.closing
        ):
            connection.awaits_continue = False
            connection.parser.headers.remove(EXPECT_CONTINUE)
            await connection.stream.send_all(CONTINUE_LINE)
            connection.body_read_at = trio.current_time()

    async def handle_request(
        self, connection: Connection, exchange: Exchange, request: HttpRequest
    ) -> None:
        try:
            if not exchange.has_begun and not await self.wait_for_turn(
                connection, exchange, request
            ):
                return
            response = await self.build_response(exchange, request)
        finally:
            self.drop_request(connection, exchange, request)
        await self.send_ready_responses(connection, exchange, response)

    async def build_response(
        self, exchange: Exchange, request: HttpRequest
    ) -> HttpResponse:
        """Handle or refuse a request."""
        is_small = len(request.body) <= SMALL_BODY_BYTES
        if exchange.is_refused:
            exchange.release_memory()
            return self.build_refusal(
                LEAVING_FAILURE if self.leaving else SHORTAGE_FAILURE
            )
        if self.memory is None or is_small and exchange.reservation is None:
            return await self.handler(request)
        return await self.hold_and_handle(self.memory, exchange, request)

    async def wait_for_turn(
        self, connection: Connection, exchange: Exchange, request: HttpRequest
    ) -> bool:
        """Wait until the caller has taken the answers before a request.

        A request that waits when the server leaves is refused in its turn, unless an
        answer before it closes the connection.

        :return: whether the request is to be answered.
        """
        arrived_at = trio.current_time()
        try:
            while exchange in connection.exchanges:
                if self.leaving and connection.exchanges[0] is exchange:
                    exchange.is_refused = connection.closing = True
                    self.refused_requests += 1
                    return True
                if not self.leaving and not connection.sending:
                    exchange.has_begun = True
                    request.waited_s = trio.current_time() - arrived_at
                    return True
                await connection.answer_taken.wait()
            return False
        finally:
            if not exchange.has_begun:
                exchange.release_memory()

    def drop_waiting(self, connection: Connection) -> None:
        """Let the first answer due close a connection, behind which requests wait.

        Behind an answer that closes the connection, a request counts as not read.
        """
        while len(connection.exchanges) > 1 and not connection.exchanges[-1].has_begun:
            connection.exchanges.pop()
            connection.closing = True
            self.unbegun_requests += 1

    async def hold_and_handle(
        self, memory: RequestMemory, exchange: Exchange, request: HttpRequest
    ) -> HttpResponse:
        """Handle a request whose body counts, and drop the body afterwards."""
        reservation = exchange.reservation or await memory.reserve(len(request.body))
        if isinstance(reservation, Failure):
            request.body = b""
            self.report_failure(reservation)
            return self.build_refusal(reservation)
        try:
            return await self.handler(request)
        finally:
            request.body = b""
            reservation.release()

    async def send_ready_responses(
        self, connection: Connection, exchange: Exchange, response: HttpResponse
    ) -> None:
        """Store a response and send every response whose turn has come."""
        exchange.response = self.hold_response(connection, exchange, response)
        if connection.sending:
            return
        connection.sending = True
        connection.update_phase()
        while connection.exchanges and connection.exchanges[0].response is not None:
            first = connection.exchanges[0]
            if self.leaving:
                self.drop_waiting(connection)
            # Later requests are already running: only the last response may close
            # the connection.
            is_to_close = self.leaving or self.gate.is_short
            if is_to_close and connection.is_at_last_exchange:
                connection.closing = True
            # What is still read behind a close is not answered.
            is_last = connection.closing and len(connection.exchanges) == 1
            keep_alive = first.keep_alive and not is_last
            connection.idle_timeout = self.limits.idle_timeout
            await self.send_response(connection, first, keep_alive=keep_alive)
            connection.exchanges.popleft()
            if self.answer_memory is not None:
                self.answer_memory.release(connection, first.answer_bytes)
            await self.send_continue(connection)
            connection.notify_taken()
            # Reading may have ended while an answer that keeps the connection was sent.
            if connection.closing and not connection.exchanges:
                connection.enter_phase(Phase.IDLE)
                connection.scope.cancel()
                return
        connection.sending = False
        connection.update_phase()

    def hold_response(
        self, connection: Connection, exchange: Exchange, response: HttpResponse
    ) -> HttpResponse:
        """Count a response until it is sent, or replace one that can't be held."""
        if self.answer_memory is None:
            return response
        size = compute_head_bytes(response.headers) + len(response.body)
        failure = self.answer_memory.hold(connection, size)
        if failure is None:
            exchange.answer_bytes = size
            return response
        self.report_failure(failure)
        return self.build_refusal(failure)

    async def send_response(
        self, connection: Connection, exchange: Exchange, *, keep_alive: bool
    ) -> None:
        head, body = encode_response_parts(
            exchange.response, keep_alive=keep_alive, head_only=exchange.head_only
        )
        connection.is_close_announced = not keep_alive
        queued_bytes = count_unacknowledged_bytes(connection.stream.socket) or 0
        started_at = trio.current_time()
        if len(body) <= MAX_COPIED_BODY_BYTES:
            await send_all(connection.stream, head + body)
        else:
            await send_all(connection.stream, head)
            for piece in split_bytes(body, SENT_PIECE_BYTES):
                await send_all(connection.stream, piece)
                connection.progressed_at = trio.current_time()
                connection.written_bytes += len(piece)
            connection.written_bytes = 0
        sending_s = trio.current_time() - started_at
        connection.note_delivery(len(head) + len(body), queued_bytes, sending_s)
