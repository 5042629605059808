"""Real node with few descriptors, and callers that always have a request.

Run it with ``python -m tests.end_to_end.few_descriptors``, with ``--help`` for options.
"""

import argparse
import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from pathlib import Path

from catkinpost_standins.plays.fleet import (
    FIRST_PORT,
    Fleet,
    NodeBounds,
    Ways,
    find_port_block,
)
from catkinpost_standins.plays.server import Behaviour
from catkinpost_standins.plays.wire import build_head, read_message

NETWORK = 9
DEADLINE_S = 6.0
ROUTE = {
    "name": "r-play",
    "host": "play.example",
    "prefix": "/play/",
    "kind": "safe",
    "timeout-s": DEADLINE_S,
    "target-latency-s": 1.0,
    "priority": 0,
    "service": "here",
    "max-attempts": 2,
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "here"}],
    "limits": {"idle-timeout-s": 5.0},
}


class Callers:
    """Callers whose next request follows each answer.

    :param patience_s: seconds after which they abandon a request.
    :param waits: whether they wait as ``Retry-After`` says.
    """

    def __init__(
        self, address: tuple[str, int], patience_s: float, waits: bool
    ) -> None:
        self.address, self.patience_s, self.waits = address, patience_s, waits
        self.ends: Counter[str] = Counter()
        self.times_s: dict[str, list[float]] = {}
        self.served_by_caller: Counter[int] = Counter()

    async def run(self, number: int) -> None:
        """Send requests one after the other, until cancelled."""
        streams, sent = None, 0
        while True:
            sent += 1
            started_at = time.monotonic()
            answer = None
            try:
                async with asyncio.timeout(self.patience_s):
                    if streams is None:
                        streams = await asyncio.open_connection(*self.address)
                    answer = await self.exchange(streams, f"{number:04x}{sent:012x}")
                end = "closed" if answer is None else str(answer.status)
            except TimeoutError:
                end = "no answer"
            except (OSError, EOFError) as error:
                end = type(error).__name__
            self.ends[end] += 1
            self.times_s.setdefault(end, []).append(time.monotonic() - started_at)
            self.served_by_caller[number] += end == "200"
            if streams and (not answer or answer.headers.get("connection") == "close"):
                streams[1].close()
                streams = None
            if answer is not None and self.waits:
                await asyncio.sleep(float(answer.headers.get("retry-after", 0)))

    async def exchange(self, streams, attempt: str):
        headers = {
            "Host": ROUTE["host"],
            "Attempt-Id": attempt,
            "Deadline-Remaining": f"{DEADLINE_S * 1000:.0f}",
        }
        streams[1].write(build_head("GET /play/1 HTTP/1.1", headers))
        return await read_message(streams[0])


async def watch_readiness(fleet: Fleet, answers: Counter[bool]) -> None:
    while True:
        answers[await fleet.is_ready(fleet.machines[0])] += 1
        await asyncio.sleep(0.5)


async def run(options: argparse.Namespace, folder: Path) -> None:
    behaviour = Behaviour(
        "quick", "small", size=500, seconds=options.run_time, slots=options.slots
    )
    port = find_port_block(FIRST_PORT, [f"127.0.{NETWORK}.{11}"])
    bounds = NodeBounds(descriptors=options.descriptors)
    fleet = Fleet(folder, NETWORK, behaviour, Ways(), port, bounds)
    fleet.machines = fleet.machines[:1]
    try:
        await fleet.start(CONFIGURATION)
        machine = fleet.machines[0]
        callers = Callers(
            (machine.host, fleet.outbound_port), options.patience, not options.impatient
        )
        is_ready: Counter[bool] = Counter()
        before = len(list(Path(f"/proc/{machine.process.pid}/fd").iterdir()))
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(callers.run(number))
                for number in range(options.callers)
            ]
            tasks.append(group.create_task(watch_readiness(fleet, is_ready)))
            await asyncio.sleep(options.seconds)
            for task in tasks:
                task.cancel()
        await fleet.stop_node(machine, [])
        print(f"descriptors in use before: {before}; ends: {dict(callers.ends)}")
        for end, times_s in sorted(callers.times_s.items()):
            times_s.sort()
            middle_s, late_s = times_s[len(times_s) // 2], times_s[-1]
            print(f"{end}: half within {middle_s:.3f} s, all within {late_s:.3f} s")
        shares = [callers.served_by_caller[item] for item in range(options.callers)]
        print(f"served of one caller: {min(shares)} to {max(shares)}")
        print(f"ready: {dict(is_ready)}; end of the process: {machine.ends or 'good'}")
    finally:
        await fleet.end()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--descriptors", type=int, default=64)
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--run-time", type=float, default=0.1, help="seconds of a run")
    parser.add_argument("--patience", type=float, default=1.0, help="of a caller")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--impatient", action="store_true")
    parser.add_argument("--keep", type=Path, help="folder for logs")
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        folder = options.keep
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        asyncio.run(run(options, folder))


if __name__ == "__main__":
    main()
