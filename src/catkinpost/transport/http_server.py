"""Server side of HTTP/1.1 on the call path: one task for each connection."""

import enum
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.header import failure_response
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_response,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.http_parser import RequestParser

__all__ = ["HttpServer"]

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
ErrorReporter = Callable[[Failure], None]

READ_BYTES = 65536
CHECK_INTERVAL_S = 0.1
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    READING = "reading"
    ANSWERING = "answering"
    SENDING = "sending"


@dataclass(eq=False, slots=True)
class Connection:
    """One accepted connection.

    :param stream: the connection.
    :param phase: what it waits for.
    :param since: time at which the phase began.
    """

    stream: trio.SocketStream
    parser: RequestParser
    phase: Phase = Phase.IDLE
    since: float = 0.0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = trio.current_time()


class HttpServer:
    """Reads requests from connections and writes the handler's answers.

    :param handler: answers one request; it is cancelled when the caller leaves.
    :param limits: bounds on each message.
    :param report: receives each failure that ends a connection.
    """

    def __init__(
        self, handler: Handler, *, limits: HttpLimits, report: ErrorReporter
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.report = report
        self.leaving = False
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> bool:
        """Whether a request is being read, answered or its answer sent."""
        return any(item.phase is not Phase.IDLE for item in self.connections)

    async def watch_connections(self) -> None:
        """End overdue connections and those of callers that have gone.

        Connections are looked at in turns, until cancelled: a task or a scope
        for each request would cost every call what only few need.
        """
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            for connection in list(self.connections):
                if await self.is_over(connection, now):
                    connection.scope.cancel()

    async def is_over(self, connection: Connection, now: float) -> bool:
        waited = now - connection.since
        if connection.phase is Phase.ANSWERING:
            return await is_closed(connection.stream)
        if connection.phase is Phase.READING:
            return waited > self.limits.head_timeout
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
                if connection.phase is Phase.READING:
                    await self.refuse(connection, self.slow_sender())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed the connection: there is nobody left to answer.
            pass
        finally:
            self.connections.discard(connection)

    def slow_sender(self) -> Failure:
        return Failure(
            reason=Reason.SLOW_SENDER,
            detail=f"the request made no progress for {self.limits.head_timeout} s",
        )

    async def serve(self, connection: Connection) -> None:
        parser = connection.parser
        while True:
            if not parser.in_message:
                connection.enter(Phase.IDLE)
            elif connection.phase is not Phase.READING:
                connection.enter(Phase.READING)
            data = await connection.stream.receive_some(READ_BYTES)
            if not data:
                connection.enter(Phase.IDLE)
                return
            failure = parser.feed(data)
            while parser.messages:
                if not await self.answer(connection, parser.messages.popleft()):
                    return
            if failure is not None:
                await self.refuse(connection, failure)
                return
            if parser.in_message and parser.head_complete:
                await self.send_continue(connection)

    async def send_continue(self, connection: Connection) -> None:
        parser = connection.parser
        if parser.body_bytes == 0 and (b"expect", b"100-continue") in parser.headers:
            parser.headers.remove((b"expect", b"100-continue"))
            await connection.stream.send_all(CONTINUE_LINE)

    async def refuse(self, connection: Connection, failure: Failure) -> None:
        connection.enter(Phase.SENDING)
        self.report(failure)
        data = encode_response(
            failure_response(failure), keep_alive=False, head_only=False
        )
        with trio.move_on_after(self.limits.head_timeout):
            await connection.stream.send_all(data)

    async def answer(self, connection: Connection, request: HttpRequest) -> bool:
        """Answer one request; tells whether the connection stays open."""
        connection.enter(Phase.ANSWERING)
        response = await self.handler(request)
        connection.enter(Phase.SENDING)
        keep_alive = request.keep_alive and not self.leaving
        data = encode_response(
            response, keep_alive=keep_alive, head_only=request.method == b"HEAD"
        )
        await connection.stream.send_all(data)
        return keep_alive


async def is_closed(stream: trio.SocketStream) -> bool:
    """Tell whether the other side has closed a connection."""
    if not stream.socket.is_readable():
        return False
    try:
        return await stream.socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
