"""Stand-in of the platform's store, with the faults that it may show."""

import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import trio

from catkinpost.platform.names import STORE_ERA
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.transport.http_server import HttpServer

__all__ = ["StandInStore"]

HOST = "127.0.0.1"
PAGE_ITEMS = 50


@dataclass(frozen=True)
class StoreCopy:
    """State of the store at one time."""

    items: dict[str, dict]
    history: list[dict]
    revision: int


class StandInStore:
    """Keys with revisions, ranges in pages, watches, and scripted faults.

    ``fault`` answers every call in place of the store while it is set.

    :ivar era: number of times that the store was restored from a copy, ``None`` for a
        store that names no era.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.first_revision = 0
        self.era: int | None = 1
        self.changed = trio.Event()
        self.fault: Callable[[], Awaitable[HttpResponse]] | None = None
        self.reads: list[str] = []
        self.port = 0
        self.server = HttpServer(
            self.handle, limits=HttpLimits(), report_failure=lambda failure: None
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on a free port."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(
            trio.serve_listeners, self.server.serve_connection, listeners
        )
        self.port = listeners[0].socket.getsockname()[1]

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
        if self.fault is not None:
            return await self.fault()
        response = await self.respond(parts.path, query)
        if self.era is not None:
            response.headers.append((STORE_ERA, b"%d" % self.era))
        return response

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
        if after < self.first_revision or after > self.revision:
            return HttpResponse(410)
        with trio.move_on_after(int(query["wait-ms"]) / 1000):
            while self.revision <= after:
                await self.changed.wait()
        events = [event for event in self.history if event["revision"] > after]
        body = {"events": events, "at": self.revision}
        return HttpResponse(200, [], json.dumps(body).encode())
