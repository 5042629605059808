"""``catkinpost-path-bench``: what the path adds to a call, paired in one run."""

import gc
import os
import random
import statistics
import time
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.backend import BackendSpec, Child, Route
from catkinpost_standins.fleet import (
    HOST,
    Fleet,
    Member,
    MemberSpec,
    free_port,
    open_fleet,
)
from catkinpost_standins.parts_bench import measure_parts

__all__ = ["main"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DEPTH = 3
WARM_UP_CALLS = 150
BODY_BYTES = 200
POLICY_SERVICE = """\
[service {name}]
owner = bench
slots = 64
slow_start = 0
hedging = off
"""


@dataclass
class Way:
    """One way to send the same call.

    :param name: shown name.
    :param port: where the call is sent.
    :param service: wanted service.
    :param nodes: processes whose processor time counts.
    """

    name: str
    port: int
    service: str
    nodes: list[int]
    baseline: str = ""
    calls_deep: int = 1
    rounds: list[list[float]] = field(default_factory=list)
    cpu_s: float = 0.0
    calls: int = 0


class WayResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one way."""

    name: str
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    ratio_p50: float
    ratio_p99: float
    node_cpu_ms_per_call: float


def cpu_of(pids: list[int]) -> float:
    """Return the processor time of processes in seconds."""
    total = 0.0
    for pid in pids:
        with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return total


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values in milliseconds."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


async def send_round(way: Way, client: BackendClient, calls: int, rate: float) -> None:
    """Send calls at a fixed rate, independent of the answers."""
    latencies: list[float] = []
    before = cpu_of(way.nodes)

    async def one() -> None:
        request = HttpRequest(b"GET", b"/echo", [(b"host", way.service.encode())], b"")
        started = time.perf_counter()
        answer = await client.send_request(request)
        if not isinstance(answer, HttpResponse) or answer.status != 200:
            raise RuntimeError(f"{way.name}: {answer}")
        latencies.append(time.perf_counter() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(calls):
            nursery.start_soon(one)
            await trio.sleep(random.expovariate(rate))
    way.cpu_s += cpu_of(way.nodes) - before
    way.calls += calls
    way.rounds.append(latencies)


def summarize(way: Way, baseline: Way) -> WayResult:
    """Compare a way with its baseline, round by round."""
    p50 = [percentile(item, 0.50) for item in way.rounds]
    p99 = [percentile(item, 0.99) for item in way.rounds]
    base_p50 = [percentile(item, 0.50) for item in baseline.rounds]
    base_p99 = [percentile(item, 0.99) for item in baseline.rounds]

    def median(pairs) -> float:
        return round(statistics.median(pairs), 3)

    return WayResult(
        name=way.name,
        p50_ms=median(p50),
        p99_ms=median(p99),
        added_p50_ms=median(a - b for a, b in zip(p50, base_p50, strict=True)),
        added_p99_ms=median(a - b for a, b in zip(p99, base_p99, strict=True)),
        ratio_p50=median(a / b for a, b in zip(p50, base_p50, strict=True)),
        ratio_p99=median(a / b for a, b in zip(p99, base_p99, strict=True)),
        node_cpu_ms_per_call=round(way.cpu_s / max(1, way.calls) * 1000, 3),
    )


def member(name: str, service: str, children: list[Child]) -> MemberSpec:
    routes = [
        Route(
            path="/echo",
            mean_ms=0.0,
            spread=0.0,
            children=children,
            answer_bytes=BODY_BYTES,
        )
    ]
    return MemberSpec(
        name=name,
        service=service,
        data_centre="kurzeme-1",
        region="kurzeme",
        backend=BackendSpec(service=service, slots=256, routes=routes),
    )


def chain_specs(prefix: str) -> list[MemberSpec]:
    """Return a chain of services that call one another."""
    specs = []
    for level in range(1, DEPTH + 1):
        children = []
        if level < DEPTH:
            children = [Child(service=f"{prefix}{level + 1}", path="/echo")]
        specs.append(member(f"{prefix}{level}-1", f"{prefix}{level}", children))
    return specs


def start_direct_chain(fleet: Fleet) -> list[Member]:
    """Start the chain's backend servers without nodes, each calling the next."""
    members = [Member(spec) for spec in chain_specs("direct")]
    for current, following in zip(members, members[1:], strict=False):
        current.calls = following.backend
    for item in members:
        fleet.start_backend(item)
    return members


def pids(members: list[Member]) -> list[int]:
    return [item.node_process.pid for item in members]


def start_forwarder(fleet: Fleet, target: Member) -> Way:
    """Start the forwarder on the house's HTTP libraries."""
    port = free_port()
    process = fleet.spawn(
        "forwarder",
        "catkinpost_standins.library_forwarder",
        f"{HOST}:{target.backend}",
        "--port",
        str(port),
    )
    return Way("hypercorn+httpcore", port, "deep3", [process.pid], "direct")


async def run_bench(
    rounds: int, calls: int, rate: float, libraries: bool
) -> list[WayResult]:
    """Measure all ways in turn, round by round."""
    specs = [member("entry-1", "entry", []), *chain_specs("deep")]
    names = [spec.service for spec in specs]
    policy = "\n".join(POLICY_SERVICE.format(name=name) for name in names)
    async with open_fleet(specs, policy) as fleet:
        direct = start_direct_chain(fleet)
        await trio.sleep(1.0)
        entry = fleet.members["entry-1"]
        deep = [fleet.members[f"deep{level}-1"] for level in range(1, DEPTH + 1)]
        last = deep[-1]
        ways = [
            Way("direct", last.backend, "deep3", []),
            Way("one node", last.calls, "deep3", pids([last]), "direct"),
            Way("two nodes", entry.calls, "deep3", pids([entry, last]), "direct"),
            Way("3 deep, direct", direct[0].backend, "direct1", [], "", DEPTH),
            Way(
                "3 deep, nodes",
                entry.calls,
                "deep1",
                pids([entry, *deep]),
                "3 deep, direct",
                DEPTH,
            ),
        ]
        if libraries:
            ways.insert(1, start_forwarder(fleet, last))
            await trio.sleep(2.0)
        clients = {
            way.name: BackendClient(HOST, way.port, limits=HttpLimits()) for way in ways
        }
        for way in ways:
            await send_round(way, clients[way.name], WARM_UP_CALLS, rate)
            way.rounds.clear()
            way.cpu_s = way.calls = 0
        gc.collect()
        for _ in range(rounds):
            for way in ways:
                await send_round(way, clients[way.name], calls, rate)
        by_name = {way.name: way for way in ways}
        return [summarize(way, by_name[way.baseline or way.name]) for way in ways]


app = typer.Typer()


@app.command()
def run(
    rounds: Annotated[int, typer.Option(help="Rounds of every way.")] = 12,
    calls: Annotated[int, typer.Option(help="Calls in each round.")] = 200,
    rate: Annotated[float, typer.Option(help="Calls per second.")] = 70.0,
    libraries: Annotated[
        bool, typer.Option(help="Add a forwarder on hypercorn and httpcore.")
    ] = False,
    json: Annotated[bool, typer.Option(help="Print JSON.")] = False,
) -> None:
    """Measure what nodes add to a call, against the same call sent directly."""
    results = trio.run(run_bench, rounds, calls, rate, libraries)
    parts = measure_parts()
    if json:
        document = {"ways": results, "parts_us": parts}
        typer.echo(msgspec.json.encode(document).decode())
        return
    typer.echo(
        f"{'way':20}{'p50':>9}{'p99':>9}{'+p50':>9}{'+p99':>9}"
        f"{'x p50':>8}{'x p99':>8}{'node CPU':>10}  (ms; medians of rounds)"
    )
    for item in results:
        typer.echo(
            f"{item.name:20}{item.p50_ms:9.3f}{item.p99_ms:9.3f}"
            f"{item.added_p50_ms:9.3f}{item.added_p99_ms:9.3f}"
            f"{item.ratio_p50:8.2f}{item.ratio_p99:8.2f}"
            f"{item.node_cpu_ms_per_call:10.3f}"
        )
    typer.echo("\nparts of one call in one process, microseconds")
    for name, value in parts.items():
        typer.echo(f"  {name:40}{value:9.2f}")


def main() -> None:
    """Run the command."""
    app()
