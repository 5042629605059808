"""Stand-in of a server on the users' platform, with the faults that it may show."""

import enum
import math
import random
import socket
import struct
import zlib
from collections import Counter
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any
from weakref import WeakSet

import trio

from catkinpost.platform.names import (
    ATTEMPT_ID,
    CALLING_SERVICE,
    DEADLINE_REMAINING,
    EXPECTED_INSTANCE,
    NOT_EXECUTED,
    RESPONSE_SIGNATURE,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
    TENANT,
)
from catkinpost.protocol.credential import AUTHORIZATION_HEADER
from catkinpost.protocol.http import (
    Headers,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_response,
    find_header,
)
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_connection import Connection, Exchange
from catkinpost.transport.http_server import Handler, HttpServer

__all__ = ["ChildCall", "Run", "ServerFault", "StandInServer", "Trouble"]

LARGEST_BODY_BYTES = 64 * 1024 * 1024
ANSWER_PIECES = 4
PIECE_PAUSE_S = 0.05
TROUBLE_SHARE = 0.3
MAX_REPEAT_S = 0.3
MAX_CONNECTIONS = 2
EXTRA_BYTES = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra"


class Trouble(enum.Enum):
    """What a server does with its connections, besides its answers."""

    NONE = "none"
    TRUNCATES = "truncates"
    RESETS = "resets an answer without a length"
    NO_LENGTH = "ends answers without a length"
    ADDS = "adds bytes"
    REPEATS = "answers again"
    CLOSES = "closes kept connections"
    LIMITS = "resets connections beyond its limit"


# Connection of the request that a task handles.
STREAM: ContextVar[trio.SocketStream | None] = ContextVar("STREAM", default=None)


class TroubledServer(HttpServer):
    """HTTP server with answers in pieces and trouble on its connections.

    :ivar piece_share: share of the answers that are sent in pieces, with pauses.
    :ivar trouble: what it does to a share of its answers.
    :ivar broken: connections that it has broken off.
    :ivar break_off: called with a response whose caller does not get all of it.
    """

    piece_share = 0.0
    trouble = Trouble.NONE
    break_off: Callable[[HttpResponse], None]

    def __init__(self, handler: Handler, **options: Any) -> None:
        super().__init__(handler, **options)
        self.broken: WeakSet[trio.SocketStream] = WeakSet()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        is_full = len(self.connections) >= MAX_CONNECTIONS
        if self.trouble is Trouble.LIMITS and is_full:
            reset_at_close(stream)
            await stream.aclose()
            return
        await super().serve_connection(stream)

    async def handle_request(
        self, connection: Connection, exchange: Exchange, request: HttpRequest
    ) -> None:
        STREAM.set(connection.stream)
        await super().handle_request(connection, exchange, request)

    async def linger(self, connection: Connection) -> None:
        if connection.stream not in self.broken:
            await super().linger(connection)

    async def send_response(
        self, connection: Connection, exchange: Exchange, *, keep_alive: bool
    ) -> None:
        if connection.stream in self.broken:
            self.break_off(exchange.response)
            connection.scope.cancel()
            return
        data = encode_response(
            exchange.response, keep_alive=keep_alive, head_only=exchange.head_only
        )
        # A status has three digits, also one that is none.
        status = exchange.response.status
        data = data.replace(b" %d " % status, b" %03d " % status, 1)
        if self.trouble is not Trouble.NONE and random.random() < TROUBLE_SHARE:
            await self.send_with_trouble(connection, exchange.response, data)
            return
        is_whole = random.random() >= self.piece_share
        size = len(data) if is_whole else math.ceil(len(data) / ANSWER_PIECES)
        for start in range(0, len(data), size):
            await connection.stream.send_all(data[start : start + size])
            if not is_whole:
                await trio.sleep(PIECE_PAUSE_S)

    async def send_with_trouble(
        self, connection: Connection, response: HttpResponse, data: bytes
    ) -> None:
        stream, trouble = connection.stream, self.trouble
        if trouble in (Trouble.TRUNCATES, Trouble.RESETS):
            self.break_off(response)
        if trouble in (Trouble.NO_LENGTH, Trouble.RESETS):
            length = b"content-length: %d\r\n" % len(response.body)
            data = data.replace(length, b"connection: close\r\n", 1)
        if trouble in (Trouble.TRUNCATES, Trouble.RESETS):
            data = data[: len(data) // 2]
        elif trouble is Trouble.ADDS:
            data += EXTRA_BYTES
        await stream.send_all(data)
        if trouble is Trouble.REPEATS:
            await trio.sleep(random.uniform(0, MAX_REPEAT_S))
            await stream.send_all(data)
        elif trouble not in (Trouble.ADDS, Trouble.LIMITS):
            self.broken.add(stream)
            if trouble is Trouble.RESETS:
                reset_at_close(stream)
                connection.scope.cancel()
            else:
                await stream.send_eof()


def reset_at_close(stream: trio.SocketStream) -> None:
    """Let a connection end with a reset."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class ServerFault(enum.Enum):
    """What a server does in place of a proper answer."""

    NONE = "none"
    SHED = "shed"
    OTHER_ID = "other id"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    UNPROMISED_503 = "503 without a promise"
    STATUS_000 = "status 000"
    STATUS_150 = "status 150 with a body"
    STATUS_600 = "status 600"


NO_STATUSES = {
    ServerFault.STATUS_000: 0,
    ServerFault.STATUS_150: 150,
    ServerFault.STATUS_600: 600,
}


@dataclass(frozen=True, kw_only=True)
class ChildCall:
    """Call that a server makes while it runs a request."""

    host: str
    path: str


@dataclass(kw_only=True)
class Run:
    """One request that reached a server.

    :param attempt: its identity.
    :param service: service of the server.
    :param arrived_at: time of its arrival; later times are ``None`` until they come.
    :param end: ``"waits"``, ``"runs"``, ``"done"``, ``"call failed"``, ``"deadline"``,
        ``"refused"``, ``"cut"`` by its caller, or ``"broken off"`` by the server.
    :param checksum: CRC-32 of the answer's body.
    :param caller: service that the request names as its caller.
    :param tenant: workspace that it names.
    :param has_key: whether it has credentials.
    """

    attempt: bytes
    arrived_at: float
    began_at: float | None = None
    ended_at: float | None = None
    end: str = "waits"
    service: str = ""
    checksum: int | None = None
    caller: str = ""
    tenant: str = ""
    has_key: bool = False


class StandInServer:
    """One server: slots, service time, child calls and the answers' headers.

    :param instance: its identity in the store.
    :param service: its service.
    :param slots: requests that it runs at once.
    :param queue: requests that wait for a slot.
    :param seconds: service time besides child calls.
    :param outbound: returns the connection pool to its own machine's node.
    :param answer_bytes: least size of an answer's body.
    :ivar tail_share: share of requests that take ``tail_factor`` times as long.
    :ivar host: address at which it listens.
    :ivar history: every request that reached it.
    :ivar arrivals: identity and time of every request that reached it, besides those
        for another server.
    :ivar rate_limit: requests per second that it names, ``None`` for no limit.
    :ivar leaving: whether it announces that it leaves.
    :ivar more_headers: further headers of its answers.
    :ivar max_echo_bytes: most bytes of a request that its answer repeats.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        *,
        slots: int = 16,
        queue: int = 0,
        seconds: float = 0.005,
        answer_bytes: int = 0,
        outbound: Callable[[], BackendClient] | None = None,
    ) -> None:
        self.instance = instance
        self.service = service
        self.slots = slots
        self.queue = queue
        self.tail_share = 0.0
        self.tail_factor = 1.0
        self.answer_bytes = answer_bytes
        self.max_echo_bytes = LARGEST_BODY_BYTES
        self.waiting = 0
        self.slot_free = trio.lowlevel.ParkingLot()
        self.host = ""
        self.history: list[Run] = []
        self.arrivals: list[tuple[bytes, float]] = []
        self.scope = trio.CancelScope()
        self.seconds = seconds
        self.outbound = outbound
        self.children: list[ChildCall] = []
        self.fault = ServerFault.NONE
        self.more_headers: Headers = []
        self.rate_limit: float | None = None
        self.leaving = False
        self.running = 0
        self.runs: Counter[bytes] = Counter()
        self.cancelled = 0
        self.callers: set[bytes] = set()
        self.child_number = 0
        self.limits = HttpLimits(max_body_bytes=LARGEST_BODY_BYTES)
        self.server = TroubledServer(
            self.handle, limits=self.limits, report_failure=lambda failure: None
        )
        self.server.break_off = self.break_off

    async def serve(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen at an address."""
        self.host = host
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(self.run_listeners, listeners)

    async def run_listeners(self, listeners: list[trio.SocketListener]) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.server.watch_connections)
                await trio.serve_listeners(
                    self.server.serve_connection, listeners, handler_nursery=nursery
                )

    def end(self) -> None:
        """End as a process does: close the listener and every connection."""
        self.scope.cancel()

    def break_off(self, response: HttpResponse) -> None:
        """Note that a run's caller does not get its whole answer."""
        attempt = find_header(response.headers, ATTEMPT_ID)
        for run in self.history:
            if run.attempt == attempt:
                run.end = "broken off"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request, or say why it is not run."""
        expected = find_header(request.headers, EXPECTED_INSTANCE)
        is_other = expected is not None and expected != self.instance.encode()
        attempt = find_header(request.headers, ATTEMPT_ID)
        if attempt is None:
            return self.refuse(421 if is_other else 400)
        now = trio.current_time()
        if not is_other:
            self.arrivals.append((attempt, now))
        caller = (find_header(request.headers, CALLING_SERVICE) or b"").decode(
            "latin-1"
        )
        run = Run(
            attempt=attempt,
            arrived_at=now,
            service=self.service,
            caller=caller,
            tenant=(find_header(request.headers, TENANT) or b"").decode("latin-1"),
            has_key=find_header(request.headers, AUTHORIZATION_HEADER) is not None,
        )
        self.history.append(run)
        is_full = self.running >= self.slots and self.waiting >= self.queue
        if is_other or self.fault is ServerFault.SHED or is_full:
            run.end, run.ended_at = "refused", run.arrived_at
            return self.refuse(421 if is_other else 503)
        self.callers.add(caller.encode("latin-1"))
        try:
            return await self.wait_and_run(request, run)
        except trio.Cancelled:
            is_broken = self.scope.cancel_called or STREAM.get() in self.server.broken
            run.end = "broken off" if is_broken else "cut"
            raise
        finally:
            run.ended_at = trio.current_time()

    async def wait_and_run(self, request: HttpRequest, run: Run) -> HttpResponse:
        left_ms = int(find_header(request.headers, DEADLINE_REMAINING) or b"1000")
        with trio.move_on_after(left_ms / 1000) as wait:
            await self.wait_for_slot()
        if wait.cancelled_caught:
            run.end = "refused"
            return self.refuse(503)
        return await self.run(request, run, left_ms)

    async def wait_for_slot(self) -> None:
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await self.slot_free.park()
        finally:
            self.waiting -= 1

    async def run(self, request: HttpRequest, run: Run, left_ms: int) -> HttpResponse:
        attempt = run.attempt
        self.runs[attempt] += 1
        run.began_at = trio.current_time()
        run.end = "runs"
        self.running += 1
        left_s = left_ms / 1000 - (run.began_at - run.arrived_at)
        try:
            with trio.move_on_after(left_s):
                await trio.sleep(self.choose_seconds())
                for child in self.children:
                    if not await self.call(child, left_ms):
                        run.end = "call failed"
                        return self.answer(500, attempt, b"a child call failed")
                run.end = "done"
                echo = request.body[: self.max_echo_bytes]
                body = b"%b %b " % (request.method, echo)
                body = body.ljust(self.answer_bytes, b".")
                run.checksum = zlib.crc32(body)
                return self.answer(200, attempt, body)
            run.end = "deadline"
            return self.answer(504, attempt, b"deadline")
        except trio.Cancelled:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
            self.slot_free.unpark()

    def choose_seconds(self) -> float:
        is_long = self.tail_share and random.random() < self.tail_share
        return self.seconds * (self.tail_factor if is_long else 1)

    async def call(self, child: ChildCall, left_ms: int) -> bool:
        self.child_number += 1
        identity = f"{self.instance}-{self.child_number}"
        headers = [
            (b"host", child.host.encode()),
            (ATTEMPT_ID, identity.encode()),
            (DEADLINE_REMAINING, b"%d" % left_ms),
        ]
        request = HttpRequest(b"GET", child.path.encode(), headers)
        result = await self.outbound().send_request(request)
        return isinstance(result, HttpResponse) and result.status == 200

    def answer(self, status: int, attempt: bytes, body: bytes) -> HttpResponse:
        if self.fault is ServerFault.UNPROMISED_503:
            return HttpResponse(503, [(ATTEMPT_ID, attempt)], b"")
        status = NO_STATUSES.get(self.fault, status)
        named = b"another" if self.fault is ServerFault.OTHER_ID else attempt
        headers = [(ATTEMPT_ID, named), *self.build_notices(), *self.more_headers]
        if self.fault is not ServerFault.UNSIGNED:
            headers.append((RESPONSE_SIGNATURE, b"sig." + attempt))
        if self.fault is ServerFault.ENCODED:
            headers.append((b"content-encoding", b"gzip"))
        return HttpResponse(status, headers, body)

    def build_notices(self) -> Headers:
        """Build the headers in which the server tells about itself."""
        headers = [
            (SERVER_LOAD, b"%d,%d,%d,100" % (self.running, self.waiting, self.slots))
        ]
        if self.rate_limit is not None:
            headers.append((SERVER_LIMIT, b"%g" % self.rate_limit))
        if self.leaving:
            headers.append((SERVER_LEAVING, b"1"))
        return headers

    def refuse(self, status: int) -> HttpResponse:
        return HttpResponse(status, [(NOT_EXECUTED, b"1"), *self.build_notices()])
