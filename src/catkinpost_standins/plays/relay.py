"""Relays on the ways between machines: delay, and a narrow link."""

import asyncio
import contextlib
from dataclasses import dataclass

__all__ = ["Link", "Relay"]

READ_BYTES = 16_384
QUEUE_READS = 256


@dataclass(frozen=True)
class Link:
    """One way between two machines.

    :param delay_s: time for each byte, one way.
    :param bytes_per_s: width, ``None`` for no bound.
    """

    delay_s: float = 0.0
    bytes_per_s: float | None = None


class Relay:
    """Passes connections on, with the ends of each side in order."""

    def __init__(self, host: str, port: int, target: tuple[str, int], link: Link):
        self.host, self.port, self.target, self.link = host, port, target, link
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)

    def end(self) -> None:
        """End, with all connections."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer) -> None:
        """Relay one connection."""
        self.tasks.add(task := asyncio.current_task())
        try:
            await asyncio.sleep(self.link.delay_s)
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # The target takes no connection, as a port without a listener.
            writer.transport.abort()
            self.tasks.discard(task)
            return
        try:
            async with asyncio.TaskGroup() as group:
                for source, sink, closes in (
                    (reader, other_writer, writer),
                    (other_reader, writer, other_writer),
                ):
                    queue: asyncio.Queue = asyncio.Queue(QUEUE_READS)
                    group.create_task(self.read(source, queue))
                    group.create_task(self.write(queue, sink, closes))
        finally:
            self.tasks.discard(task)
            writer.close()
            other_writer.close()

    async def read(self, source, queue: asyncio.Queue) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await source.read(READ_BYTES):
                await queue.put((loop.time() + self.link.delay_s, data))
                if self.link.bytes_per_s:
                    await asyncio.sleep(len(data) / self.link.bytes_per_s)
            await queue.put((loop.time() + self.link.delay_s, b""))
        except OSError:
            await queue.put((loop.time() + self.link.delay_s, None))

    async def write(self, queue: asyncio.Queue, sink, source) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                due_at, data = await queue.get()
                await asyncio.sleep(due_at - loop.time())
                if data is None:
                    sink.transport.abort()
                    return
                if not data:
                    sink.write_eof()
                    return
                sink.write(data)
                await sink.drain()
        # The sink was reset: its other side must learn of it.
        source.transport.abort()
