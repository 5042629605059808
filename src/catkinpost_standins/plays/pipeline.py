"""Clients that go on sending behind unread answers on one kept connection."""

import asyncio
import select
import time
from collections import deque

from catkinpost_standins.plays.client import PATIENCE_S, Client, Connection, Fate

__all__ = ["MOST_UNANSWERED", "Pipeline", "PipelineClient"]

MOST_UNANSWERED = 6
LONGEST_GAP_S, GAP_POWER = 0.3, 3
WATCH_S = 0.01
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class PipelineClient(Client):
    """Client that pipelines on one connection until an answer announces its close.

    It sends a request at any time while fewer than ``MOST_UNANSWERED`` are unanswered,
    also when answers have arrived that it has not read, and ``Connection: close`` is in
    one of these. Requests behind the answer that announces the close end with it.

    A reader that drops what it has not read does so when its next request can't be
    sent; any other one reads on until the connection ends.
    """

    async def run(self, first_at: float, until: float, gap_s: float) -> None:
        """Send from one time to another, on one connection after the other.

        :param gap_s: longest pause between two connections.
        """
        await asyncio.sleep(first_at - time.monotonic())
        while time.monotonic() < until:
            if self.accepts():
                pipeline = Pipeline(self, until)
                await pipeline.run()
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * gap_s)


class Pipeline:
    """One connection of a client that pipelines.

    :param until: when the last request is sent.
    :ivar unanswered: requests without a whole answer, in order.
    :ivar ended_at: time at which the client's system knew the end of the connection.
    """

    def __init__(self, client: PipelineClient, until: float) -> None:
        self.client, self.until = client, until
        self.connection = Connection(client.sending)
        self.unanswered: deque[Fate] = deque()
        self.changed = asyncio.Event()
        self.ended_at: float | None = None

    async def run(self) -> None:
        """Send and read until the connection ends, or nothing more is to be sent."""
        try:
            if not await self.connect():
                return
            sender = asyncio.create_task(self.send_requests())
            reader = asyncio.create_task(self.read_answers(sender))
            watcher = asyncio.create_task(self.watch())
            tasks = {sender, reader, watcher}
            try:
                await asyncio.wait({sender, reader}, return_when="FIRST_COMPLETED")
                if sender.done() and not sender.result():
                    reader.cancel()
                await asyncio.wait({reader})
                if not reader.cancelled():
                    reader.result()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)
            self.end("dropped")
        finally:
            self.connection.socket.close()

    async def connect(self) -> bool:
        """Connect for a first request, and return whether that succeeded."""
        fate = self.add_request()
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self.connection.socket, self.client.address)
        except ConnectionRefusedError:
            self.end("refused")
        except OSError:
            self.end("reset")
        return fate.end == "open"

    def add_request(self) -> Fate:
        fate = self.client.build_fate(self.connection, 0)
        fate.is_begun, fate.place = True, len(self.unanswered)
        self.client.fates.append(fate)
        self.unanswered.append(fate)
        self.changed.set()
        return fate

    async def send_requests(self) -> bool:
        """Send requests, and return whether their answers are to be read.

        A reset shows when the next answer is read, but a client that drops what it has
        not read learns of it here.
        """
        connection = self.connection
        fate = self.unanswered[0]
        while True:
            try:
                await self.client.send(connection, fate)
            except OSError:
                return not connection.reader.drops_unread
            fate.sent_at = time.monotonic()
            while True:
                await asyncio.sleep(self.choose_gap())
                if time.monotonic() >= self.until:
                    return True
                if len(self.unanswered) < MOST_UNANSWERED:
                    break
            if not self.unanswered and connection.has_ended:
                return True
            fate = self.add_request()

    def choose_gap(self) -> float:
        """Return the time until the next request: several come close together."""
        return LONGEST_GAP_S * self.client.random.uniform(0, 1) ** GAP_POWER

    async def read_answers(self, sender: asyncio.Task) -> None:
        """Read answers until the connection is not to be used any more."""
        pause_s = self.connection.reader.pause_s
        while True:
            while not self.unanswered:
                if sender.done():
                    return
                self.changed.clear()
                waiting = asyncio.create_task(self.changed.wait())
                await asyncio.wait({sender, waiting}, return_when="FIRST_COMPLETED")
                waiting.cancel()
            fate = self.unanswered[0]
            due_at = fate.started_at + self.client.sending.deadline_s + PATIENCE_S
            try:
                async with asyncio.timeout(due_at - time.monotonic()):
                    await asyncio.sleep(self.client.random.uniform(0, pause_s))
                    headers = await self.connection.read_answer(fate)
            except TimeoutError:
                # Those behind another wait for its reader.
                for fate in self.unanswered:
                    fate.is_blocked = fate.place > 0
                self.end("no answer")
                return
            except OSError:
                self.end("reset")
                return
            if fate.end != "answered":
                # What was read of it tells more than the end of those behind it.
                fate.ended_at = self.ended_at or time.monotonic()
                self.end("closed")
                return
            fate.ended_at = time.monotonic()
            self.unanswered.popleft()
            if headers.get("connection", "").lower() == "close":
                self.end("closed")
                return

    async def watch(self) -> None:
        """Note the end of the connection while nobody reads."""
        poll = select.poll()
        poll.register(self.connection.socket, select.POLLRDHUP)
        while not any(events & ENDED for _, events in poll.poll(0)):
            await asyncio.sleep(WATCH_S)
        self.ended_at = time.monotonic()

    def end(self, end: str) -> None:
        """End the requests without an answer."""
        for fate in self.unanswered:
            if fate.end == "open":
                fate.end = end
                fate.ended_at = self.ended_at or time.monotonic()
        self.unanswered.clear()
