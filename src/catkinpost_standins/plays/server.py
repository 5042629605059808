"""Backend server of plays, with a record of what reached it."""

import asyncio
import contextlib
import random
import time
import zlib
from dataclasses import dataclass, field

from catkinpost_standins.plays.wire import (
    Message,
    build_head,
    encode_chunks,
    read_body,
    read_head,
)

__all__ = ["Behaviour", "Run", "Server", "choose_size"]

IDLE_S = 0.5
EARLY_READ_PAUSE_S = 0.2
STREAM_BYTES = 1 << 22
# Shortest and longest runs of mixed work, the same of a few long ones, and their share.
MIXED_S, LONG_S, LONG_SHARE = (0.045, 0.3), (0.3, 2.1), 0.02
# Runs, answers sent slowly behind them, and the pieces of such an answer.
OUTLASTING_RUN_S, OUTLASTING_ANSWER_S, OUTLASTING_PIECES = (0.1, 1.5), (0.2, 2.0), 6


@dataclass(frozen=True)
class Behaviour:
    """What servers do with each request of a play.

    :param kind: value of the play's factor ``server``.
    :param answer: form of the body.
    :param sizes: sizes of the body in bytes, of which each attempt has one.
    :param seconds: time of a run, unless the kind is ``"mixed"`` or ``"outlasts"``.
    :param slots: runs at once.
    """

    kind: str
    answer: str
    sizes: tuple[int, ...]
    seconds: float
    slots: int

    def choose_seconds(self, attempt: str) -> float:
        """Return the time of an attempt's run."""
        if self.kind == "outlasts":
            return random.Random(attempt).uniform(*OUTLASTING_RUN_S)
        if self.kind != "mixed":
            return self.seconds
        choices = random.Random(attempt)
        is_long = choices.random() < LONG_SHARE
        return choices.uniform(*(LONG_S if is_long else MIXED_S))

    def choose_pause(self, attempt: str) -> float:
        """Return the seconds between two pieces of an attempt's answer."""
        if self.kind != "outlasts":
            return 0.0
        answer_s = random.Random(f"{attempt}-answer").uniform(*OUTLASTING_ANSWER_S)
        return answer_s / OUTLASTING_PIECES


@dataclass
class Run:
    """One request that reached a server, with times of the steady clock.

    :param upload: CRC-32 of its body, ``None`` if that was not read to its end.
    :param end: ``"waits"``, ``"runs"``, ``"done"``, ``"cut"``, ``"shed"``,
        ``"deadline"`` or ``"broken off"``.
    """

    server: str
    method: str
    path: str
    arrived_at: float
    upload: int | None = None
    began_at: float | None = None
    ended_at: float | None = None
    end: str = "waits"

    def describe(self, zero: float) -> str:
        """Return the course relative to a time."""
        times = [self.arrived_at, self.began_at, self.ended_at]
        course = "/".join("-" if at is None else f"{at - zero:+.3f}" for at in times)
        return f"{self.end} at {self.server} {course}"


@dataclass(eq=False)
class Server:
    """Server of one machine.

    :param identity: its id in the store.
    :param host: IP address.
    :param behaviour: what it does.
    :ivar runs: what reached it, by attempt.
    """

    identity: str
    service: str
    host: str
    zone: str
    port: int
    behaviour: Behaviour
    runs: dict[str, list[Run]] = field(default_factory=dict)
    is_leaving: bool = False
    count: int = 0

    async def start(self) -> None:
        """Listen."""
        self.born = time.time_ns() // 1_000_000
        self.slots = asyncio.Semaphore(self.behaviour.slots)
        self.tasks: set[asyncio.Task] = set()
        self.listener = await asyncio.start_server(
            self.serve, self.host, self.port, limit=STREAM_BYTES
        )

    def build_entry(self, state: str = "ready") -> dict:
        """Return what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.behaviour.slots,
            "state": state,
            "cold-remaining-s": 0,
            "sequence": 1,
            "born": self.born,
        }

    def end(self) -> None:
        """End as a process does: its connections close."""
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()

    @property
    def is_working(self) -> bool:
        """Whether a request waits or runs."""
        items = (item for runs in self.runs.values() for item in runs)
        return any(item.ended_at is None for item in items)

    async def serve(self, reader, writer) -> None:
        """Serve one connection, one request at a time."""
        self.tasks.add(task := asyncio.current_task())
        try:
            while True:
                is_idle = self.behaviour.kind == "resets idle"
                async with asyncio.timeout(IDLE_S if is_idle else None):
                    request = await read_head(reader)
                if request is None or not await self.handle(request, reader, writer):
                    break
        except (OSError, TimeoutError, EOFError):
            # A caller that has gone, or an idle connection.
            pass
        finally:
            self.tasks.discard(task)
            if self.behaviour.kind == "resets idle":
                writer.transport.abort()
            writer.close()

    async def handle(self, request: Message, reader, writer) -> bool:
        """Run one request, and return whether the connection is kept."""
        method, path, _ = request.first_line.split()
        attempt = request.headers.get("attempt-id", "")
        run = Run(self.identity, method, path, time.monotonic())
        expected = request.headers.get("expected-instance", self.identity)
        if expected != self.identity:
            await read_body(reader, request)
            await self.send(writer, "421 Misdirected Request", attempt, b"", False)
            return not self.is_leaving
        self.runs.setdefault(attempt, []).append(run)
        is_early = self.behaviour.kind == "early answer"
        try:
            if not is_early:
                await self.read_upload(request, reader, run)
            kept = await self.answer(request, attempt, run, reader, writer, is_early)
            if is_early:
                await asyncio.sleep(EARLY_READ_PAUSE_S)
                await self.read_upload(request, reader, run)
            return kept
        except BaseException:
            # The caller has closed, or the process of the server ends.
            if run.ended_at is None:
                run.end = "broken off" if self.is_ended else "cut"
            raise
        finally:
            run.ended_at = run.ended_at or time.monotonic()

    @property
    def is_ended(self) -> bool:
        """Whether the process has ended."""
        return not self.listener.is_serving()

    async def read_upload(self, request: Message, reader, run: Run) -> None:
        run.upload = zlib.crc32(await read_body(reader, request))

    async def answer(
        self, request: Message, attempt: str, run: Run, reader, writer, is_early: bool
    ) -> bool:
        """Run a request, and send its answer."""
        self.count += 1
        if self.behaviour.kind == "sheds" and self.count % 3 == 0:
            run.end, run.ended_at = "shed", time.monotonic()
            await self.send(writer, "503 Service Unavailable", attempt, b"", False)
            return not self.is_leaving
        left_s = int(request.headers.get("deadline-remaining", "5000")) / 1000
        work = asyncio.create_task(self.work(attempt, run))
        # Nothing may come on the connection before the answer, unless a body is due.
        gone = asyncio.create_task(reader.read(1) if not is_early else asyncio.sleep(9))
        try:
            async with asyncio.timeout(left_s):
                if self.behaviour.kind == "interim":
                    writer.write(build_head("HTTP/1.1 102 Processing", {}))
                await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
                if not work.done():
                    raise ConnectionResetError("the caller has closed")
        except TimeoutError:
            run.end, run.ended_at = "deadline", time.monotonic()
            await self.send(writer, "504 Gateway Timeout", attempt, b"late", True)
            return not self.is_leaving
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.wait({work, gone})
        pause_s = self.behaviour.choose_pause(attempt)
        if not pause_s:
            run.end, run.ended_at = "done", time.monotonic()
        body = build_body(attempt, choose_size(attempt, self.behaviour.sizes))
        await self.send(writer, "200 OK", attempt, body, True, pause_s)
        if pause_s:
            run.end, run.ended_at = "done", time.monotonic()
        return not self.is_leaving and self.behaviour.answer != "until close"

    async def work(self, attempt: str, run: Run) -> None:
        async with self.slots:
            run.began_at, run.end = time.monotonic(), "runs"
            await asyncio.sleep(self.behaviour.choose_seconds(attempt))

    async def send(
        self,
        writer,
        status: str,
        attempt: str,
        body: bytes,
        has_run: bool,
        pause_s: float = 0.0,
    ) -> None:
        """Send a response.

        :param pause_s: pause before each piece of the body, 0 to send it whole.
        """
        headers = {"Attempt-Id": attempt, "Instance-Id": self.identity}
        headers["Keep-Alive"] = "timeout=5"
        if has_run:
            headers["Response-Signature"] = f"{attempt}.{len(body)}"
        else:
            headers["Not-Executed"] = "1"
        form = self.behaviour.answer if status.startswith("200") else "small"
        if form == "chunked":
            headers["Transfer-Encoding"] = "chunked"
            body = encode_chunks(body)
        elif form != "until close":
            headers["Content-Length"] = str(len(body))
        if self.is_leaving or form == "until close":
            headers["Connection"] = "close"
        head = build_head(f"HTTP/1.1 {status}", headers)
        if pause_s:
            writer.write(head)
            step = len(body) // OUTLASTING_PIECES + 1
            for start in range(0, len(body), step):
                await asyncio.sleep(pause_s)
                writer.write(body[start : start + step])
                await writer.drain()
            return
        writer.write(head + body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()


def choose_size(attempt: str, sizes: tuple[int, ...]) -> int:
    """Return the size of an attempt's answer, as its client and server know it."""
    return sizes[zlib.crc32(attempt.encode()) % len(sizes)]


def build_body(attempt: str, size: int) -> bytes:
    """Return the whole body of a server's answer."""
    return (attempt.encode() * (size // len(attempt) + 1))[:size]
