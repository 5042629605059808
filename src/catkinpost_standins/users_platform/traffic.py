"""Clients of the users' platform that record the fate of each of their requests."""

import random
import socket
import zlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from catkinpost.platform.names import (
    ATTEMPT_ID,
    DEADLINE_REMAINING,
    RESPONSE_SIGNATURE,
)
from catkinpost.protocol.credential import AUTHORIZATION_HEADER
from catkinpost.protocol.http import (
    HttpRequest,
    encode_request,
    encode_request_head,
)

__all__ = ["Call", "Client", "Fate", "Habit"]

CONNECT_TIMEOUT_S = 1.0
# A client that waits for an answer gives up this long after its deadline.
PATIENCE_S = 1.0
READ_BYTES, SLOW_READ_BYTES = 65536, 2000
SLOW_READ_PAUSE_S = 0.02
SLOW_RECEIVE_BUFFER_BYTES = 4096
THINK_S = 0.25
# Requests sent ahead follow at once or, in this share, within some time.
SPREAD_SHARE = 0.6
MAX_SPREAD_S = 0.2
CHUNKED_SHARE = 0.3
CHUNK_BYTES = 10_000


@dataclass(frozen=True, kw_only=True)
class Call:
    """Kind of request that clients send.

    :param route: name of its route.
    :param host: value of its ``Host`` header.
    :param path: path.
    :param unsafe: whether it may run once only.
    :param deadline_s: seconds that a client waits.
    :param key: key of its workspace, if it needs one.
    """

    route: str
    host: str
    path: str
    unsafe: bool
    deadline_s: float
    key: str = ""


@dataclass(frozen=True, kw_only=True)
class Habit:
    """How a client uses its connections.

    :param name: name in reports.
    :param keep: whether connections stay open for further requests.
    :param ahead: safe requests sent before the first one has been answered.
    :param slow: whether answers are read slowly.
    :param leave_share: share of requests that are given up early.
    :param body_bytes: largest body of an unsafe request.
    :param pause_s: longest pause between requests on a kept connection.
    :param heeds_readiness: whether it opens no connection to a machine that isn't
        ready; the platform sends new work if half of a zone isn't.
    """

    name: str
    keep: bool = True
    ahead: int = 0
    slow: bool = False
    leave_share: float = 0.0
    body_bytes: int = 200
    pause_s: float = THINK_S
    heeds_readiness: bool = True


@dataclass(kw_only=True)
class Fate:
    """What became of one request, as its client saw it; times of the runtime's clock.

    :param place: number of requests before it on its connection without an answer.
    :param behind: requests that were sent behind it at once.
    :param used: requests that its connection had before.
    :param started_at: time at which its client began to send it.
    :param sent_at: time at which all of it was sent.
    :param end: ``"answered"``, ``"closed"``, ``"reset"``, ``"unsent"``, ``"unread"``
        behind an announced close, ``"left"`` by the client, ``"no answer"``, or
        ``"malformed"`` if the answer was none in the protocol, or had others behind it.
    :param received_bytes: bytes of an incomplete answer.
    """

    attempt: bytes
    call: Call
    host: str
    habit: str
    place: int
    behind: int
    used: int
    started_at: float
    sent_at: float
    ended_at: float = 0.0
    end: str = ""
    status: int = 0
    signature: bytes | None = None
    named: bytes | None = None
    checksum: int = 0
    received_bytes: int = 0


class ConnectionEnded(Exception):
    """The connection ended before a complete answer; the message tells how."""


class Client:
    """One client on a machine.

    :param host: address of the machine.
    :param port: port at which its node takes calls.
    :param calls: kinds of request to choose from.
    :param habit: use of its connections.
    :param seed: seed of its choices, and the start of its requests' identities.
    :param may_start: whether the machine gets new work.
    :param record: called with each request's fate.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        calls: list[Call],
        habit: Habit,
        seed: str,
        may_start: Callable[[], bool],
        record: Callable[[Fate], None],
    ) -> None:
        self.host, self.port = host, port
        self.calls = calls
        self.habit = habit
        self.seed = seed
        self.random = random.Random(seed)
        self.may_start = may_start
        self.record = record
        self.sent = 0
        self.buffer = b""

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while trio.current_time() < until:
            is_out = self.habit.heeds_readiness and not self.may_start()
            if is_out or not await self.use_connection(until):
                await trio.sleep(0.1)

    async def use_connection(self, until: float) -> bool:
        """Use a connection until it ends; return whether it was established."""
        stream = await self.connect()
        if stream is None:
            return False
        used = 0
        self.buffer = b""
        async with stream:
            while trio.current_time() < until:
                calls = list(self.choose_calls())
                if not await self.exchange(stream, calls, used) or not self.habit.keep:
                    break
                used += len(calls)
                await trio.sleep(self.random.uniform(0, self.habit.pause_s))
        return True

    async def connect(self) -> trio.SocketStream | None:
        connection = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.habit.slow:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await connection.connect((self.host, self.port))
        except (OSError, trio.TooSlowError):
            connection.close()
            return None
        return trio.SocketStream(connection)

    def choose_calls(self) -> Iterator[Call]:
        first = self.random.choice(self.calls)
        yield first
        safe = [call for call in self.calls if not call.unsafe]
        for _ in range(self.random.randint(1, self.habit.ahead or 1)):
            if self.habit.ahead and not first.unsafe:
                yield self.random.choice(safe)

    async def exchange(
        self, stream: trio.SocketStream, calls: list[Call], used: int
    ) -> bool:
        """Send requests together and read their answers.

        :return: whether the connection may be used again.
        """
        requests = [self.build_request(call) for call in calls]
        now = trio.current_time()
        fates = [
            Fate(
                attempt=attempt,
                call=call,
                host=self.host,
                habit=self.habit.name,
                place=number,
                behind=len(calls) - number - 1,
                used=used + number,
                started_at=now,
                sent_at=now,
                end="unsent",
            )
            for number, (call, (attempt, _)) in enumerate(
                zip(calls, requests, strict=True)
            )
        ]
        leave_s = max(call.deadline_s for call in calls) + PATIENCE_S
        is_leaving = self.random.random() < self.habit.leave_share
        if is_leaving:
            leave_s = self.random.uniform(0.0, 0.4)
        end = "left" if is_leaving else "no answer"
        with trio.move_on_after(leave_s):
            data = [data for _, data in requests]
            end = await self.send_and_read(stream, data, fates)
        for fate in fates:
            if fate.end != "answered":
                fate.end = fate.end or end
                fate.ended_at = trio.current_time()
            self.record(fate)
        return end == "kept"

    async def send_and_read(
        self, stream: trio.SocketStream, requests: list[bytes], fates: list[Fate]
    ) -> str:
        """Return ``"kept"``, or how the requests without an answer ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send, stream, requests, fates)
            try:
                for fate in fates:
                    if not await self.read_answer(stream, fate):
                        return "unread"
            except ConnectionEnded as error:
                return str(error)
            finally:
                nursery.cancel_scope.cancel()
        return "kept"

    async def send(
        self, stream: trio.SocketStream, requests: list[bytes], fates: list[Fate]
    ) -> None:
        """Send requests, each a moment after the one before it."""
        for number, (data, fate) in enumerate(zip(requests, fates, strict=True)):
            if number and self.random.random() < SPREAD_SHARE:
                await trio.sleep(self.random.uniform(0, MAX_SPREAD_S))
            fate.place = sum(item.end != "answered" for item in fates[:number])
            fate.started_at = fate.sent_at = trio.current_time()
            try:
                await stream.send_all(data)
            except trio.BrokenResourceError:
                # The reading side finds out how the connection ended.
                return
            if fate.end == "unsent":
                fate.end, fate.sent_at = "", trio.current_time()

    async def read_answer(self, stream: trio.SocketStream, fate: Fate) -> bool:
        """Read one answer; return whether the connection stays open."""
        while b"\r\n\r\n" not in self.buffer:
            await self.receive(stream, fate)
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first_line, *lines = head.split(b"\r\n")
        pairs = [line.partition(b":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers[b"content-length"])
        while len(self.buffer) < length:
            await self.receive(stream, fate)
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        fate.status = int(first_line.split()[1])
        fate.signature = headers.get(RESPONSE_SIGNATURE)
        fate.named = headers.get(ATTEMPT_ID)
        fate.checksum = zlib.crc32(body)
        fate.end, fate.ended_at = "answered", trio.current_time()
        return headers.get(b"connection") != b"close"

    async def receive(self, stream: trio.SocketStream, fate: Fate) -> None:
        if self.habit.slow:
            await trio.sleep(SLOW_READ_PAUSE_S)
        size = SLOW_READ_BYTES if self.habit.slow else READ_BYTES
        fate.received_bytes = len(self.buffer)
        try:
            data = await stream.receive_some(size)
        except trio.BrokenResourceError:
            raise ConnectionEnded("reset") from None
        if not data:
            raise ConnectionEnded("closed")
        self.buffer += data

    def build_request(self, call: Call) -> tuple[bytes, bytes]:
        """Return a request's identity and its bytes."""
        self.sent += 1
        attempt = f"{self.seed}-{self.sent}".encode()
        headers = [
            (b"host", call.host.encode()),
            (ATTEMPT_ID, attempt),
            (DEADLINE_REMAINING, b"%d" % (call.deadline_s * 1000)),
        ]
        if call.key:
            headers.append((AUTHORIZATION_HEADER, f"Token {call.key}".encode()))
        size = self.random.randint(1, self.habit.body_bytes) if call.unsafe else 0
        method = b"POST" if call.unsafe else b"GET"
        request = HttpRequest(method, call.path.encode(), headers, b"x" * size)
        if size and self.random.random() < CHUNKED_SHARE:
            return attempt, encode_in_chunks(request)
        return attempt, encode_request(request)


def encode_in_chunks(request: HttpRequest) -> bytes:
    """Serialize a request whose body has no length."""
    length = b"content-length: %d" % len(request.body)
    head = encode_request_head(request)
    parts = [head.replace(length, b"transfer-encoding: chunked")]
    for start in range(0, len(request.body), CHUNK_BYTES):
        chunk = request.body[start : start + CHUNK_BYTES]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*parts, b"0\r\n\r\n"])
