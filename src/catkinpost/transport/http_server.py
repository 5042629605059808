"""Server side of HTTP/1.1 on the call path: one task for each connection."""

from collections.abc import Awaitable, Callable

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
PIPELINE_DEPTH = 8
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


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
        self.connections = 0
        self.leaving = False

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it.

        :param stream: accepted connection; closed on return.
        """
        self.connections += 1
        try:
            async with stream, trio.open_nursery() as nursery:
                send, receive = trio.open_memory_channel(PIPELINE_DEPTH)
                nursery.start_soon(self.read_requests, stream, send, nursery)
                await self.answer_requests(stream, receive)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller closed the connection: there is nobody left to answer.
            pass
        finally:
            self.connections -= 1

    async def read_requests(
        self,
        stream: trio.abc.Stream,
        send: trio.MemorySendChannel,
        nursery: trio.Nursery,
    ) -> None:
        parser = RequestParser(self.limits)
        async with send:
            while True:
                data = await self.read_some(stream, parser)
                if isinstance(data, Failure):
                    await send.send(data)
                    return
                if not data:
                    break
                failure = parser.feed(data)
                while parser.messages:
                    await send.send(parser.messages.popleft())
                if failure is not None:
                    await send.send(failure)
                    return
                if parser.in_message and parser.head_complete:
                    await self.send_continue(stream, parser)
        # End of input means that the caller left: its running request is cancelled.
        nursery.cancel_scope.cancel()

    async def read_some(
        self, stream: trio.abc.Stream, parser: RequestParser
    ) -> bytes | Failure:
        started = parser.in_message
        limits = self.limits
        timeout = limits.head_timeout if started else limits.idle_timeout
        with trio.move_on_after(timeout):
            return await stream.receive_some(READ_BYTES)
        if started:
            return Failure(
                reason=Reason.SLOW_SENDER,
                detail=f"the request made no progress for {timeout} s",
            )
        return b""

    async def send_continue(
        self, stream: trio.abc.Stream, parser: RequestParser
    ) -> None:
        if parser.body_bytes == 0 and (b"expect", b"100-continue") in parser.headers:
            parser.headers.remove((b"expect", b"100-continue"))
            await stream.send_all(CONTINUE_LINE)

    async def answer_requests(
        self, stream: trio.abc.Stream, receive: trio.MemoryReceiveChannel
    ) -> None:
        async for request in receive:
            if isinstance(request, Failure):
                self.report(request)
                data = encode_response(
                    failure_response(request), keep_alive=False, head_only=False
                )
                await self.send_bounded(stream, data)
                return
            response = await self.handler(request)
            keep_alive = request.keep_alive and not self.leaving
            data = encode_response(
                response,
                keep_alive=keep_alive,
                head_only=request.method == b"HEAD",
            )
            if not await self.send_bounded(stream, data) or not keep_alive:
                return

    async def send_bounded(self, stream: trio.abc.Stream, data: bytes) -> bool:
        with trio.move_on_after(self.limits.idle_timeout):
            await stream.send_all(data)
            return True
        return False
