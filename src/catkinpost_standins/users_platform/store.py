"""Stand-in of the platform's store, with the faults that it may show."""

import base64
import json
from collections.abc import Awaitable, Callable, Sequence
from contextvars import ContextVar
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import trio

from catkinpost.platform.names import STORE_ERA
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.transport.http_server import HttpServer

__all__ = ["StandInStore", "Watch", "Write"]

HOST = "127.0.0.1"
PAGE_ITEMS = 50
# Address at which the current call came in, which tells machines apart.
ADDRESS: ContextVar[str] = ContextVar("ADDRESS", default="")


@dataclass(frozen=True)
class StoreCopy:
    """State of the store at one time."""

    items: dict[str, dict]
    history: list[dict]
    revision: int


@dataclass(frozen=True, kw_only=True)
class Write:
    """Write that the store has acknowledged.

    :param at: time of the runtime's clock.
    :param value: new value, ``None`` for a removal.
    """

    at: float
    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, kw_only=True)
class Watch:
    """Call for later changes, by which a machine tells what it has read.

    :param host: address at which the call came in.
    :param after: last revision that the machine has read.
    """

    at: float
    host: str
    after: int


class StandInStore:
    """Keys with revisions, ranges in pages, watches, and scripted faults.

    ``fault`` answers every call in place of the store while it is set.

    :ivar fault_hosts: addresses at which calls meet the fault, empty for all.
    :ivar delay_s: seconds by which each call is slow.
    :ivar era: number of times that the store was restored from a copy, ``None`` for a
        store that names no era.
    :ivar writes: all writes in order, also those that a restored store has lost.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.first_revision = 0
        self.era: int | None = 1
        self.changed = trio.Event()
        self.fault: Callable[[], Awaitable[HttpResponse]] | None = None
        self.fault_hosts: set[str] = set()
        self.delay_s = 0.0
        self.connections: set[trio.CancelScope] = set()
        self.reads: list[str] = []
        self.writes: list[Write] = []
        self.watches: list[Watch] = []
        self.port = 0
        self.server = HttpServer(
            self.handle, limits=HttpLimits(), report_failure=lambda failure: None
        )

    @property
    def is_down(self) -> bool:
        """Whether nobody is served."""
        return self.fault is not None and not self.fault_hosts

    async def start(self, nursery: trio.Nursery, hosts: Sequence[str] = ()) -> None:
        """Listen on a free port, which is the same at all addresses."""
        for host in (HOST, *hosts):
            listeners = await trio.open_tcp_listeners(self.port, host=host)
            nursery.start_soon(trio.serve_listeners, self.serve_connection, listeners)
            self.port = listeners[0].socket.getsockname()[1]

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        ADDRESS.set(stream.socket.getsockname()[0])
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            await self.server.serve_connection(stream)
        self.connections.discard(scope)

    def cut_connections(self) -> None:
        """Cut every connection, waiting watches with it."""
        for scope in self.connections:
            scope.cancel()

    def put(self, key: str, value: bytes | None) -> None:
        """Write a key, ``None`` to delete it."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["deleted"] = True
        else:
            event["value"] = base64.b64encode(value).decode()
            self.items[key] = event
        self.history.append(event)
        now = trio.current_time()
        write = Write(at=now, key=key, value=value, revision=self.revision)
        self.writes.append(write)
        self.wake()

    def forget_history(self) -> None:
        """Answer watches of all earlier revisions with 410."""
        self.history = []
        self.first_revision = self.revision

    def copy(self) -> "StoreCopy":
        """Copy the current state, for :meth:`restore`."""
        return StoreCopy(dict(self.items), list(self.history), self.revision)

    def restore(self, copy: "StoreCopy") -> None:
        """Come back from a copy: what was written since is gone."""
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.revision = copy.revision
        if self.era is not None:
            self.era += 1
        self.wake()

    def wake(self) -> None:
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        parts = urlsplit(request.target.decode())
        query = {
            key: values[0]
            for key, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        self.reads.append(parts.path)
        await trio.sleep(self.delay_s)
        is_met = not self.fault_hosts or ADDRESS.get() in self.fault_hosts
        if self.fault is not None and is_met:
            return await self.fault()
        response = await self.respond(parts.path, query)
        if self.era is not None:
            response.headers.append((STORE_ERA, b"%d" % self.era))
        return response

    async def refuse(self) -> HttpResponse:
        """Answer as a store that does nothing at the moment; for ``fault``."""
        return HttpResponse(503)

    async def respond(self, path: str, query: dict[str, str]) -> HttpResponse:
        if path == "/v1/kv-range":
            return self.range(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        return HttpResponse(404)

    def range(self, query: dict[str, str]) -> HttpResponse:
        keys = sorted(key for key in self.items if key > query.get("after", ""))
        body = {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "more-pages": len(keys) > PAGE_ITEMS,
            "at": self.revision,
        }
        return HttpResponse(200, [], json.dumps(body).encode())

    async def watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        now = trio.current_time()
        self.watches.append(Watch(at=now, host=ADDRESS.get(), after=after))
        if after < self.first_revision or after > self.revision:
            return HttpResponse(410)
        with trio.move_on_after(int(query["wait-ms"]) / 1000):
            while self.revision <= after:
                await self.changed.wait()
        events = [event for event in self.history if event["revision"] > after]
        body = {"events": events, "at": self.revision}
        return HttpResponse(200, [], json.dumps(body).encode())
