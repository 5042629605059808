"""Client side of HTTP/1.1 towards one backend server."""

from collections import deque
from dataclasses import dataclass

import trio

from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_request,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.transport.http_parser import ResponseParser, bad_answer

__all__ = ["BackendClient"]

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
REUSE_AGE_S = 15.0


@dataclass(slots=True)
class IdleConnection:
    """Open connection that waits for its next request."""

    stream: trio.SocketStream
    idle_since: float


class BackendClient:
    """Sends requests to one backend server over kept-alive connections.

    :param host: IP address of the backend server.
    :param port: TCP port of the backend server.
    :param limits: bounds on each answer.
    """

    def __init__(self, host: str, port: int, *, limits: HttpLimits) -> None:
        self.host = host
        self.port = port
        self.limits = limits
        self.idle: deque[IdleConnection] = deque()

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
        reusable = False
        try:
            answer = await self.send_and_read(stream, request)
            reusable = isinstance(answer, HttpResponse) and answer.keep_alive
            return answer
        finally:
            if reusable:
                self.idle.append(IdleConnection(stream, trio.current_time()))
            else:
                await trio.aclose_forcefully(stream)

    def take_idle(self) -> trio.SocketStream | None:
        now = trio.current_time()
        while self.idle:
            connection = self.idle.pop()
            fresh = now - connection.idle_since < REUSE_AGE_S
            # Input on an idle connection is its end: nothing was asked on it.
            if fresh and not connection.stream.socket.is_readable():
                return connection.stream
            connection.stream.socket.close()
        return None

    async def connect(self) -> trio.SocketStream | Failure:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return await trio.open_tcp_stream(self.host, self.port)
        except (OSError, trio.TooSlowError) as error:
            return Failure(
                reason=Reason.BACKEND_UNREACHABLE,
                detail=f"cannot connect to {self.host}:{self.port}: {error!r}",
            )

    async def send_and_read(
        self, stream: trio.SocketStream, request: HttpRequest
    ) -> HttpResponse | Failure:
        parser = ResponseParser(self.limits, head_only=request.method == b"HEAD")
        try:
            await stream.send_all(encode_request(request))
            while not parser.messages:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return connection_lost("the answer was cut")
                failure = parser.feed(data)
                if failure is not None:
                    return failure
        except trio.BrokenResourceError as error:
            return connection_lost(str(error))
        if len(parser.messages) > 1:
            return bad_answer("more than one answer to one request")
        return parser.messages.popleft()

    def close_idle(self) -> None:
        """Close the connections that no request uses."""
        while self.idle:
            self.idle.pop().stream.socket.close()


def connection_lost(detail: str) -> Failure:
    return Failure(
        reason=Reason.BACKEND_CONNECTION_LOST,
        outcome=Outcome.UNKNOWN,
        detail=detail,
    )
