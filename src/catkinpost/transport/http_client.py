"""Client side of HTTP/1.1 towards one backend server."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_request,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.transport.http_parser import ResponseParser, bad_answer
from catkinpost.transport.socket_io import receive_some, send_all

__all__ = ["BackendClient"]

READ_BYTES = 65536
# Backend servers run on the node's own machine: one that takes no connection in this
# time is gone or silent, and its calls must reach another well before their deadline.
CONNECT_TIMEOUT_S = 0.3
REUSE_AGE_S = 15.0
# A request sent just as the other side closes an idle connection may be lost.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_STRAY_ANSWERS = 2

AnswerCheck = Callable[[HttpRequest, HttpResponse], bool]


@dataclass(slots=True)
class IdleConnection:
    """Open connection that waits for its next request.

    :param stream: the connection.
    :param usable_until: time from which the other side may close it.
    """

    stream: trio.SocketStream
    usable_until: float


class BackendClient:
    """Sends requests to one backend server over kept-alive connections.

    :param host: IP address of the backend server.
    :param port: TCP port of the backend server.
    :param limits: bounds on each answer.
    :param belongs: tells whether an answer is the one to a request; without it
        the order alone tells.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limits: HttpLimits,
        belongs: AnswerCheck | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.limits = limits
        self.belongs = belongs
        self.idle: deque[IdleConnection] = deque()
        self.unreachable = False
        self.connecting = 0

    async def exchange(self, request: HttpRequest) -> HttpResponse | Failure:
        """Send one request and return its whole answer.

        A cancelled exchange closes its connection, which tells the backend
        server to stop working on the request.

        :param request: request to send.
        :return: the whole answer, or a failure whose outcome is not-run only
            when no byte of the request was sent.
        """
        stream = self.take_idle()
        if stream is None:
            stream = await self.connect()
            if isinstance(stream, Failure):
                return stream
        usable_until = None
        try:
            answer = await self.send_and_read(stream, request)
            if isinstance(answer, HttpResponse) and answer.keep_alive:
                usable_until = trio.current_time() + reuse_age(answer)
            return answer
        finally:
            if usable_until is not None:
                self.idle.append(IdleConnection(stream, usable_until))
            else:
                await trio.aclose_forcefully(stream)

    def take_idle(self) -> trio.SocketStream | None:
        now = trio.current_time()
        while self.idle:
            connection = self.idle.pop()
            fresh = now < connection.usable_until
            # Input on an idle connection is its end: nothing was asked on it.
            if fresh and not connection.stream.socket.is_readable():
                return connection.stream
            connection.stream.socket.close()
        return None

    async def connect(self) -> trio.SocketStream | Failure:
        """Open a connection.

        After one has failed, one try at a time shows whether the next succeeds: the
        other requests need not wait for the same time-out.
        """
        if self.unreachable and self.connecting:
            return self.connect_failure("another try has not ended yet")
        self.connecting += 1
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            self.unreachable = True
            return self.connect_failure(repr(error))
        finally:
            self.connecting -= 1
        self.unreachable = False
        return stream

    def connect_failure(self, detail: str) -> Failure:
        return Failure(
            reason=Reason.BACKEND_UNREACHABLE,
            detail=f"cannot connect to {self.host}:{self.port}: {detail}",
        )

    async def send_and_read(
        self, stream: trio.SocketStream, request: HttpRequest
    ) -> HttpResponse | Failure:
        parser = ResponseParser(self.limits, head_only=request.method == b"HEAD")
        stray = 0
        try:
            await send_all(stream, encode_request(request))
            while True:
                while not parser.messages:
                    data = await receive_some(stream, READ_BYTES)
                    if not data:
                        parser.end()
                        if parser.messages:
                            break
                        return connection_lost("the answer was cut")
                    failure = parser.feed(data)
                    if failure is not None and not parser.messages:
                        return failure
                response = parser.messages.popleft()
                if self.belongs is None or self.belongs(request, response):
                    break
                # A late answer to an earlier request; the own one may follow.
                stray += 1
                if stray > MAX_STRAY_ANSWERS or not response.keep_alive:
                    return bad_answer("the answer belongs to another request")
        except trio.BrokenResourceError as error:
            return connection_lost(str(error))
        surplus = parser.messages or parser.in_message or parser.failure is not None
        if surplus and self.belongs is None:
            return bad_answer("more than one answer to one request")
        if surplus or stray:
            response.keep_alive = False
        return response

    def close_idle(self) -> None:
        """Close the connections that no request uses."""
        while self.idle:
            self.idle.pop().stream.socket.close()


def reuse_age(answer: HttpResponse) -> float:
    """Return the seconds for which a connection may wait for its next request."""
    value = find_header(answer.headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            told = int(seconds)
            return min(REUSE_AGE_S, max(told - KEEP_ALIVE_MARGIN_S, told / 2))
    return REUSE_AGE_S


def connection_lost(detail: str) -> Failure:
    return Failure(
        reason=Reason.BACKEND_CONNECTION_LOST,
        outcome=Outcome.UNKNOWN,
        detail=detail,
    )
