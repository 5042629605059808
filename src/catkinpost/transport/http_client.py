"""HTTP/1.1 client for one backend server."""

import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    compute_head_bytes,
    encode_request,
    encode_request_head,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.transport.http_parser import ResponseParser, build_bad_answer_failure
from catkinpost.transport.parse_turn import (
    FIRST_READ_BYTES,
    ParseTurns,
    compute_read_bytes,
    rate_work,
)
from catkinpost.transport.socket_io import (
    RELEASE_TIME_S,
    SHORTAGE_ERRORS,
    NothingWrittenError,
    open_connection,
    read_available,
    send_all,
    wait_for_input,
)

__all__ = ["BackendClient"]

READ_BYTES = 65536
# Larger bodies are written without a copy.
MAX_COPIED_BODY_BYTES = 65536
# Backend servers run on the machine of their node. A server that does not accept a
# connection within this time has ended or hangs, and its calls must reach another
# instance well before their deadline.
CONNECT_TIMEOUT_S = 0.3
MAX_IDLE_S = 15.0
# A request sent while the server closes an idle connection may be lost.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_STRAY_RESPONSES = 2
# All unfinished responses together. Servers that send without end must not exhaust the
# memory of the node, which is about 200 MB at the least.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024

ResponseMatcher = Callable[[HttpRequest, HttpResponse], bool]


@dataclass(slots=True)
class IdleConnection:
    """Open connection without a request in progress.

    :param stream: the connection.
    :param expires_at: time at which the connection must no longer be reused, because
        the server may close it.
    """

    stream: trio.SocketStream
    expires_at: float


class ResponseBuffer:
    """Sizes of all unfinished responses, which share one bound.

    :param max_bytes: bound on the sum of all sizes.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.sizes: dict[ResponseParser, int] = {}

    def update(self, parser: ResponseParser) -> Failure | None:
        """Record the current size of a response.

        Above the bound, only responses of at least the average size fail: a response
        without end must not make the small ones fail.

        :return: the failure if this response must be given up.
        """
        size = parser.body_bytes + compute_head_bytes(parser.headers)
        self.used_bytes += size - self.sizes.get(parser, 0)
        self.sizes[parser] = size
        is_large = size * len(self.sizes) >= self.max_bytes
        if self.used_bytes <= self.max_bytes or not is_large:
            return None
        return build_bad_answer_failure(
            f"the unfinished answers exceed {self.max_bytes} bytes"
        )

    def remove(self, parser: ResponseParser) -> None:
        """Release the size of a response that has ended."""
        self.used_bytes -= self.sizes.pop(parser, 0)


class BackendClient:
    """HTTP client of one backend server with a pool of keep-alive connections.

    :param host: IP address of the backend server.
    :param port: TCP port of the backend server.
    :param limits: limits on each response.
    :param is_matching_response: decides whether a response belongs to a request;
        without it, responses are matched by order alone.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        limits: HttpLimits,
        is_matching_response: ResponseMatcher | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.limits = limits
        self.is_matching_response = is_matching_response
        self.idle_connections: deque[IdleConnection] = deque()
        self.last_connect_failed = False
        self.connecting_count = 0
        self.buffer = ResponseBuffer(MAX_BUFFERED_BYTES)
        self.turns = ParseTurns()

    async def send_request(self, request: HttpRequest) -> HttpResponse | Failure:
        """Send one request and return the complete response.

        Cancellation closes the connection, so that the backend server can stop working
        on the request.

        :param request: request to send.
        :return: the complete response, or a failure whose outcome is not-run only if no
            byte of the request was sent.
        """
        address = (self.host, self.port)
        stream = await self.get_connection()
        if isinstance(stream, Failure):
            return stream
        expires_at = None
        try:
            result = await self.send_and_receive(stream, request)
            is_current = address == (self.host, self.port)
            if isinstance(result, HttpResponse) and result.keep_alive and is_current:
                expires_at = trio.current_time() + get_max_idle_s(result)
            return result
        finally:
            if expires_at is not None:
                self.idle_connections.append(IdleConnection(stream, expires_at))
            else:
                await trio.aclose_forcefully(stream)

    def set_address(self, host: str, port: int) -> None:
        """Send new requests to another address; those in progress go on.

        :param host: IP address of the backend server.
        :param port: TCP port of the backend server.
        """
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        self.last_connect_failed = False
        self.close_idle_connections()

    def pop_idle_connection(self) -> trio.SocketStream | None:
        now = trio.current_time()
        while self.idle_connections:
            connection = self.idle_connections.pop()
            is_reusable = now < connection.expires_at
            # No request is in progress on an idle connection: if it is readable, the
            # server has closed it.
            if is_reusable and not connection.stream.socket.is_readable():
                return connection.stream
            connection.stream.socket.close()
        return None

    async def get_connection(self) -> trio.SocketStream | Failure:
        """Return an idle connection or a new one.

        A shortage of descriptors ends as soon as any other connection does, and says
        nothing about the server.
        """
        gives_up_at = trio.current_time() + CONNECT_TIMEOUT_S
        while True:
            stream = self.pop_idle_connection()
            if stream is not None:
                return stream
            try:
                return await self.open()
            except (OSError, trio.TooSlowError) as error:
                is_short = is_shortage(error)
                if not is_short or trio.current_time() >= gives_up_at:
                    return self.build_connect_failure(repr(error))
            await trio.sleep(RELEASE_TIME_S)

    async def connect(self) -> trio.SocketStream | Failure:
        """Open a connection."""
        try:
            return await self.open()
        except (OSError, trio.TooSlowError) as error:
            return self.build_connect_failure(repr(error))

    async def open(self) -> trio.SocketStream:
        """Open a connection.

        After a failure, only one request at a time tries to connect. The others fail
        at once instead of each waiting for the connect timeout.

        :raises OSError: when it can't be established.
        :raises trio.TooSlowError: when it was not established in time.
        """
        if self.last_connect_failed and self.connecting_count:
            raise OSError("another try has not ended yet")
        self.connecting_count += 1
        address = (self.host, self.port)
        try:
            stream = await open_connection(
                self.host, self.port, timeout_s=CONNECT_TIMEOUT_S
            )
        except (OSError, trio.TooSlowError) as error:
            is_current = address == (self.host, self.port)
            self.last_connect_failed = is_current and not is_shortage(error)
            raise
        finally:
            self.connecting_count -= 1
        self.last_connect_failed = False
        return stream

    def build_connect_failure(self, detail: str) -> Failure:
        return Failure(
            reason=Reason.BACKEND_UNREACHABLE,
            detail=f"cannot connect to {self.host}:{self.port}: {detail}",
        )

    async def send_and_receive(
        self, stream: trio.SocketStream, request: HttpRequest
    ) -> HttpResponse | Failure:
        parser = ResponseParser(self.limits, head_only=request.method == b"HEAD")
        try:
            if len(request.body) > MAX_COPIED_BODY_BYTES:
                return await self.send_while_receiving(stream, request, parser)
            await send_all(stream, encode_request(request))
            return await self.receive_response(stream, request, parser)
        except NothingWrittenError as error:
            # Only the write that begins the request ends up here.
            return Failure(
                reason=Reason.BACKEND_UNREACHABLE,
                detail=f"the connection was closed before the request: {error}",
            )
        except trio.BrokenResourceError as error:
            return build_connection_lost_failure(str(error))
        finally:
            self.buffer.remove(parser)
            self.turns.release(parser)
            parser.close()

    async def send_while_receiving(
        self, stream: trio.SocketStream, request: HttpRequest, parser: ResponseParser
    ) -> HttpResponse | Failure:
        """Send a large request, and take a response that comes before its end.

        The server may read the rest late, or not at all. Nothing else may follow an
        incomplete request, so its connection is not used again.
        """
        await send_all(stream, encode_request_head(request))
        is_sent = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_body, stream, request.body, is_sent)
            try:
                result = await self.receive_response(stream, request, parser)
            except trio.BrokenResourceError as error:
                result = build_connection_lost_failure(str(error))
            nursery.cancel_scope.cancel()
        if isinstance(result, HttpResponse) and not is_sent.is_set():
            result.keep_alive = False
        return result

    async def receive_response(
        self, stream: trio.SocketStream, request: HttpRequest, parser: ResponseParser
    ) -> HttpResponse | Failure:
        stray_count = 0
        while True:
            failure = await self.receive_message(stream, parser)
            if failure is not None:
                return failure
            response = parser.messages.popleft()
            if self.is_matching_response is None or self.is_matching_response(
                request, response
            ):
                break
            # A late response to an earlier request; the expected one may follow.
            stray_count += 1
            if stray_count > MAX_STRAY_RESPONSES or not response.keep_alive:
                return build_bad_answer_failure("the answer belongs to another request")
        has_surplus = parser.messages or parser.in_message or parser.failure is not None
        if has_surplus and self.is_matching_response is None:
            return build_bad_answer_failure("more than one answer to one request")
        if has_surplus or stray_count:
            response.keep_alive = False
        return response

    async def receive_message(
        self, stream: trio.SocketStream, parser: ResponseParser
    ) -> Failure | None:
        """Receive until the parser has a complete response, or return the failure."""
        while not parser.messages:
            data = await self.receive_part(stream, parser)
            if not data:
                parser.finish_at_close()
                if parser.messages:
                    return None
                return build_connection_lost_failure("the answer was cut")
            failure = parser.feed(data) or self.buffer.update(parser)
            if failure is not None and not parser.messages:
                return failure
        return None

    async def receive_part(
        self, stream: trio.SocketStream, parser: ResponseParser
    ) -> bytes:
        """Wait for bytes and read some, in a turn if they continue a response."""
        while True:
            await wait_for_input(stream)
            max_bytes = READ_BYTES
            if parser.in_message and rate_work(parser):
                if not self.turns.try_take(parser):
                    await self.turns.wait(parser, rate_work(parser))
                max_bytes = compute_read_bytes(parser, FIRST_READ_BYTES, READ_BYTES)
            data = read_available(stream, max_bytes)
            if data is not None:
                return data

    def close_idle_connections(self) -> None:
        """Close all idle connections."""
        while self.idle_connections:
            self.idle_connections.pop().stream.socket.close()


async def send_body(
    stream: trio.SocketStream, body: bytes, is_sent: trio.Event
) -> None:
    """Send a body; a lost connection is left to the task that reads the response.

    :param is_sent: set once the whole body was sent.
    """
    with contextlib.suppress(trio.BrokenResourceError):
        await send_all(stream, body)
        is_sent.set()


def is_shortage(error: OSError | trio.TooSlowError) -> bool:
    """Return whether a connection failed as this process has no descriptor left."""
    return isinstance(error, OSError) and error.errno in SHORTAGE_ERRORS


def get_max_idle_s(response: HttpResponse) -> float:
    """Return the seconds for which a connection may stay idle after a response."""
    value = find_header(response.headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name == b"timeout" and seconds.isdigit():
            server_timeout_s = int(seconds)
            return min(
                MAX_IDLE_S,
                max(server_timeout_s - KEEP_ALIVE_MARGIN_S, server_timeout_s / 2),
            )
    return MAX_IDLE_S


def build_connection_lost_failure(detail: str) -> Failure:
    return Failure(
        reason=Reason.BACKEND_CONNECTION_LOST,
        outcome=Outcome.UNKNOWN,
        detail=detail,
    )
