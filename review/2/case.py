"""A node that is stopped closes connections whose requests still wait in a queue."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    TROUBLE,
    Deployment,
    build_configuration,
    build_request,
    read_message,
    run_case,
)

GRACE_S, LOSS_SLACK_S = 6.0, 0.2
DEADLINE_MS = 6000
WORK_S, SLOTS, CLUMP = 1.37, 4, 32
PROBE_S = 1.0
# The clients of the machine get new work until the platform has missed two probes:
# the first misses come at 0.95 and 1.95 s after the signal.
CLUMP_AFTER_S = 1.35
ROUTE = {
    "name": "r-orders",
    "host": "hulo84.example",
    "prefix": "/orders/",
    "kind": "unsafe",
    "timeout-s": 6.0,
    "target-latency-s": 1.5,
    "priority": 0,
    "service": "orders",
    "max-attempts": 2,
}
ORDERS = {"service": "orders", "slots": SLOTS, "queue": 6, "seconds": WORK_S}
SERVERS = [
    ORDERS | {"zone": "kigali-a"},
    ORDERS | {"zone": "kigali-b"},
    {"service": "stock", "slots": 8, "queue": 8, "seconds": 0.02, "zone": "kigali-a"},
]


async def place_order(deployment: Deployment, number: int, results: dict) -> None:
    attempt = f"{number:016x}"
    reader, writer = await deployment.connect(deployment.nodes[0])
    request = build_request(
        "POST", f"/orders/{number}", attempt, DEADLINE_MS, b"birch blocks"
    )
    sent_at = deployment.clock.now()
    writer.write(request)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            answer = await read_message(reader)
        if answer is not None:
            status = answer.first_line.split()[1]
        elif reader.exception() is None:
            # An orderly close: the node has read all that was sent to it.
            status = "closed without an answer"
        else:
            status = "reset"
    except TimeoutError:
        status = "no answer in time"
    writer.close()
    results[attempt] = (sent_at, deployment.clock.now(), status)


async def probe(deployment: Deployment, node) -> None:
    """Ask for readiness once a second, as the platform does."""
    while True:
        ready = await deployment.is_ready(node)
        deployment.record(f"readiness of the stopped machine: {ready}")
        await asyncio.sleep(PROBE_S)


async def run(deployment: Deployment) -> bool:
    await deployment.start(
        SERVERS, build_configuration([ROUTE], ["orders", "stock"], 7)
    )
    node = deployment.nodes[0]
    results: dict = {}
    async with asyncio.TaskGroup() as tasks:
        for number in range(8):
            tasks.create_task(place_order(deployment, number, results))
    await asyncio.sleep(3.5)  # touch-s, so that every machine is in touch
    probing = asyncio.create_task(probe(deployment, node))
    await asyncio.sleep(0.05)
    stopped_at = deployment.clock.now()
    if TROUBLE:
        node.process.send_signal(signal.SIGTERM)
        deployment.record("SIGTERM to the node of the clients' machine")
    await asyncio.sleep(CLUMP_AFTER_S)
    async with asyncio.TaskGroup() as tasks:
        for number in range(100, 100 + CLUMP):
            tasks.create_task(place_order(deployment, number, results))
    probing.cancel()
    if TROUBLE:
        node.process.wait(5)
        deployment.record(f"the node has ended with {node.process.returncode}")
    await asyncio.sleep(0.2)
    runs = {item.attempt: item for server in deployment.servers for item in server.runs}
    lost = []
    for attempt, (sent_at, ended_at, status) in results.items():
        item = runs.get(attempt)
        at_server = "reached no server" if item is None else item.describe()
        deployment.record(
            f"sent {sent_at:.3f} {attempt} ended {ended_at:.3f} {status}; {at_server}"
        )
        is_unanswered = status == "closed without an answer"
        is_early = ended_at - sent_at < DEADLINE_MS / 1000 - 0.1
        is_in_grace = sent_at >= stopped_at and ended_at <= stopped_at + GRACE_S + 1
        is_read = ended_at - sent_at > LOSS_SLACK_S
        # A request at which a server is at work in the last sixth isn't counted.
        if is_unanswered and is_early and is_in_grace and is_read and item is None:
            lost.append(attempt)
    statuses = [status for _, _, status in results.values()]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    deployment.record(f"{len(results)} orders: {counts}")
    deployment.record(
        f"{len(lost)} orders were read, reached no server, and got no answer"
    )
    return bool(lost)


run_case(run, FOLDER / "record.txt")
