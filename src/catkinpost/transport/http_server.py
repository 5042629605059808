"""Server side of HTTP/1.1 on the call path: one task for each connection."""

import enum
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.header import build_failure_response
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.http_parser import RequestParser
from catkinpost.transport.socket_io import receive_some, send_all

__all__ = ["HttpServer"]

READ_BYTES = 65536
# A caller that leaves is noticed within this, well before half a second.
CHECK_INTERVAL_S = 0.2
MAX_PIPELINED = 32
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    SENDING = "sending"


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
ErrorReporter = Callable[[Failure], None]


@dataclass(eq=False, slots=True)
class Exchange:
    """One request of a connection and its answer, once there is one."""

    keep_alive: bool
    head_only: bool
    response: HttpResponse | None = None


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection.

    :param stream: the connection.
    :param parser: parser of what arrives.
    :param phase: what it waits for.
    :param since: time at which the phase began.
    :param exchanges: unanswered requests in the order of their arrival.
    :param closing: whether no further request is taken.
    :param room: set while another request may be taken.
    :param attended: whether the connection is read while requests are answered.
    :param nursery: parent of the connection's tasks.
    """

    stream: trio.SocketStream
    parser: RequestParser
    phase: Phase = Phase.IDLE
    since: float = 0.0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    exchanges: deque[Exchange] = field(default_factory=deque)
    sending: bool = False
    closing: bool = False
    room: trio.Event = field(default_factory=trio.Event)
    attended: bool = False
    nursery: trio.Nursery | None = None

    @property
    def has_one_request(self) -> bool:
        """Whether a single request has come, and nothing before or behind it."""
        parser = self.parser
        alone = not self.attended and not self.exchanges
        return alone and len(parser.messages) == 1 and not parser.in_message

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = trio.current_time()

    def update_phase(self) -> None:
        """Derive the phase from what has been read and answered."""
        if self.exchanges:
            wanted = Phase.SENDING if self.sending else Phase.ANSWERING
        elif self.parser.in_message:
            wanted = Phase.READING
        else:
            wanted = Phase.IDLE
        if wanted is not self.phase or wanted is Phase.IDLE:
            self.enter(wanted)


class HttpServer:
    """Reads requests from connections and writes the handler's answers.

    Requests that follow each other on a connection are handled side by side and
    answered in their order.

    :param handler: answers one request; it is cancelled when the caller leaves.
    :param limits: bounds on each message; new connections use the latest.
    :param report: receives each failure that ends a connection.
    :param refusal: builds the answer for such a failure.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: HttpLimits,
        report: ErrorReporter,
        refusal: Callable[[Failure], HttpResponse] = build_failure_response,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.report = report
        self.refusal = refusal
        self.leaving = False
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> bool:
        """Whether a request is being read, answered or its answer sent."""
        return any(item.phase is not Phase.IDLE for item in self.connections)

    def end_reading(self) -> None:
        """Take no further request: close what waits for one, and the rest after it.

        A request that is not whole yet has not been read, and its caller knows that
        it may send it again.
        """
        self.leaving = True
        for connection in list(self.connections):
            connection.closing = True
            if connection.phase in (Phase.IDLE, Phase.READING):
                connection.scope.cancel()

    async def watch_connections(self) -> None:
        """End overdue connections and read on where there is news, until cancelled.

        Connections are looked at in turns: a scope or a task for each request
        would cost every call what only few need.
        """
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            for connection in list(self.connections):
                if self.is_over(connection, now):
                    connection.scope.cancel()
                elif connection.exchanges and not connection.attended:
                    self.attend(connection)

    def attend(self, connection: Connection) -> None:
        """Read a connection beside its only request, if anything has come.

        It is either the caller's leave or another request; whoever sends several
        at a time will do so again, so that it stays attended.
        """
        if connection.stream.socket.is_readable():
            connection.attended = True
            connection.nursery.start_soon(self.read, connection)

    def is_over(self, connection: Connection, now: float) -> bool:
        waited = now - connection.since
        if connection.phase is Phase.READING:
            return waited > self.limits.head_timeout
        if connection.phase is Phase.ANSWERING:
            return False
        return waited > self.limits.idle_timeout

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until either side closes it.

        :param stream: accepted connection; closed on return.
        """
        connection = Connection(stream, RequestParser(self.limits))
        connection.enter(Phase.IDLE)
        self.connections.add(connection)
        try:
            async with stream:
                with connection.scope:
                    await self.serve(connection)
                if connection.phase is Phase.READING and not connection.closing:
                    await self.refuse_slow_sender(connection)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed the connection: there is nobody left to answer.
            pass
        finally:
            self.connections.discard(connection)

    async def refuse_slow_sender(self, connection: Connection) -> None:
        failure = Failure(
            reason=Reason.SLOW_SENDER,
            detail=f"the request made no progress for {self.limits.head_timeout} s",
        )
        self.report(failure)
        data = encode_response(self.refusal(failure), keep_alive=False, head_only=False)
        with trio.move_on_after(self.limits.head_timeout):
            await connection.stream.send_all(data)

    async def serve(self, connection: Connection) -> None:
        async with trio.open_nursery() as nursery:
            connection.nursery = nursery
            await self.read(connection)

    async def read(self, connection: Connection) -> None:
        """Take requests until none may follow."""
        parser = connection.parser
        while True:
            connection.update_phase()
            data = await receive_some(connection.stream, READ_BYTES)
            if not data:
                # The caller has left: what it asked for is of no use any more.
                connection.nursery.cancel_scope.cancel()
                return
            if connection.closing:
                # What follows an announced close counts as not read.
                continue
            failure = parser.feed(data)
            if failure is None and connection.has_one_request:
                await self.answer_alone(connection, parser.messages.popleft())
                if connection.attended:
                    # Another task has taken over the reading meanwhile.
                    return
                continue
            if parser.messages:
                connection.attended = True
            while parser.messages and not connection.closing:
                await self.take(connection, parser.messages.popleft())
            if failure is not None and not connection.closing:
                self.report(failure)
                connection.closing = True
                exchange = Exchange(keep_alive=False, head_only=False)
                connection.exchanges.append(exchange)
                await self.finish(connection, exchange, self.refusal(failure))
                return
            if parser.in_message and parser.head_complete:
                await self.send_continue(connection)

    async def answer_alone(self, connection: Connection, request: HttpRequest) -> None:
        """Answer the only request of a connection without a task of its own."""
        exchange = self.begin(connection, request)
        await self.answer(connection, exchange, request)

    async def take(self, connection: Connection, request: HttpRequest) -> None:
        """Begin to answer a request beside others."""
        while len(connection.exchanges) >= MAX_PIPELINED:
            connection.room = trio.Event()
            await connection.room.wait()
            if connection.closing:
                return
        exchange = self.begin(connection, request)
        connection.nursery.start_soon(self.answer, connection, exchange, request)

    def begin(self, connection: Connection, request: HttpRequest) -> Exchange:
        exchange = Exchange(request.keep_alive, request.method == b"HEAD")
        connection.exchanges.append(exchange)
        connection.closing = connection.closing or not request.keep_alive
        connection.update_phase()
        return exchange

    async def send_continue(self, connection: Connection) -> None:
        parser = connection.parser
        expected = (b"expect", b"100-continue")
        if (
            parser.body_bytes == 0
            and not connection.exchanges
            and expected in parser.headers
        ):
            parser.headers.remove(expected)
            await connection.stream.send_all(CONTINUE_LINE)

    async def answer(
        self, connection: Connection, exchange: Exchange, request: HttpRequest
    ) -> None:
        response = await self.handler(request)
        await self.finish(connection, exchange, response)

    async def finish(
        self, connection: Connection, exchange: Exchange, response: HttpResponse
    ) -> None:
        """Send an answer, and those behind it that have waited for it."""
        exchange.response = response
        if connection.sending:
            return
        connection.sending = True
        connection.update_phase()
        while connection.exchanges and connection.exchanges[0].response is not None:
            first = connection.exchanges[0]
            # Requests behind this one have begun to run: only the last may close.
            if self.leaving and len(connection.exchanges) == 1:
                connection.closing = True
            last = connection.closing and len(connection.exchanges) == 1
            keep_alive = first.keep_alive and not last
            data = encode_response(
                first.response, keep_alive=keep_alive, head_only=first.head_only
            )
            await send_all(connection.stream, data)
            connection.exchanges.popleft()
            connection.room.set()
            if last:
                connection.enter(Phase.IDLE)
                connection.scope.cancel()
                return
        connection.sending = False
        connection.update_phase()
