"""Crowds of clients that send what is legal and costs much, or read hardly anything."""

import re
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import trio

__all__ = [
    "HEAD_BYTES",
    "STATUS_BYTES",
    "Crowd",
    "Form",
    "build_head",
    "build_lines",
    "count_descriptors",
    "read_memory",
]

# Size of the largest heads, as the pages of the users have it.
HEAD_BYTES = 16_384
# Time for what a node takes at all; a client that waits longer is held by the node.
PATIENCE_S = 3.0
READ_BYTES = 1024
# Bytes of an answer up to the end of its status.
STATUS_BYTES = len(b"HTTP/1.1 200")
HOST = "crowd.example"


def build_head(start: str, lines: bytes, *, attempt: str = "", end: bool = True):
    """Build the head of a request.

    :param start: method and target.
    :param lines: further header lines, each with its end.
    :param attempt: id of the attempt, empty for none.
    :param end: whether the head is complete.
    """
    head = f"{start} HTTP/1.1\r\nhost: {HOST}\r\ndeadline-remaining: 60000\r\n"
    if attempt:
        head += f"attempt-id: {attempt}\r\n"
    return head.encode() + lines + (b"\r\n" if end else b"")


def build_lines(make_line: Callable[[int], bytes], size: int) -> bytes:
    """Build header lines up to a size in bytes.

    :param make_line: returns the line with a number, without its end.
    """
    lines, total, number = [], 0, 0
    while True:
        line = make_line(number) + b"\r\n"
        total += len(line)
        if total > size:
            return b"".join(lines)
        lines.append(line)
        number += 1


@dataclass(frozen=True, kw_only=True)
class Form:
    """What each client of a crowd does.

    :param build: returns the pieces that the client with a number sends.
    :param reads: bytes that it reads afterwards, ``None`` for all until the end.
    :param greet: returns a request that is answered before on the same connection.
    :param patience_s: seconds for which it sends.
    :param buffer_bytes: size of its send buffer, ``None`` for the system's default.
    """

    build: Callable[[int], Iterable[bytes]]
    reads: int | None = None
    greet: Callable[[int], bytes] | None = None
    patience_s: float = PATIENCE_S
    buffer_bytes: int | None = None


@dataclass(kw_only=True)
class Crowd:
    """Clients that connect together and stay until they are told to leave.

    :param form: what each of them does.
    :param address: host and port that they connect to.
    :param size: number of clients.
    :ivar begun: clients that have sent their first piece, or were closed.
    :ivar all_begun: set once all of them have.
    :ivar ready: number of clients that have sent all, or were closed.
    :ivar all_ready: set once all of them have.
    :ivar sent_bytes: bytes that the system has taken from all clients.
    :ivar statuses: status that a client with a number was answered with.
    """

    form: Form
    address: tuple[str, int]
    size: int
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    sent_bytes: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    begun: set[int] = field(default_factory=set)
    all_begun: trio.Event = field(default_factory=trio.Event)
    ready: int = 0
    all_ready: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Run all clients until the crowd is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                for number in range(self.size):
                    nursery.start_soon(self.run_client, number)
                await trio.sleep_forever()

    async def run_client(self, number: int) -> None:
        try:
            stream = await trio.open_tcp_stream(*self.address)
        except OSError:
            self.note_ready(number)
            return
        if self.form.buffer_bytes is not None:
            size = self.form.buffer_bytes
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        async with stream:
            try:
                if self.form.greet is not None:
                    await self.greet(stream, self.form.greet(number))
                with trio.move_on_after(self.form.patience_s):
                    await self.send(stream, number)
                self.note_ready(number)
                await self.read(stream, number)
            except trio.BrokenResourceError:
                # The node may close the connection of such a client.
                self.note_ready(number)

    async def greet(self, stream: trio.SocketStream, request: bytes) -> None:
        """Send the first request and read its answer."""
        await stream.send_all(request)
        data = b""
        while not is_complete(data):
            piece = await stream.receive_some(READ_BYTES)
            if not piece:
                raise trio.BrokenResourceError("closed before the answer")
            data += piece

    async def send(self, stream: trio.SocketStream, number: int) -> None:
        for piece in self.form.build(number):
            await stream.send_all(piece)
            self.sent_bytes += len(piece)
            self.note_begun(number)

    async def read(self, stream: trio.SocketStream, number: int) -> None:
        left = self.form.reads
        first = b""
        while left is None or left > 0:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return
            if len(first) < STATUS_BYTES:
                first += data[:STATUS_BYTES]
                self.note_status(number, first)
            left = None if left is None else left - len(data)
        await trio.sleep_forever()

    def note_status(self, number: int, first: bytes) -> None:
        if len(first) >= STATUS_BYTES and first.startswith(b"HTTP/1.1 "):
            self.statuses[number] = int(first[STATUS_BYTES - 3 : STATUS_BYTES])

    def note_begun(self, number: int) -> None:
        self.begun.add(number)
        if len(self.begun) >= self.size:
            self.all_begun.set()

    def note_ready(self, number: int) -> None:
        self.note_begun(number)
        self.ready += 1
        if self.ready >= self.size:
            self.all_ready.set()


def is_complete(data: bytes) -> bool:
    """Return whether an answer has come whole."""
    head, mark, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return bool(mark and length) and len(body) >= int(length[1])


def read_memory(pid: int, name: str) -> int:
    """Return a size of a process in bytes.

    :param name: ``VmHWM`` for the peak of resident memory, ``VmRSS`` for its size now.
    """
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(item for item in lines if item.startswith(name + ":"))
    return int(line.split()[1]) * 1024


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
