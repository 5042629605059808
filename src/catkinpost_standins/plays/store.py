"""The platform's store, for plays."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from catkinpost_standins.plays.wire import build_head, read_message

__all__ = ["Store"]


class Store:
    """Store that nodes read, without faults unless it is silent.

    :ivar is_silent: whether calls get no answer.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.is_silent = False
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str) -> str:
        """Listen, and return the address."""
        self.listener = await asyncio.start_server(self.serve, host, 0)
        return ":".join(map(str, self.listener.sockets[0].getsockname()))

    def end(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    def put(self, key: str, value: dict | None) -> None:
        """Write a key, or delete it."""
        self.revision += 1
        event: dict = {"key": key, "revision": self.revision}
        self.items.pop(key, None)
        if value is None:
            event["deleted"] = True
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event |= {"value": text, "created": self.revision, "lease": 0}
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        self.tasks.add(task := asyncio.current_task())
        try:
            await self.serve_requests(reader, writer)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve_requests(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await read_message(reader)) is not None:
                value = await self.answer(request.first_line.split()[1])
                while self.is_silent:
                    await asyncio.sleep(0.1)
                body = json.dumps(value).encode()
                status = "404 Not Found" if value is None else "200 OK"
                head = {"Content-Length": str(len(body))}
                writer.write(build_head(f"HTTP/1.1 {status}", head) + body)
                await writer.drain()

    async def answer(self, target: str) -> dict | None:
        """Return the body of an answer."""
        parts = urlsplit(target)
        query = parse_qs(parts.query, keep_blank_values=True)
        prefix = query.get("prefix", [""])[0]
        after = query.get("after", [""])[0]
        if parts.path == "/v1/kv-range":
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return {"items": items, "more-pages": False, "at": self.revision}
        if parts.path == "/v1/kv-key":
            return self.items.get(query["key"][0])
        if parts.path != "/v1/kv-watch":
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait-ms"][0]) / 1000):
                while self.revision <= int(after):
                    await self.changed.wait()
        events = [
            item
            for item in self.history
            if item["revision"] > int(after) and item["key"].startswith(prefix)
        ]
        return {"events": events, "at": self.revision}
