"""Clients of a play, on plain sockets."""

import asyncio
import contextlib
import random
import re
import select
import socket
import time
import zlib
from dataclasses import dataclass

from catkinpost_standins.plays.server import build_body, choose_size
from catkinpost_standins.plays.wire import build_head, encode_chunks

__all__ = ["HOST", "PATIENCE_S", "READERS", "Client", "Connection", "Fate", "Sending"]

HOST = "mesh.example"
PATIENCE_S = 0.6
PIECES = 5
PIECE_GAP_S = 0.03
CONTINUE_WAIT_S = 0.3
READ_BYTES = 65_536
HEAD_READ_BYTES = 256
FAILURE_LINE = re.compile(rb"HTTP/1\.1 [345]")
IDLE_SHARE = 0.78
# Requests that a client sends ahead on a connection, and without an answer at a time.
AHEAD = 12
MOST_OPEN = 3
# Requests that follow each other within some time, so that some meet a close.
SPREAD, SPREAD_GAP_S = 2, 0.8


@dataclass(frozen=True)
class Reader:
    """How a client reads.

    :param buffer_bytes: buffer of its system, ``None`` for the usual one.
    :param read_bytes: most bytes of a read.
    :param gap_s: pause before each read.
    :param bytes_per_s: pace of its reads, ``None`` for no bound.
    :param pause_s: longest pause before each answer.
    :param drops_unread: whether it drops what it has not read when its own write fails
        with a reset, as usual client libraries do. It reads no more than one answer
        at a time.
    """

    buffer_bytes: int | None = None
    read_bytes: int = READ_BYTES
    gap_s: float = 0.0
    bytes_per_s: float | None = None
    pause_s: float = 0.0
    drops_unread: bool = False


READERS = {
    "quick": Reader(),
    "slow": Reader(4096, read_bytes=4096, gap_s=0.02),
    "trickle": Reader(4096, read_bytes=8192, bytes_per_s=81_920),
    "late": Reader(4096, pause_s=0.5, drops_unread=True),
}


@dataclass
class Fate:
    """What became of one request, with times of the steady clock.

    :param place: number of requests before it on its connection without an answer.
    :param is_reused: whether its connection had answered a request before.
    :param is_begun: whether a part of it may have been sent.
    :param sent_at: time of the last byte, ``None`` if it was not sent whole.
    :param end: ``"answered"``, ``"closed"``, ``"cut"``, ``"reset"``, ``"no answer"``
        ``"refused"`` for a connection that could not be opened, ``"unsent"``, or
        ``"dropped"`` if its client dropped what it had not read, or ``"malformed"`` if
        the answer was none in the protocol.
    :param is_followed: whether a success, or what is no answer, came behind its answer
        while no request waited.
    :param is_blocked: whether one before it had no answer when its client gave up.
    """

    attempt: str
    method: str
    path: str
    upload: int
    place: int
    is_reused: bool
    started_at: float
    is_begun: bool = False
    sent_at: float | None = None
    ended_at: float = 0.0
    end: str = "open"
    status: int = 0
    is_signed: bool = False
    is_whole_body: bool = False
    named: str = ""
    is_followed: bool = False
    is_blocked: bool = False


@dataclass(frozen=True)
class Sending:
    """How clients of a play send.

    :param form: value of the play's factor.
    :param upload: body of each request.
    :param is_chunked: whether the body is sent in chunks.
    :param reader: value of the play's factor.
    :param answer_sizes: sizes of a server's whole body, of which each attempt has one.
    :param deadline_s: seconds that clients wait.
    """

    form: str
    method: str
    path: str
    upload: bytes
    is_chunked: bool
    reader: str
    answer_sizes: tuple[int, ...]
    deadline_s: float


class Connection:
    """One connection of a client."""

    def __init__(self, sending: Sending) -> None:
        self.sending = sending
        self.reader = READERS[sending.reader]
        self.socket = socket.socket()
        self.socket.setblocking(False)
        buffer_bytes = self.reader.buffer_bytes
        if buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.data = b""
        self.answers = 0
        self.idle_since = 0.0
        self.last: Fate | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the other side has closed, or sent what nobody asked for."""
        return bool(select.select([self.socket], [], [], 0)[0])

    def check_rest(self) -> None:
        """Note bytes behind the last answer, while no request waits for one.

        A failure, as for a time-out, may come then, but no success.
        """
        rest = self.data
        with contextlib.suppress(OSError):
            rest = rest or self.socket.recv(HEAD_READ_BYTES, socket.MSG_PEEK)
        if rest and self.last is not None and not FAILURE_LINE.match(rest):
            self.last.is_followed = True

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self, wanted: int | None = None) -> bool:
        """Read more, and return whether the connection goes on.

        :param wanted: bytes that are missing, ``None`` if that is not known.
        """
        reader = self.reader
        if reader.gap_s:
            await asyncio.sleep(reader.gap_s)
        most = reader.read_bytes
        if reader.drops_unread:
            most = HEAD_READ_BYTES if wanted is None else min(most, wanted)
        data = await asyncio.get_running_loop().sock_recv(self.socket, most)
        self.data += data
        if reader.bytes_per_s:
            await asyncio.sleep(len(data) / reader.bytes_per_s)
        return bool(data)

    async def read_answer(self, fate: Fate) -> dict[str, str]:
        """Read one answer into a fate, and return its headers."""
        try:
            return await self.parse_answer(fate)
        except (ValueError, LookupError):
            fate.end = "malformed"
            return {}

    async def parse_answer(self, fate: Fate) -> dict[str, str]:
        while True:
            while b"\r\n\r\n" not in self.data:
                if not await self.receive():
                    fate.end = "cut" if self.data else "closed"
                    return {}
            head, _, self.data = self.data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            version, status = lines[0].split(" ")[:2]
            if version != "HTTP/1.1":
                raise ValueError(f"an answer of version {version}")
            fate.status = int(status)
            if fate.status >= 200:
                break
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        fate.named = headers.get("attempt-id", "")
        fate.is_signed = "response-signature" in headers
        size = int(headers["content-length"])
        while len(self.data) < size:
            if not await self.receive(size - len(self.data)):
                fate.end = "cut"
                return headers
        body, self.data = self.data[:size], self.data[size:]
        whole_bytes = choose_size(fate.attempt, self.sending.answer_sizes)
        expected = build_body(fate.attempt, whole_bytes)
        fate.is_whole_body = body == expected
        fate.end, self.last = "answered", fate
        self.answers += 1
        return headers


class Client:
    """Client that sends requests one after the other, or a few ahead.

    :param address: where it connects.
    :param sending: how it sends.
    :param seed: source of its choices.
    :param get_idle_limit: returns the idle time-out in force in seconds.
    :param accepts: returns whether the machine gets new work at this moment.
    """

    def __init__(self, address, sending: Sending, seed: str, get_idle_limit, accepts):
        self.address = address
        self.sending = sending
        self.random = random.Random(seed)
        self.seed = seed
        self.get_idle_limit = get_idle_limit
        self.accepts = accepts
        self.fates: list[Fate] = []

    async def run(self, first_at: float, until: float, gap_s: float) -> None:
        """Send from one time to another.

        :param gap_s: longest pause between two requests.
        """
        await asyncio.sleep(first_at - time.monotonic())
        connection = None
        while time.monotonic() < until:
            if not self.accepts():
                if connection is not None:
                    connection.socket.close()
                    connection = None
                await asyncio.sleep(gap_s / 2)
                continue
            connection = await self.send_batch(connection)
            pause_s = self.random.uniform(0.2, 1.0) * gap_s
            if self.sending.form == "idle":
                pause_s = IDLE_SHARE * self.get_idle_limit()
            await asyncio.sleep(pause_s)
            if self.sending.form == "new" and connection is not None:
                connection.socket.close()
                connection = None
        if connection is not None:
            connection.socket.close()

    def is_usable(self, connection: Connection | None) -> bool:
        """Whether a connection may be used again by the platform's rules."""
        if connection is None:
            return False
        connection.check_rest()
        idle_s = time.monotonic() - connection.idle_since
        if not connection.has_ended and idle_s <= 0.8 * self.get_idle_limit():
            return True
        connection.socket.close()
        return False

    async def send_batch(self, connection: Connection | None) -> Connection | None:
        """Send one request, or some ahead, and return a connection that is kept."""
        if not self.is_usable(connection):
            connection = Connection(self.sending)
        count = {"ahead": AHEAD, "spread": SPREAD}.get(self.sending.form, 1)
        fates = [self.build_fate(connection, number) for number in range(count)]
        self.fates += fates
        is_kept = False
        try:
            if not connection.answers:
                fates[0].is_begun = True
                await asyncio.get_running_loop().sock_connect(
                    connection.socket, self.address
                )
            is_kept = await self.exchange(connection, fates)
        except TimeoutError:
            for fate in [fate for fate in fates if fate.end == "open"][1:]:
                fate.is_blocked = True
            self.end_open(fates, "no answer")
        except ConnectionRefusedError:
            self.end_open(fates, "refused")
        except OSError:
            self.end_open(fates, "reset")
        if all(fate.end == "answered" for fate in fates):
            connection.check_rest()
        if is_kept:
            connection.idle_since = time.monotonic()
            return connection
        connection.socket.close()
        return None

    def end_open(self, fates: list[Fate], end: str) -> None:
        """End the requests without an answer."""
        for fate in fates:
            if fate.end == "open":
                fate.end = end if fate.is_begun else "unsent"
                fate.ended_at = time.monotonic()

    async def exchange(self, connection: Connection, fates: list[Fate]) -> bool:
        """Send requests and read their answers."""
        slots = asyncio.Semaphore(MOST_OPEN)
        sender = asyncio.create_task(self.send_all(connection, fates, slots))
        headers: dict[str, str] = {}
        try:
            for fate in fates:
                async with asyncio.timeout(self.sending.deadline_s + PATIENCE_S):
                    headers = await connection.read_answer(fate)
                fate.ended_at = time.monotonic()
                slots.release()
                if fate.end != "answered":
                    self.end_open(fates, "closed")
                    return False
                if headers.get("connection", "").lower() == "close":
                    self.end_open(fates, "closed")
                    return False
        finally:
            if not sender.done() and fates[-1].end == "answered":
                with contextlib.suppress(OSError):
                    await sender
            sender.cancel()
            await asyncio.wait({sender})
        return True

    async def send_all(
        self, connection: Connection, fates: list[Fate], slots: asyncio.Semaphore
    ) -> None:
        with contextlib.suppress(OSError):
            # A reset shows when the answer is read.
            for number, fate in enumerate(fates):
                await slots.acquire()
                if number and self.sending.form == "spread":
                    await asyncio.sleep(self.random.uniform(0, SPREAD_GAP_S))
                fate.is_begun, fate.started_at = True, time.monotonic()
                fate.place = sum(item.end == "open" for item in fates[:number])
                await self.send(connection, fate)
                fate.sent_at = time.monotonic()

    async def send(self, connection: Connection, fate: Fate) -> None:
        """Send one request in the form of the play."""
        sending, form = self.sending, self.sending.form
        headers = {
            "Host": HOST,
            "Attempt-Id": fate.attempt,
            "Deadline-Remaining": str(int(sending.deadline_s * 1000)),
        }
        body = sending.upload
        if sending.is_chunked:
            headers["Transfer-Encoding"] = "chunked"
            body = encode_chunks(body)
        else:
            headers["Content-Length"] = str(len(body))
        if form == "expect" and body:
            headers["Expect"] = "100-continue"
        head = build_head(f"{fate.method} {fate.path} HTTP/1.1", headers)
        if form == "split head":
            half = len(head) // 2
            await connection.send(head[:half])
            await asyncio.sleep(PIECE_GAP_S)
            await connection.send(head[half:] + body)
        elif form == "expect":
            await connection.send(head)
            await asyncio.sleep(self.random.uniform(0, CONTINUE_WAIT_S))
            await connection.send(body)
        elif form == "pieces":
            data = head + body
            step = len(data) // PIECES + 1
            for start in range(0, len(data), step):
                if start:
                    await asyncio.sleep(PIECE_GAP_S)
                await connection.send(data[start : start + step])
        else:
            await connection.send(head + body)

    def build_fate(self, connection: Connection, number: int) -> Fate:
        number += len(self.fates)
        attempt = f"{zlib.crc32(self.seed.encode()):08x}{number:08x}"
        return Fate(
            attempt=attempt,
            method=self.sending.method,
            path=f"{self.sending.path}{attempt}",
            upload=zlib.crc32(self.sending.upload),
            place=0,
            is_reused=connection.answers > 0,
            started_at=time.monotonic(),
        )
