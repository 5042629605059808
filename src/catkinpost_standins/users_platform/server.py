"""Stand-in of a server on the users' platform, with the faults that it may show."""

import enum
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
    find_header,
)
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_server import HttpServer

__all__ = ["ChildCall", "ServerFault", "StandInServer"]

LARGEST_BODY_BYTES = 64 * 1024 * 1024


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


class StandInServer:
    """One server: slots, service time, child calls and the answers' headers.

    :param instance: its identity in the store.
    :param service: its service.
    :param slots: requests that it runs at once.
    :param seconds: service time besides child calls.
    :param outbound: returns the connection pool to its own machine's node.
    :ivar rate_limit: requests per second that it names, ``None`` for no limit.
    :ivar leaving: whether it announces that it leaves.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        *,
        slots: int = 16,
        seconds: float = 0.005,
        outbound: Callable[[], BackendClient] | None = None,
    ) -> None:
        self.instance = instance
        self.service = service
        self.slots = slots
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
        self.server = HttpServer(
            self.handle, limits=self.limits, report_failure=lambda failure: None
        )

    async def serve(self, nursery: trio.Nursery, host: str, port: int) -> None:
        """Listen at an address."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(self.server.watch_connections)
        nursery.start_soon(
            trio.serve_listeners, self.server.serve_connection, listeners
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request, or say why it is not run."""
        expected = find_header(request.headers, EXPECTED_INSTANCE)
        if expected is not None and expected != self.instance.encode():
            return self.refuse(421)
        attempt = find_header(request.headers, ATTEMPT_ID)
        if attempt is None:
            return self.refuse(400)
        if self.fault is ServerFault.SHED or self.running >= self.slots:
            return self.refuse(503)
        self.runs[attempt] += 1
        self.callers.add(find_header(request.headers, CALLING_SERVICE) or b"")
        self.running += 1
        try:
            return await self.run(request, attempt)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def run(self, request: HttpRequest, attempt: bytes) -> HttpResponse:
        left_ms = int(find_header(request.headers, DEADLINE_REMAINING) or b"1000")
        with trio.move_on_after(left_ms / 1000):
            await trio.sleep(self.seconds)
            for child in self.children:
                if not await self.call(child, left_ms):
                    return self.answer(500, attempt, b"a child call failed")
            return self.answer(200, attempt, b"%b %b " % (request.method, request.body))
        return self.answer(504, attempt, b"deadline")

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
        headers = [(SERVER_LOAD, b"%d,0,%d,100" % (self.running, self.slots))]
        if self.rate_limit is not None:
            headers.append((SERVER_LIMIT, b"%g" % self.rate_limit))
        if self.leaving:
            headers.append((SERVER_LEAVING, b"1"))
        return headers

    def refuse(self, status: int) -> HttpResponse:
        return HttpResponse(status, [(NOT_EXECUTED, b"1"), *self.build_notices()])
