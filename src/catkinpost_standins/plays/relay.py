"""Relays on the ways between machines: delay, a narrow link, and cuts."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

__all__ = ["Link", "Relay"]

READ_BYTES = 16_384
QUEUE_READS = 256
RESET_AT_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


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
        self.writers: set[asyncio.StreamWriter] = set()
        self.passes = asyncio.Event()
        self.passes.set()

    async def start(self) -> None:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, self.host, self.port)

    def end(self) -> None:
        """End, with all connections."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    def cut(self) -> None:
        """Hold all bytes, ends and new connections."""
        self.passes.clear()

    def mend(self, *, resets: bool) -> None:
        """Go on with what was held, or reset all connections."""
        if resets:
            for writer in self.writers:
                if not writer.is_closing():
                    writer.get_extra_info("socket").setsockopt(*RESET_AT_CLOSE)
                    writer.transport.abort()
            for task in list(self.tasks):
                task.cancel()
            self.tasks.clear()
            self.writers.clear()
        self.passes.set()

    async def serve(self, reader, writer) -> None:
        """Relay one connection."""
        self.tasks.add(task := asyncio.current_task())
        self.writers.add(writer)
        try:
            await asyncio.sleep(self.link.delay_s)
            await self.passes.wait()
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # The target takes no connection, as a port without a listener.
            writer.transport.abort()
            self.tasks.discard(task)
            self.writers.discard(writer)
            return
        self.writers.add(other_writer)
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
            self.writers -= {writer, other_writer}
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
                await self.passes.wait()
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
