"""Stand-in of a server on the users' platform, with the faults that it may show."""

import enum
import math
import random
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

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
)
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
from catkinpost.transport.http_server import HttpServer

__all__ = ["ChildCall", "Run", "ServerFault", "StandInServer"]

LARGEST_BODY_BYTES = 64 * 1024 * 1024
ANSWER_PIECES = 4
PIECE_PAUSE_S = 0.05


class PiecewiseServer(HttpServer):
    """HTTP server that sends some of its answers in pieces, with pauses between.

    :ivar piece_share: share of the answers that are sent so.
    """

    piece_share = 0.0

    async def send_response(
        self, connection: Connection, exchange: Exchange, *, keep_alive: bool
    ) -> None:
        if random.random() >= self.piece_share:
            await super().send_response(connection, exchange, keep_alive=keep_alive)
            return
        data = encode_response(
            exchange.response, keep_alive=keep_alive, head_only=exchange.head_only
        )
        size = math.ceil(len(data) / ANSWER_PIECES)
        for start in range(0, len(data), size):
            await connection.stream.send_all(data[start : start + size])
            await trio.sleep(PIECE_PAUSE_S)


class ServerFault(enum.Enum):
    """What a server does in place of a proper answer."""

    NONE = "none"
    SHED = "shed"
    OTHER_ID = "other id"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    UNPROMISED_503 = "503 without a promise"


@dataclass(frozen=True, kw_only=True)
class ChildCall:
    """Call that a server makes while it runs a request."""

    host: str
    path: str


@dataclass(kw_only=True)
class Run:
    """One request that reached a server.

    :param attempt: its identity.
    :param arrived_at: time of its arrival; later times are ``None`` until they come.
    :param end: ``"waits"``, ``"runs"``, ``"done"``, ``"deadline"``, ``"refused"``,
        ``"cut"`` by its caller, or ``"broken off"`` by the server.
    :param checksum: CRC-32 of the answer's body.
    """

    attempt: bytes
    arrived_at: float
    began_at: float | None = None
    ended_at: float | None = None
    end: str = "waits"
    checksum: int | None = None


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
    :ivar history: every request that reached it.
    :ivar rate_limit: requests per second that it names, ``None`` for no limit.
    :ivar leaving: whether it announces that it leaves.
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
        self.waiting = 0
        self.slot_free = trio.lowlevel.ParkingLot()
        self.history: list[Run] = []
        self.scope = trio.CancelScope()
        self.seconds = seconds
        self.outbound = outbound
        self.children: list[ChildCall] = []
        self.fault = ServerFault.NONE
        self.rate_limit: float | None = None
        self.leaving = False
        self.running = 0
        self.runs: Counter[bytes] = Counter()
        self.cancelled = 0
        self.callers: set[bytes] = set()
        self.child_number = 0
        self.limits = HttpLimits(max_body_bytes=LARGEST_BODY_BYTES)
        self.server = PiecewiseServer(
            self.handle, limits=self.limits, report_failure=lambda failure: None
        )

    async def serve(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen at an address."""
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

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request, or say why it is not run."""
        expected = find_header(request.headers, EXPECTED_INSTANCE)
        if expected is not None and expected != self.instance.encode():
            return self.refuse(421)
        attempt = find_header(request.headers, ATTEMPT_ID)
        if attempt is None:
            return self.refuse(400)
        is_full = self.running >= self.slots and self.waiting >= self.queue
        if self.fault is ServerFault.SHED or is_full:
            return self.refuse(503)
        self.callers.add(find_header(request.headers, CALLING_SERVICE) or b"")
        run = Run(attempt=attempt, arrived_at=trio.current_time())
        self.history.append(run)
        try:
            return await self.wait_and_run(request, run)
        except trio.Cancelled:
            run.end = "broken off" if self.scope.cancel_called else "cut"
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
                        return self.answer(500, attempt, b"a child call failed")
                run.end = "done"
                body = b"%b %b " % (request.method, request.body)
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
        named = b"another" if self.fault is ServerFault.OTHER_ID else attempt
        headers = [(ATTEMPT_ID, named), *self.build_notices()]
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
