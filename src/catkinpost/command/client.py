"""``catkinpost``: the operators' client."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.command.difference import SectionDifference, compare_documents
from catkinpost.command.explanation import find_request_lines, format_line
from catkinpost.command.fetch import (
    NodeEndpoint,
    fetch_document,
    fetch_from_all,
    fetch_node_endpoints,
)
from catkinpost.protocol.ini import Problem
from catkinpost.protocol.outcome import Failure
from catkinpost.protocol.policy import check_document
from catkinpost.protocol.report import HistogramReport, StatusReport, WorkspaceRow
from catkinpost.state.decision_log import Decision

__all__ = ["main"]

EXIT_PROBLEMS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
WATCH_WAIT_S = 20.0
WATCH_RETRY_DELAY_S = 2.0

app = typer.Typer(
    help="Check policies, and see what nodes do and why.", no_args_is_help=True
)

NodeOption = Annotated[
    str, typer.Option(help="Operators' address of one node, IP:port.")
]
PlatformOption = Annotated[
    str, typer.Option(help="Address of the platform, IP:port, for the whole fleet.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


class CheckReport(msgspec.Struct, kw_only=True):
    """Result of ``catkinpost check`` as JSON."""

    file: str
    problems: list[Problem]
    sections: int
    changes: list[SectionDifference]


def print_json(value) -> None:
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2))


def exit_with_error(message: str, exit_code: int) -> None:
    typer.echo(message, err=True)
    raise typer.Exit(exit_code)


def find_endpoints(node: str, platform: str) -> list[NodeEndpoint]:
    """Return the nodes that the options select, or exit with an error."""
    if bool(node) == bool(platform):
        exit_with_error("name one of --node and --platform", EXIT_USAGE)
    if node:
        return [NodeEndpoint(name=node, address=node)]
    endpoints = trio.run(fetch_node_endpoints, platform)
    if isinstance(endpoints, Failure):
        exit_with_error(endpoints.detail, EXIT_UNREACHABLE)
    return endpoints


def fetch_documents(node: str, platform: str, path: str, model: type) -> dict:
    """Read one document from every node that the options select."""
    return trio.run(fetch_from_all, find_endpoints(node, platform), path, model)


def exit_if_unreachable(documents: dict) -> None:
    if any(isinstance(item, Failure) for item in documents.values()):
        raise typer.Exit(EXIT_UNREACHABLE)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="Policy document.")],
    node: NodeOption = "",
    json: JsonOption = False,
) -> None:
    """Check a policy document, and compare it with the one in force.

    Exits with 0 when it has no problem, 1 when it has one, 2 when it cannot be
    read, and 3 when the node cannot be reached.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(f"{file}: {error}", EXIT_USAGE)
    checked = check_document(text)
    changes: list[SectionDifference] = []
    if node:
        in_force = trio.run(fetch_document, node, "/policy")
        if isinstance(in_force, Failure):
            exit_with_error(in_force.detail, EXIT_UNREACHABLE)
        changes = compare_documents(in_force.decode(), text)
    if json:
        print_json(
            CheckReport(
                file=str(file),
                problems=checked.problems,
                sections=len(checked.parsed_sections),
                changes=changes,
            )
        )
    else:
        for problem in checked.problems:
            typer.echo(problem.format(str(file)))
        for change in changes:
            typer.echo(change.format())
        typer.echo(
            f"{file}: {len(checked.parsed_sections)} sections, "
            f"{len(checked.problems)} problems, {len(changes)} changes"
        )
    if checked.problems:
        raise typer.Exit(EXIT_PROBLEMS)


@app.command()
def status(
    node: NodeOption = "", platform: PlatformOption = "", json: JsonOption = False
) -> None:
    """Show version in force, limits, work in progress, refusals and peers.

    Exits with 3 when a node cannot be reached.
    """
    reports = fetch_documents(node, platform, "/status", StatusReport)
    if json:
        print_json(reports)
    elif node:
        for report in reports.values():
            print_status(report)
    else:
        print_fleet(reports)
    exit_if_unreachable(reports)


def print_status(report: StatusReport | Failure) -> None:
    """Print the status of one node."""
    if isinstance(report, Failure):
        typer.echo(report.detail, err=True)
        return
    policy = report.policy
    state = "leaving" if report.leaving else "ready" if report.ready else "not ready"
    typer.echo(
        f"{report.instance} ({report.service}, {report.data_centre},"
        f" {report.region}): {state}"
    )
    in_force_note = (
        "" if policy.in_force_s is None else f" for {policy.in_force_s:.0f} s"
    )
    typer.echo(
        f"policy    version {policy.version}{in_force_note}, read from {policy.source}"
    )
    typer.echo(
        f"platform  version {policy.platform_version} {policy.platform_error}".rstrip()
    )
    typer.echo(
        f"work      {report.in_flight} of {report.limit} in flight"
        f" ({report.long_in_flight} long), {report.queued} queued"
    )
    typer.echo(
        f"backend   reachable {report.backend_reachable},"
        f" reports {report.backend_reported_in_flight} in flight"
    )
    for problem in policy.problems:
        typer.echo(f"problem   {problem}")
    for row in report.outcomes:
        typer.echo(
            f"calls     {row.service:16}{row.request_class:24}{row.tenant:12}"
            f"{row.outcome:9}{row.reason:24}{row.count:9}"
        )
    for row in report.workspaces:
        print_workspace(row)
    for peer in report.peers:
        link = "connected" if peer.connected else "not connected"
        flags = [
            name for name in ("ejected", "on_trial", "leaving") if getattr(peer, name)
        ]
        typer.echo(
            f"peer      {peer.instance:20}{peer.state:9}{link:15}"
            f"version {peer.policy_version}  slowness {peer.slowness}"
            f"  {peer.in_flight}/{peer.limit} {' '.join(flags)}".rstrip()
        )


def print_workspace(row: WorkspaceRow) -> None:
    """Print what a workspace has sent, and the shares of its limit kept here."""
    limit = "no limit" if row.rate is None else f"{row.rate:g}/s + {row.burst:g}"
    events = ", ".join(f"{name} {count}" for name, count in row.events.items())
    typer.echo(f"workspace {row.workspace:20}{limit:20}{events}".rstrip())
    for item in row.shares:
        state = "settled" if item.settled else "being taken over"
        typer.echo(
            f"  share {item.share}  credit {item.credit:g}, gains {item.rate:g}/s,"
            f" granted {item.granted}, refused {item.refused}, {state}"
        )


def print_fleet(reports: dict[str, StatusReport | Failure]) -> None:
    """Print one line for each node, and mark nodes without the newest version."""
    reachable_reports = [
        item for item in reports.values() if isinstance(item, StatusReport)
    ]
    newest = max((item.policy.version for item in reachable_reports), default=-1)
    for name, item in reports.items():
        if isinstance(item, Failure):
            typer.echo(f"{name:20} unreachable: {item.detail}")
            continue
        lag_note = ""
        if item.policy.version < newest:
            cause = item.policy.platform_error or "not announced yet"
            lag_note = f" behind: {cause}"
        refused = sum(row.count for row in item.outcomes if row.outcome != "done")
        typer.echo(
            f"{name:20} {'ready' if item.ready else 'not ready':10}"
            f"policy {item.policy.version:<6}"
            f"{item.in_flight:4}/{item.limit:<4} queued {item.queued:<4}"
            f"refused {refused}{lag_note}"
        )
    typer.echo(f"newest version in force: {newest}")


@app.command()
def watch(
    node: NodeOption = "",
    platform: PlatformOption = "",
    json: JsonOption = False,
    mechanism: Annotated[
        str, typer.Option(help="Show the decisions of one mechanism only.")
    ] = "",
    after: Annotated[
        int, typer.Option(help="Position of the last decision already seen.")
    ] = 0,
    once: Annotated[bool, typer.Option(help="Print what is there and stop.")] = False,
) -> None:
    """Print automatic decisions as they happen, with reason and evidence."""
    endpoints = find_endpoints(node, platform)
    trio.run(watch_endpoints, endpoints, mechanism, after, once, json)


async def watch_endpoints(
    endpoints: list[NodeEndpoint], mechanism: str, after: int, once: bool, json: bool
) -> None:
    async with trio.open_nursery() as nursery:
        for endpoint in endpoints:
            nursery.start_soon(watch_endpoint, endpoint, mechanism, after, once, json)


async def watch_endpoint(
    endpoint: NodeEndpoint, mechanism: str, after: int, once: bool, json: bool
) -> None:
    """Print the decisions of one node until interrupted."""
    wait = 0.0 if once else WATCH_WAIT_S
    while True:
        path = f"/decisions?after={after}&wait={wait:g}"
        body = await fetch_document(endpoint.address, path, wait_s=wait)
        if isinstance(body, Failure):
            typer.echo(body.detail, err=True)
            if once:
                raise typer.Exit(EXIT_UNREACHABLE)
            await trio.sleep(WATCH_RETRY_DELAY_S)
            continue
        for decision in msgspec.json.decode(body, type=list[Decision]):
            after = decision.sequence
            if mechanism in ("", decision.mechanism):
                print_decision(endpoint, decision, json)
        if once:
            return


def print_decision(endpoint: NodeEndpoint, decision: Decision, json: bool) -> None:
    """Print one decision on one line."""
    if json:
        fields = msgspec.to_builtins(decision)
        typer.echo(msgspec.json.encode({"node": endpoint.name, **fields}))
        return
    evidence = " ".join(f"{name}={value}" for name, value in decision.evidence.items())
    mode_note = "" if decision.mode.value == "on" else f" [{decision.mode.value} only]"
    repeated_note = f" (and {decision.repeated} alike)" if decision.repeated else ""
    typer.echo(
        f"{endpoint.name} {decision.sequence:6} {decision.mechanism}: {decision.action}"
        f" {decision.subject}{mode_note}: {decision.reason}; {evidence}{repeated_note}"
    )


@app.command()
def histogram(
    node: NodeOption = "", platform: PlatformOption = "", json: JsonOption = False
) -> None:
    """Show latencies by service, class and tenant.

    Exits with 3 when a node cannot be reached.
    """
    reports = fetch_documents(node, platform, "/histogram", HistogramReport)
    if json:
        print_json(reports)
    else:
        print_histograms(reports)
    exit_if_unreachable(reports)


def print_histograms(reports: dict[str, HistogramReport | Failure]) -> None:
    """Print one line for each node, class and tenant."""
    typer.echo(
        f"{'node':20}{'service':16}{'class':24}{'tenant':12}"
        f"{'count':>9}{'p50':>10}{'p90':>10}{'p99':>10}{'p99.9':>10} ms"
    )
    for name, report in reports.items():
        if isinstance(report, Failure):
            typer.echo(report.detail, err=True)
            continue
        for row in report.latencies:
            values = "".join(f"{value:10.2f}" for value in row.percentiles_ms.values())
            typer.echo(
                f"{name:20}{row.service:16}{row.request_class:24}{row.tenant:12}"
                f"{row.count:9}{values}"
            )


@app.command()
def explain(
    request: Annotated[str, typer.Argument(help="Identity of the request.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of any nodes; standard input without any."),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Show what the logs of several nodes say of one request.

    Exits with 1 when they say nothing, and 2 when a file cannot be read.
    """
    log_lines = find_request_lines(read_lines(files or []), request)
    if json:
        print_json(log_lines)
    for line in [] if json else log_lines:
        typer.echo(format_line(line))
    if not log_lines:
        exit_with_error(f"no line names request {request}", EXIT_PROBLEMS)


def read_lines(files: list[Path]) -> Iterator[str]:
    """Yield the lines of all files, or of standard input without any."""
    if not files:
        yield from sys.stdin
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                yield from lines
        except OSError as error:
            exit_with_error(f"{file}: {error}", EXIT_USAGE)


def main() -> None:
    """Run the command."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(0)
