"""``catkinpost-soak``: planned work on a small fleet of real nodes under traffic.

The plan and the traffic come from a seed; the course of a run also depends on the
machine, so that a seed need not show the same findings again.
"""

import json
import os
import random
import shutil
import zlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import trio
import typer

from catkinpost.platform.names import (
    ATTEMPT_ID,
    READINESS_PATH,
    RESPONSE_SIGNATURE,
)
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.users_platform.commitment import CommitmentVerdict
from catkinpost_standins.users_platform.fleet import (
    Machine,
    PlatformFleet,
    open_platform_fleet,
)
from catkinpost_standins.users_platform.plan import (
    DEPLOYMENTS,
    HOST,
    IDLE_TIMEOUT_S,
    WORKSPACE_RATES,
    Deployment,
    Plan,
    build_configuration,
)
from catkinpost_standins.users_platform.server import ChildCall, Run, StandInServer
from catkinpost_standins.users_platform.traffic import Call, Client, Fate, Habit
from catkinpost_standins.users_platform.verdict import GRACE_S, Verdict
from catkinpost_standins.users_platform.workspace import (
    KEY,
    ROUTE,
    LimitVerdict,
    add_workspace,
)

__all__ = ["Soak", "main"]

ZONES = {"zone-a": "region-a", "zone-b": "region-a"}
PROBE_S = 1.0
MISSES_ALLOWED = 1
MEMORY_CHECK_S = 0.1
LAG_CHECK_S = 0.02
TAIL_SHARE = 0.04
TAIL_FACTOR = 8.0
BURST_CLIENTS = 60
PIECE_SHARE = 0.1
HABITS = [
    Habit(name="kept"),
    Habit(name="idle", pause_s=0.8 * IDLE_TIMEOUT_S),
    Habit(name="idle-ahead", pause_s=0.8 * IDLE_TIMEOUT_S, ahead=2),
    Habit(name="new", keep=False),
    Habit(name="hasty", keep=False, heeds_readiness=False),
    Habit(name="ahead", ahead=3),
    Habit(name="slow", slow=True, ahead=1),
    Habit(name="leaving", leave_share=0.3),
    Habit(name="upload", body_bytes=300_000),
]
# Asks for more than the limit of its workspace.
KEYED = Habit(name="keyed", pause_s=0.05)
# Asks for routes just added or removed, which shows the version in force.
PROBER = Habit(name="prober", pause_s=1.5)


class RecordedCalls:
    """Connections of a server to its machine's node, which record each call's fate.

    :param client: the connections.
    :param soak: run whose fates are recorded.
    :param call: kind of its requests.
    """

    def __init__(self, client: BackendClient, soak: "Soak", call: Call) -> None:
        self.client, self.soak, self.call = client, soak, call

    async def send_request(self, request: HttpRequest) -> HttpResponse | Failure:
        """Send one request."""
        attempt = find_header(request.headers, ATTEMPT_ID)
        fate = Fate(
            attempt=attempt,
            call=self.call,
            host=self.client.host,
            habit="server",
            place=0,
            behind=0,
            used=len(self.client.idle_connections),
            started_at=trio.current_time(),
            sent_at=trio.current_time(),
            end="left",
        )
        # A call that goes on when the soak is judged is one that was sent.
        self.soak.fates.append(fate)
        try:
            result = await self.client.send_request(request)
            if isinstance(result, HttpResponse):
                fate.end, fate.status = "answered", result.status
                fate.signature = find_header(result.headers, RESPONSE_SIGNATURE)
                fate.named = find_header(result.headers, ATTEMPT_ID)
                fate.checksum = zlib.crc32(result.body)
            elif result.reason is Reason.BACKEND_CONNECTION_LOST:
                fate.end = "closed" if "cut" in result.detail else "reset"
            elif result.reason is Reason.BACKEND_UNREACHABLE:
                fate.end = "unsent"
            else:
                fate.end = "malformed"
            return result
        finally:
            fate.ended_at = trio.current_time()


@dataclass(eq=False)
class Soak:
    """One run: traffic, and planned work beside it.

    :param fleet: machines of the deployment.
    :param deployment: shape of its services.
    :param seed: seed of plan and traffic.
    :param seconds: length of the traffic.
    :param has_unplanned: whether nodes are also killed and held still.
    :ivar commitments: verdict on what the store acknowledged.
    :ivar limits: verdict on the limit and the key of the workspace.
    :ivar misses: failed readiness probes in a row of each machine.
    :ivar largest_lag_s: longest delay of this process, in seconds, by which its times
        may be wrong.
    """

    fleet: PlatformFleet
    deployment: Deployment
    seed: int
    seconds: float
    has_unplanned: bool = False
    fates: list[Fate] = field(default_factory=list)
    servers: list[StandInServer] = field(default_factory=list)
    misses: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    largest_lag_s: float = 0.0
    largest_memory_mb: float = 0.0

    def __post_init__(self) -> None:
        self.start = trio.current_time()
        self.end = self.start + self.seconds
        self.generation = 0
        self.plan = Plan(
            fleet=self.fleet,
            deployment=self.deployment,
            random=random.Random(self.seed),
            prepare=self.prepare,
            run_burst=self.run_burst,
            has_unplanned=self.has_unplanned,
        )

    def build_calls(self) -> list[Call]:
        return [
            Call(
                route=name,
                host=HOST,
                path=f"/{name}/7",
                unsafe=service.unsafe,
                deadline_s=service.deadline_s,
            )
            for name, service in self.deployment.services.items()
        ]

    def build_keyed_call(self) -> Call:
        deadline_s = self.plan.timeouts_s[ROUTE][0][1]
        return Call(
            route=ROUTE,
            host=HOST,
            path=f"/{ROUTE}/7",
            unsafe=False,
            deadline_s=deadline_s,
            key=KEY,
        )

    def prepare(self, machine: Machine) -> None:
        """Give a machine's server the shape of its service."""
        server = machine.server
        service = self.deployment.services[server.service]
        server.slots, server.queue = service.slots, service.slots
        server.seconds = service.seconds
        server.tail_share, server.tail_factor = TAIL_SHARE, TAIL_FACTOR
        server.answer_bytes = self.deployment.answer_bytes
        server.server.piece_share = PIECE_SHARE
        if service.calls:
            server.children = [ChildCall(host=HOST, path=f"/{service.calls}/called")]
            called = self.deployment.services[service.calls]
            call = Call(
                route=service.calls,
                host=HOST,
                path=server.children[0].path,
                unsafe=False,
                deadline_s=called.deadline_s,
            )
            calls = RecordedCalls(machine.callers, self, call)
            server.outbound = lambda: calls
        self.servers.append(server)
        self.fleet.register(machine)

    async def run(self) -> Verdict:
        """Run traffic and plan, and judge them."""
        for machine in self.fleet.machines:
            self.prepare(machine)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_lag)
            for machine in self.fleet.machines:
                nursery.start_soon(self.probe, machine)
                nursery.start_soon(self.watch_memory, machine)
            async with trio.open_nursery() as traffic:
                for machine in self.fleet.machines:
                    for habit in HABITS:
                        self.start_client(traffic, machine, habit, self.end)
                    self.start_client(
                        traffic, machine, PROBER, self.end, self.plan.probes
                    )
                    self.start_client(
                        traffic, machine, KEYED, self.end, [self.build_keyed_call()]
                    )
                traffic.start_soon(self.plan.run, nursery, self.end - GRACE_S)
            nursery.cancel_scope.cancel()
        self.plan.check_processes()
        runs: dict[bytes, list[Run]] = defaultdict(list)
        for server in self.servers:
            for run in server.history:
                runs[run.attempt].append(run)
        plan, store = self.plan, self.fleet.store
        self.commitments = CommitmentVerdict(
            fates=self.fates,
            runs=runs,
            servers=self.servers,
            disruptions=plan.disruptions,
            writes=store.writes,
            watches=store.watches,
        )
        self.limits = LimitVerdict(self.fates, runs, plan.limits)
        services = {item.host: item.server.service for item in self.fleet.machines}
        return Verdict(
            self.fates, runs, plan.disruptions, plan.timeouts_s, services=services
        )

    def start_client(
        self,
        nursery: trio.Nursery,
        machine: Machine,
        habit: Habit,
        until: float,
        calls: list[Call] | None = None,
    ) -> None:
        self.generation += 1
        client = Client(
            machine.host,
            self.fleet.outbound_port,
            calls=self.build_calls() if calls is None else calls,
            habit=habit,
            seed=f"{self.seed}-{self.generation}",
            may_start=lambda: self.misses[machine.host] <= MISSES_ALLOWED,
            record=self.fates.append,
        )
        nursery.start_soon(client.run, until)

    async def run_burst(self) -> None:
        """Let many clients come at once."""
        choices = self.plan.random
        lasts_s = choices.uniform(1, 3)
        self.plan.note("burst", "", lasts_s)
        until = trio.current_time() + lasts_s
        async with trio.open_nursery() as nursery:
            for _ in range(BURST_CLIENTS):
                machine = choices.choice(self.fleet.machines)
                self.start_client(nursery, machine, choices.choice(HABITS[:4]), until)

    async def probe(self, machine: Machine) -> None:
        """Ask for readiness as the platform does."""
        request = HttpRequest(b"GET", READINESS_PATH, [(b"host", b"ready")])
        client = BackendClient(machine.host, self.fleet.ready_port, limits=HttpLimits())
        while True:
            answer = await client.send_request(request)
            is_ready = isinstance(answer, HttpResponse) and answer.status == 200
            self.misses[machine.host] = 0 if is_ready else self.misses[machine.host] + 1
            await trio.sleep(PROBE_S)

    async def watch_memory(self, machine: Machine) -> None:
        """Kill a node that exceeds its memory, as the platform does."""
        page_mb = os.sysconf("SC_PAGE_SIZE") / 2**20
        while True:
            await trio.sleep(MEMORY_CHECK_S)
            process = machine.process
            if process is None or process.poll() is not None:
                continue
            statm = Path(f"/proc/{process.pid}/statm").read_text().split()
            memory_mb = int(statm[1]) * page_mb
            self.largest_memory_mb = max(self.largest_memory_mb, memory_mb)
            if memory_mb > machine.memory_mb:
                self.plan.faults.append(f"MEMORY {machine.host}: {memory_mb:.0f} MB")
                process.kill()

    async def watch_lag(self) -> None:
        """Measure how late this process runs, which makes its times wrong."""
        while True:
            before = trio.current_time()
            await trio.sleep(LAG_CHECK_S)
            lag_s = trio.current_time() - before - LAG_CHECK_S
            self.largest_lag_s = max(self.largest_lag_s, lag_s)


async def run_soak(
    deployment: Deployment, seed: int, seconds: float, unplanned: bool, logs: Path
) -> int:
    """Run a soak, print its findings, and return their number."""
    services = list(deployment.services) * 2
    configuration = add_workspace(build_configuration(deployment), WORKSPACE_RATES[0])
    async with open_platform_fleet(services, ZONES, configuration) as fleet:
        soak = Soak(fleet, deployment, seed, seconds, unplanned)
        plan = soak.plan
        verdict = await soak.run()
        findings = verdict.find() + soak.commitments.find()
        lines = [item.describe(soak.start) for item in findings]
        excused = verdict.excused + soak.commitments.excused
        lines += [item.describe(soak.start) for item in excused]
        limit_lines = soak.limits.find()
        lines += [*limit_lines, *plan.faults]
        for line in lines:
            typer.echo(line)
        rules = sorted({item.rule for item in findings})
        counts = {rule: sum(item.rule == rule for item in findings) for rule in rules}
        times = [
            f"{item.at - soak.start:.3f} {item.kind} {item.host} {item.detail}"
            for item in plan.disruptions
        ]
        summary = {
            "seed": seed,
            "broken": counts,
            "excused": dict(sorted(verdict.count_excused().items())),
            "limit": limit_lines[:3],
            "commitments": dict(sorted(soak.commitments.judged.items())),
            "faults": len(plan.faults),
            "requests": dict(sorted(verdict.count().items())),
            "disruptions": dict(Counter(item.kind for item in plan.disruptions)),
            "lag_s": round(soak.largest_lag_s, 3),
            "memory_mb": round(soak.largest_memory_mb),
        }
        typer.echo(json.dumps(summary))
        if lines:
            folder = logs / f"{seed}"
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(fleet.folder, folder)
            (folder / "findings.txt").write_text("\n".join([*lines, "", *times]))
        return len(findings) + len(limit_lines) + len(plan.faults)


def run(
    seed: Annotated[int, typer.Option(help="Seed of plan and traffic.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of traffic.")] = 60.0,
    deployment: Annotated[str, typer.Option(help="skaida or umuhora.")] = "skaida",
    unplanned: Annotated[
        bool, typer.Option(help="Also kill nodes and hold them still.")
    ] = False,
    logs: Annotated[Path, typer.Option(help="Folder for the logs of failures.")] = Path(
        "target/soak"
    ),
) -> None:
    """Soak a small fleet; exits with 1 if a rule was broken."""
    shape = DEPLOYMENTS[deployment]
    folder = logs / deployment
    if trio.run(run_soak, shape, seed, seconds, unplanned, folder):
        raise typer.Exit(1)


def main() -> None:
    """Run the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
