"""``make demo-platform``: a small Skaidas in the platform's form, one service slow."""

import random
from collections import Counter

import trio
import typer

from catkinpost.platform.names import ATTEMPT_ID, DEADLINE_REMAINING, RESPONSE_SIGNATURE
from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost.protocol.outcome import Failure
from catkinpost_standins.users_platform.fleet import (
    Machine,
    PlatformFleet,
    open_platform_fleet,
)
from catkinpost_standins.users_platform.server import ChildCall

__all__ = ["CONFIGURATION", "SERVICES", "ZONES", "main"]

PHASE_S = 5.0
CALM_RATE = 60
FULL_RATE = 160
SLOW_FACTOR = 20
HOST = "shop.example"
SERVICES = ["offcut-stock", "orders", "sets"] * 2
ZONES = {"kurzeme-a": "kurzeme", "latgale-a": "latgale"}
CONFIGURATION = {
    "version": 1,
    "services": [{"name": name} for name in ("offcut-stock", "orders", "sets")],
    "routes": [
        {
            "name": "browse",
            "host": HOST,
            "prefix": "/stock/",
            "kind": "safe",
            "timeout-s": 1.0,
            "target-latency-s": 0.5,
            "priority": 2,
            "service": "offcut-stock",
            "max-attempts": 2,
        },
        {
            "name": "order",
            "host": HOST,
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeout-s": 1.0,
            "target-latency-s": 0.5,
            "priority": 0,
            "service": "orders",
            "max-attempts": 2,
        },
        {
            "name": "parts",
            "host": HOST,
            "prefix": "/sets/",
            "kind": "safe",
            "timeout-s": 0.7,
            "target-latency-s": 0.3,
            "priority": 1,
            "service": "sets",
            "max-attempts": 2,
        },
    ],
    "limits": {"idle-timeout-s": 15},
}


class Callers:
    """Clients that browse and place orders at random machines."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.random = random.Random(1)
        self.sent = 0
        self.results: Counter[tuple[str, str]] = Counter()
        self.refused_orders: list[bytes] = []

    async def run_phase(self, title: str, rate: int) -> None:
        """Send requests at a fixed rate and print what became of them."""
        self.results.clear()
        async with trio.open_nursery() as nursery:
            for _ in range(int(rate * PHASE_S)):
                nursery.start_soon(self.call)
                await trio.sleep(1 / rate)
        typer.echo(f"\n{title}")
        for (name, outcome), count in sorted(self.results.items()):
            typer.echo(f"  {name:8} {outcome:24} {count:6}")

    async def call(self) -> None:
        self.sent += 1
        attempt = b"demo-%d" % self.sent
        order = self.random.random() < 0.3
        method, path = (b"POST", b"/orders/1") if order else (b"GET", b"/stock/birch")
        headers = [
            (b"host", HOST.encode()),
            (ATTEMPT_ID, attempt),
            (DEADLINE_REMAINING, b"3000"),
        ]
        body = b"one box" if order else b""
        machine = self.random.choice(self.fleet.machines)
        answer = await self.fleet.call(
            machine, HttpRequest(method, path, headers, body)
        )
        if order and isinstance(answer, HttpResponse) and answer.status == 503:
            self.refused_orders.append(attempt)
        self.results["order" if order else "browse", describe(answer)] += 1


def describe(answer: HttpResponse | Failure) -> str:
    if isinstance(answer, Failure):
        return f"no answer: {answer.reason}"
    if find_header(answer.headers, RESPONSE_SIGNATURE) is not None:
        return f"{answer.status} from a server"
    return f"{answer.status} {answer.body.decode()}"


def count_runs(fleet: PlatformFleet) -> Counter[bytes]:
    """Count the runs of every request over all servers."""
    runs: Counter[bytes] = Counter()
    for machine in fleet.machines:
        runs.update(machine.server.runs)
    return runs


def slow_down(machines: list[Machine], factor: float) -> None:
    for machine in machines:
        machine.server.seconds *= factor


async def run_demo() -> None:
    """Run the demonstration."""
    async with open_platform_fleet(SERVICES, ZONES, CONFIGURATION) as fleet:
        typer.echo(f"{len(fleet.machines)} servers with their nodes are ready")
        for machine in fleet.of_service("offcut-stock"):
            machine.server.children = [ChildCall(host=HOST, path="/sets/birch")]
        callers = Callers(fleet)
        await callers.run_phase("calm", CALM_RATE)
        slow_down(fleet.of_service("sets"), SLOW_FACTOR)
        await callers.run_phase(f"sets slowed {SLOW_FACTOR} times", FULL_RATE)
        slow_down(fleet.of_service("sets"), 1 / SLOW_FACTOR)
        await callers.run_phase("recovered", CALM_RATE)
        runs = count_runs(fleet)
        twice = [key for key, count in runs.items() if count > 1 and b"demo" in key]
        false_refusals = [key for key in callers.refused_orders if runs[key]]
        typer.echo(f"\nrequests that ran more than once: {len(twice)}")
        typer.echo(f"orders refused as not run that had run: {len(false_refusals)}")


def main() -> None:
    """Run the command."""
    trio.run(run_demo)
