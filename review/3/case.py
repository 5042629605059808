"""A node that is stopped resets connections whose answers are still on their way."""

import asyncio
import random
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    TROUBLE,
    Deployment,
    build_configuration,
    build_request,
    run_case,
)

DEADLINE_MS = 6000
CLIENTS, START_WITHIN_S, SIGTERM_AFTER_S = 80, 1.0, 0.1
WORK_S = 0.4
# The largest answers of the site's lookups of depots have 30,000 bytes.
BODY_BYTES = 30_000
# A client that reads slowly: about 200 KB a second, with a small receive buffer.
RECEIVE_BUFFER_BYTES, READ_BYTES, READ_PAUSE_S = 4096, 1024, 0.005
ROUTE = {
    "name": "r-depots",
    "host": "hulo84.example",
    "prefix": "/depots/",
    "kind": "safe",
    "timeout-s": 4.0,
    "target-latency-s": 1.5,
    "priority": 2,
    "service": "depots",
    "max-attempts": 2,
}
SERVER = {
    "service": "depots",
    "slots": 152,
    "queue": 64,
    "seconds": WORK_S,
    "answer_bytes": BODY_BYTES,
}
SERVERS = [SERVER | {"zone": "kigali-a"}, SERVER | {"zone": "kigali-b"}]


@dataclass
class Answer:
    """What a client has received for its first request."""

    sent_at: float
    ended_at: float
    expected_bytes: int | None
    body_bytes: int
    end: str

    @property
    def is_complete(self) -> bool:
        return self.expected_bytes == self.body_bytes


def parse_first_answer(data: bytes) -> tuple[int | None, int]:
    """Return the length that the first answer has, and how much of it is there."""
    head, _, rest = data.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
            return length, min(length, len(rest))
    return None, len(rest)


async def look_up(deployment: Deployment, number: int) -> Answer:
    """Send a safe request, another one before its answer, and read slowly."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(random.uniform(0, START_WITHIN_S))
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        address = (deployment.nodes[0].host, deployment.ports["outbound_port"])
        await loop.sock_connect(connection, address)
        sent_at = deployment.clock.now()
        end, data = "complete", b""
        try:
            for position in (1, 2):
                attempt = f"{number:08x}{position:08x}"
                request = build_request(
                    "GET", f"/depots/{number}/{position}", attempt, DEADLINE_MS
                )
                await loop.sock_sendall(connection, request)
                if position == 1:
                    await asyncio.sleep(random.uniform(0, WORK_S))
            while parse_first_answer(data) != (BODY_BYTES, BODY_BYTES):
                piece = await loop.sock_recv(connection, READ_BYTES)
                if not piece:
                    end = "closed"
                    break
                data += piece
                await asyncio.sleep(READ_PAUSE_S)
        except ConnectionError as error:
            end = type(error).__name__
        expected_bytes, body_bytes = parse_first_answer(data)
        ended_at = deployment.clock.now()
        return Answer(sent_at, ended_at, expected_bytes, body_bytes, end)


async def run(deployment: Deployment) -> bool:
    await deployment.start(SERVERS, build_configuration([ROUTE], ["depots"], 7))
    await asyncio.sleep(3.5)  # touch-s, so that every machine is in touch
    async with asyncio.TaskGroup() as tasks:
        lookups = [
            tasks.create_task(look_up(deployment, number)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(SIGTERM_AFTER_S)
        if TROUBLE:
            deployment.nodes[0].process.send_signal(signal.SIGTERM)
            deployment.record("SIGTERM to the node of the clients' machine")
    runs = {item.attempt: item for server in deployment.servers for item in server.runs}
    lost = 0
    for number, task in enumerate(lookups):
        answer = task.result()
        item = runs.get(f"{number:08x}{1:08x}")
        deployment.record(
            f"sent {answer.sent_at:.3f} {number:08x}{1:08x} ended"
            f" {answer.ended_at:.3f} {answer.end}, {answer.body_bytes} of"
            f" {answer.expected_bytes} bytes; {item.describe() if item else 'not run'}"
        )
        # Counted are requests that their server ran to the end.
        if item is not None and item.end == "done" and not answer.is_complete:
            lost += 1
    deployment.record(
        f"{lost} of {CLIENTS} requests were run to the end, and their connections"
        " ended without a complete answer"
    )
    return bool(lost)


run_case(run, FOLDER / "record.txt")
