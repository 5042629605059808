"""``make demo``: a small Skaidas with one node beside each backend server."""

import random
from collections import Counter
from typing import Annotated

import trio
import typer

from catkinpost.protocol.header import OUTCOME_HEADER, REASON_HEADER
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse, find_header
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.backend import Faults
from catkinpost_standins.deployment import SKAIDAS_POLICY, skaidas_specs
from catkinpost_standins.fleet import HOST, Fleet, open_fleet
from catkinpost_standins.web import get_json

__all__ = ["main"]

PHASE_S = 6.0
CALM_RATE = 40
SLOW_RATE = 120
SHOWN_DECISIONS = 15


async def call_once(
    client: BackendClient, number: int, rng: random.Random, results: Counter
) -> None:
    """Place an order or browse, and count what came of it."""
    if rng.random() < 0.3:
        name, service, method, path = "place-order", b"orders", b"POST", b"/orders"
        headers = [
            (b"idempotency-key", f"demo-{number}".encode()),
            (b"catkinpost-attempt", b"0"),
        ]
    else:
        name, service, method, path = "browse-stock", b"offcut-stock", b"GET", b"/stock"
        headers = []
    request = HttpRequest(method, path, [(b"host", service), *headers])
    answer = await client.send_request(request)
    results[name, describe(answer)] += 1


def describe(answer: HttpResponse | Failure) -> str:
    if isinstance(answer, Failure):
        return f"no answer: {answer.reason}"
    outcome = (find_header(answer.headers, OUTCOME_HEADER) or b"?").decode()
    reason = find_header(answer.headers, REASON_HEADER)
    if reason is not None:
        return f"{outcome}: {reason.decode()}"
    return outcome if answer.status == 200 else f"{outcome}: status {answer.status}"


async def run_phase(fleet: Fleet, title: str, rate: int, first: int) -> None:
    """Send calls at a fixed rate for one phase and print the results."""
    rng = random.Random(first)
    entries = [
        BackendClient(HOST, member.calls, limits=HttpLimits())
        for member in fleet.of_service("orders")
    ]
    results: Counter = Counter()
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * PHASE_S)):
            client = rng.choice(entries)
            nursery.start_soon(call_once, client, first + number, rng, results)
            await trio.sleep(1 / rate)
    typer.echo(f"\n{title}")
    for (name, outcome), count in sorted(results.items()):
        typer.echo(f"  {name:14} {outcome:36} {count:6}")


async def print_decisions(fleet: Fleet) -> None:
    """Print the latest decisions of all nodes."""
    found = []
    for name, member in fleet.members.items():
        decisions = await get_json(HOST, member.operators, "/decisions") or []
        found += [(name, item) for item in decisions]
    kinds = Counter((item["mechanism"], item["action"]) for _, item in found)
    typer.echo("\ndecisions by mechanism and action")
    for (mechanism, action), count in sorted(kinds.items()):
        typer.echo(f"  {mechanism:14} {action:28} {count:6}")
    shown = [pair for pair in found if pair[1]["mechanism"] not in ("policy", "list")]
    typer.echo("\nsome decisions as operators see them")
    for name, item in shown[-SHOWN_DECISIONS:]:
        typer.echo(
            f"  {name:15} {item['mechanism']}: {item['action']} {item['subject']}"
            f" because {item['reason']}"
        )


async def run_demo(per_service: int) -> None:
    """Run the demonstration."""
    typer.echo("starting platform, backend servers and nodes")
    specs = skaidas_specs(per_service)
    async with open_fleet(specs, SKAIDAS_POLICY) as fleet:
        typer.echo(f"{len(fleet.members)} backend servers with their nodes are ready")
        await run_phase(fleet, "calm: all services as usual", CALM_RATE, 0)
        for member in fleet.of_service("certs"):
            await fleet.set_faults(member, Faults(slow_factor=60))
        await run_phase(
            fleet, "certs, at the end of each chain, slowed 60 times", SLOW_RATE, 10_000
        )
        for member in fleet.of_service("certs"):
            await fleet.set_faults(member, Faults())
        await run_phase(fleet, "recovered", CALM_RATE, 20_000)
        await print_decisions(fleet)
        journals = await fleet.journals()
        twice = sum(
            count > 1
            for journal in journals.values()
            for count in journal["runs_by_key"].values()
        )
        typer.echo(f"\norders that ran more than once: {twice}")


app = typer.Typer()


@app.command()
def run(
    per_service: Annotated[
        int, typer.Option(help="Backend servers of each service.", min=1, max=8)
    ] = 4,
) -> None:
    """Place orders and browse on a small Skaidas while one service is slowed."""
    trio.run(run_demo, per_service)


def main() -> None:
    """Run the command."""
    app()
