"""``catkinpost-soak``: planned work on a small fleet of real nodes under traffic.

The plan and the traffic come from a seed; the course of a run also depends on the
machine, so that a seed need not show the same findings again.
"""

import copy
import json
import os
import random
import shutil
import signal
import zlib
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import trio
import typer

from catkinpost.platform.names import (
    ATTEMPT_ID,
    READINESS_PATH,
    RESPONSE_SIGNATURE,
    SERVERS_PREFIX,
)
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.users_platform.fleet import (
    Machine,
    PlatformFleet,
    open_platform_fleet,
)
from catkinpost_standins.users_platform.server import ChildCall, Run, StandInServer
from catkinpost_standins.users_platform.traffic import Call, Client, Fate, Habit
from catkinpost_standins.users_platform.verdict import (
    GRACE_S,
    PROPAGATION_S,
    Disruption,
    Verdict,
)

__all__ = ["DEPLOYMENTS", "Deployment", "Soak", "main"]

HOST = "mesh.example"
ZONES = {"zone-a": "region-a", "zone-b": "region-a"}
DRAIN_S = 2.5
PROBE_S = 1.0
MISSES_ALLOWED = 1
MEMORY_CHECK_S = 0.1
LAG_CHECK_S = 0.02
WARM_UP_S = 3.0
IDLE_TIMEOUT_S = 6.0
TAIL_SHARE = 0.04
TAIL_FACTOR = 8.0
BURST_CLIENTS = 60
PIECE_SHARE = 0.1
STOP_IN_DRAIN_SHARE = 0.3
MAX_STOP_GAP_S = 2.0
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


@dataclass(frozen=True, kw_only=True)
class Service:
    """Servers of one service and the route to them.

    :param slots: requests that a server runs at once, and that it queues.
    :param seconds: service time.
    :param calls: service that each request calls, empty for none.
    :param deadline_s: seconds that clients wait, and the route's time-out.
    """

    slots: int
    seconds: float
    unsafe: bool = False
    calls: str = ""
    deadline_s: float = 6.0


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Shape of a fleet: its services, and the size of its answers."""

    services: dict[str, Service]
    answer_bytes: int


DEPLOYMENTS = {
    "skaida": Deployment(
        services={
            "offcut-stock": Service(slots=12, seconds=0.14),
            "orders": Service(
                slots=12, seconds=0.18, unsafe=True, calls="offcut-stock"
            ),
            "certs": Service(slots=12, seconds=0.34),
            "sets": Service(slots=4, seconds=0.054, deadline_s=1.2),
        },
        answer_bytes=20_000,
    ),
    "umuhora": Deployment(
        services={
            "depot-finder": Service(slots=6, seconds=0.1),
            "refund-desk": Service(
                slots=6, seconds=0.14, unsafe=True, calls="depot-finder"
            ),
            "slip-book": Service(slots=6, seconds=0.26, deadline_s=4.0),
            "yard-board": Service(slots=2, seconds=0.041, deadline_s=1.0),
        },
        answer_bytes=30_000,
    ),
    # Short work gives many requests at each moment of a stop.
    "dense": Deployment(
        services={
            "stock": Service(slots=16, seconds=0.01),
            "orders": Service(slots=16, seconds=0.01, unsafe=True, calls="stock"),
        },
        answer_bytes=2000,
    ),
}


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
        try:
            result = await self.client.send_request(request)
            if isinstance(result, HttpResponse):
                fate.end, fate.status = "answered", result.status
                fate.signature = find_header(result.headers, RESPONSE_SIGNATURE)
                fate.checksum = zlib.crc32(result.body)
            elif result.reason is Reason.BACKEND_CONNECTION_LOST:
                fate.end = "closed" if "cut" in result.detail else "reset"
            else:
                fate.end = "unsent"
            return result
        finally:
            fate.ended_at = trio.current_time()
            self.soak.fates.append(fate)


@dataclass(eq=False)
class Soak:
    """One run: traffic and a plan of planned work.

    :param fleet: machines of the deployment.
    :param deployment: shape of its services.
    :param seed: seed of plan and traffic.
    :param seconds: length of the traffic.
    :ivar misses: failed readiness probes in a row of each machine.
    :ivar busy: machines with planned work in progress.
    :ivar faults: what processes did that the platform does not expect.
    :ivar largest_lag_s: longest delay of this process, in seconds, by which its times
        may be wrong.
    """

    fleet: PlatformFleet
    deployment: Deployment
    seed: int
    seconds: float
    fates: list[Fate] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    servers: list[StandInServer] = field(default_factory=list)
    misses: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    busy: set[str] = field(default_factory=set)
    largest_lag_s: float = 0.0
    largest_memory_mb: float = 0.0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.start = trio.current_time()
        self.end = self.start + self.seconds
        self.configuration = build_configuration(self.deployment)
        self.timeouts_s = {
            route["name"]: route["timeout-s"] for route in self.configuration["routes"]
        }
        self.generation = 0

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
                path="",
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
            self.nursery = nursery
            nursery.start_soon(self.watch_lag)
            for machine in self.fleet.machines:
                nursery.start_soon(self.probe, machine)
                nursery.start_soon(self.watch_memory, machine)
            async with trio.open_nursery() as traffic:
                for machine in self.fleet.machines:
                    for habit in HABITS:
                        self.start_client(traffic, machine, habit, self.end)
                traffic.start_soon(self.run_plan, traffic)
            nursery.cancel_scope.cancel()
        runs: dict[bytes, list[Run]] = defaultdict(list)
        for server in self.servers:
            for run in server.history:
                runs[run.attempt].append(run)
        return Verdict(self.fates, runs, self.disruptions, self.timeouts_s)

    def start_client(
        self, nursery: trio.Nursery, machine: Machine, habit: Habit, until: float
    ) -> None:
        self.generation += 1
        client = Client(
            machine.host,
            self.fleet.outbound_port,
            calls=self.build_calls(),
            habit=habit,
            seed=f"{self.seed}-{self.generation}",
            may_start=lambda: self.misses[machine.host] <= MISSES_ALLOWED,
            record=self.fates.append,
        )
        nursery.start_soon(client.run, until)

    async def run_plan(self, nursery: trio.Nursery) -> None:
        """Start planned work that follows and overlaps, as the seed says."""
        await trio.sleep(WARM_UP_S)
        works: list[Callable[[], Awaitable[None]]] = [
            *[self.stop_node] * 4,
            self.stop_service,
            self.signal_change,
            *[self.change_configuration] * 2,
            *[self.replace_server] * 2,
            self.run_burst,
        ]
        while trio.current_time() < self.end - GRACE_S:
            nursery.start_soon(self.random.choice(works))
            await trio.sleep(self.random.uniform(0.3, 2.5))

    def note(self, kind: str, host: str, lasts_s: float, detail: str = "") -> None:
        now = trio.current_time()
        self.disruptions.append(
            Disruption(kind=kind, host=host, at=now, until=now + lasts_s, detail=detail)
        )

    def take_machine(self) -> Machine | None:
        """Choose a machine without planned work; a service keeps one."""
        free = [
            machine
            for machine in self.fleet.machines
            if machine.host not in self.busy
            and not any(
                other.host in self.busy
                for other in self.fleet.of_service(machine.server.service)
            )
        ]
        if not free:
            return None
        machine = self.random.choice(free)
        self.busy.add(machine.host)
        return machine

    async def stop_node(self) -> None:
        """Stop a node and start it again, while its server runs on."""
        machine = self.take_machine()
        if machine is not None:
            await self.restart_node(machine)

    async def stop_service(self) -> None:
        """Stop all nodes of a service, one shortly after the other."""
        service = self.random.choice(list(self.deployment.services))
        machines = self.fleet.of_service(service)
        if any(machine.host in self.busy for machine in machines):
            return
        self.busy.update(machine.host for machine in machines)
        async with trio.open_nursery() as nursery:
            for machine in machines:
                nursery.start_soon(self.restart_node, machine)
                await trio.sleep(self.random.uniform(0, MAX_STOP_GAP_S))

    async def restart_node(self, machine: Machine) -> None:
        await self.end_node(machine)
        await trio.sleep(self.random.uniform(0, 1))
        self.fleet.start_node(machine)
        await self.fleet.wait_ready(machine)
        self.busy.discard(machine.host)

    async def end_node(self, machine: Machine) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        process = machine.process
        self.note("stop", machine.host, GRACE_S + 1)
        stopped_at = trio.current_time()
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            while process.poll() is None:
                await trio.sleep(0.01)
        took_s = trio.current_time() - stopped_at
        if process.poll() is None:
            self.faults.append(f"STAY {machine.host}: still there after {took_s:.2f} s")
            process.kill()
        elif process.returncode:
            self.faults.append(f"EXIT {machine.host}: status {process.returncode}")
        process.wait()
        machine.process = None

    async def signal_change(self) -> None:
        """Change the settings of some machines, and send SIGHUP."""
        for machine in self.random.sample(self.fleet.machines, 4):
            if machine.host in self.busy or machine.process is None:
                continue
            machine.memory_mb = self.random.choice([260, 300, 340])
            self.fleet.write_settings(machine)
            machine.process.send_signal(signal.SIGHUP)
            self.note("hup", machine.host, PROPAGATION_S + 7)

    async def change_configuration(self) -> None:
        """Move a route, change its time, or change the limits."""
        config = self.configuration
        config["version"] += self.random.randint(1, 9)
        route = self.random.choice(config["routes"])
        change = self.random.choice(["move", "time", "limits", "add", "remove"])
        own = (
            self.deployment.services[route["name"]]
            if route["name"] in self.timeouts_s
            else None
        )
        if change == "move" and own and not own.unsafe and not own.calls:
            safe = [
                name
                for name, service in self.deployment.services.items()
                if not service.unsafe
            ]
            route["service"] = self.random.choice([route["name"], *safe])
        elif change == "time" and own:
            route["timeout-s"] = own.deadline_s * self.random.choice([0.8, 0.9, 1])
            shortest = min(self.timeouts_s[route["name"]], route["timeout-s"])
            self.timeouts_s[route["name"]] = shortest
        elif change == "limits":
            config["limits"]["max-body-bytes"] = self.random.choice([2, 4, 64]) << 20
            config["limits"]["idle-timeout-s"] = self.random.choice(
                [0.25, 0.5, 1, 2]
            ) * (IDLE_TIMEOUT_S)
        elif change == "add":
            name = f"added-{config['version']}"
            config["routes"].append(route | {"name": name, "prefix": f"/{name}/"})
        elif len(config["routes"]) > len(self.timeouts_s):
            config["routes"].pop()
        self.fleet.configure(copy.deepcopy(config))
        self.note("config", "", PROPAGATION_S + 1, change)

    async def replace_server(self) -> None:
        """Let a server leave, at times with its node, and start both anew."""
        machine = self.take_machine()
        if machine is None:
            return
        old = machine.server
        self.fleet.register(machine, "draining")
        old.server.leaving = True
        self.note("drain", machine.host, DRAIN_S + 1)
        ends_at = trio.current_time() + DRAIN_S + self.random.uniform(0, 1)
        if self.random.random() < STOP_IN_DRAIN_SHARE:
            await trio.sleep(self.random.uniform(0, DRAIN_S))
            await self.end_node(machine)
        await trio.sleep_until(ends_at)
        with trio.move_on_after(GRACE_S):
            while old.running or old.waiting:
                await trio.sleep(0.01)
        old.end()
        self.fleet.store.put(SERVERS_PREFIX + old.instance, None)
        if machine.process is not None and self.random.random() < 0.5:
            await self.end_node(machine)
        await trio.sleep(self.random.uniform(0.2, 1))
        self.generation += 1
        machine.server = StandInServer(f"i-new-{self.generation}", old.service)
        self.prepare(machine)
        await machine.server.serve(self.nursery, machine.host, self.fleet.server_port)
        if machine.process is None:
            self.fleet.start_node(machine)
        await self.fleet.wait_ready(machine)
        self.busy.discard(machine.host)

    async def run_burst(self) -> None:
        """Let many clients come at once."""
        lasts_s = self.random.uniform(1, 3)
        self.note("burst", "", lasts_s)
        until = trio.current_time() + lasts_s
        async with trio.open_nursery() as nursery:
            for _ in range(BURST_CLIENTS):
                machine = self.random.choice(self.fleet.machines)
                habit = self.random.choice(HABITS[:4])
                self.start_client(nursery, machine, habit, until)

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
                self.faults.append(f"MEMORY {machine.host}: {memory_mb:.0f} MB")
                process.kill()

    async def watch_lag(self) -> None:
        """Measure how late this process runs, which makes its times wrong."""
        while True:
            before = trio.current_time()
            await trio.sleep(LAG_CHECK_S)
            lag_s = trio.current_time() - before - LAG_CHECK_S
            self.largest_lag_s = max(self.largest_lag_s, lag_s)


def build_configuration(deployment: Deployment) -> dict:
    """Build the operator's first configuration."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": "unsafe" if service.unsafe else "safe",
            "timeout-s": service.deadline_s,
            "target-latency-s": 0.25 * service.deadline_s,
            "priority": 0 if service.unsafe else 2,
            "service": name,
            "max-attempts": 2,
        }
        for name, service in deployment.services.items()
    ]
    return {
        "version": 1,
        "services": [{"name": name} for name in deployment.services],
        "routes": routes,
        "limits": {"idle-timeout-s": IDLE_TIMEOUT_S},
    }


async def run_soak(
    deployment: Deployment, seed: int, seconds: float, logs: Path
) -> int:
    """Run a soak, print its findings, and return their number."""
    services = list(deployment.services) * 2
    configuration = build_configuration(deployment)
    async with open_platform_fleet(services, ZONES, configuration) as fleet:
        soak = Soak(fleet, deployment, seed, seconds)
        verdict = await soak.run()
        findings = verdict.find()
        lines = [item.describe(soak.start) for item in findings]
        lines += [item.describe(soak.start) for item in verdict.excused]
        lines += soak.faults
        for line in lines:
            typer.echo(line)
        rules = sorted({item.rule for item in findings})
        counts = {rule: sum(item.rule == rule for item in findings) for rule in rules}
        plan = [
            f"{item.at - soak.start:.3f} {item.kind} {item.host} {item.detail}"
            for item in soak.disruptions
        ]
        summary = {
            "seed": seed,
            "broken": counts,
            "excused": len(verdict.excused),
            "faults": len(soak.faults),
            "requests": dict(sorted(verdict.count().items())),
            "disruptions": dict(Counter(item.kind for item in soak.disruptions)),
            "lag_s": round(soak.largest_lag_s, 3),
            "memory_mb": round(soak.largest_memory_mb),
        }
        typer.echo(json.dumps(summary))
        if lines:
            folder = logs / f"{seed}"
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(fleet.folder, folder)
            (folder / "findings.txt").write_text("\n".join([*lines, "", *plan]))
        return len(findings) + len(soak.faults)


def run(
    seed: Annotated[int, typer.Option(help="Seed of plan and traffic.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of traffic.")] = 60.0,
    deployment: Annotated[str, typer.Option(help="skaida or umuhora.")] = "skaida",
    logs: Annotated[Path, typer.Option(help="Folder for the logs of failures.")] = Path(
        "target/soak"
    ),
) -> None:
    """Soak a small fleet; exits with 1 if a rule was broken."""
    shape = DEPLOYMENTS[deployment]
    folder = logs / deployment
    if trio.run(run_soak, shape, seed, seconds, folder):
        raise typer.Exit(1)


def main() -> None:
    """Run the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
