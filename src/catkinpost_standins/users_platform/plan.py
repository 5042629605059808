"""Shape of a soak's deployment, and the planned work that is done on it."""

import copy
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from catkinpost.platform.names import SERVERS_PREFIX
from catkinpost_standins.users_platform.fleet import Machine, PlatformFleet
from catkinpost_standins.users_platform.server import StandInServer
from catkinpost_standins.users_platform.verdict import (
    GRACE_S,
    PROPAGATION_S,
    Disruption,
)

__all__ = ["DEPLOYMENTS", "Deployment", "Plan", "build_configuration"]

HOST = "mesh.example"
DRAIN_S = 2.5
WARM_UP_S = 3.0
IDLE_TIMEOUT_S = 6.0
STOP_IN_DRAIN_SHARE = 0.3
MAX_STOP_GAP_S = 2.0


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


@dataclass(eq=False, kw_only=True)
class Plan:
    """Planned work on a fleet, as a seed says.

    :param fleet: machines of the deployment.
    :param deployment: shape of its services.
    :param random: source of all choices.
    :param prepare: gives a machine's new server its shape.
    :param run_burst: lets many clients come at once.
    :ivar timeouts_s: shortest time-out that each first route had, in seconds.
    :ivar busy: machines with planned work in progress.
    :ivar faults: what processes did that the platform does not expect.
    """

    fleet: PlatformFleet
    deployment: Deployment
    random: random.Random
    prepare: Callable[[Machine], None]
    run_burst: Callable[[], Awaitable[None]]
    disruptions: list[Disruption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    generation: int = 0

    def __post_init__(self) -> None:
        self.configuration = build_configuration(self.deployment)
        self.timeouts_s = {
            route["name"]: route["timeout-s"] for route in self.configuration["routes"]
        }

    async def run(self, servers: trio.Nursery, until: float) -> None:
        """Start planned work that follows and overlaps.

        :param servers: nursery of new servers.
        :param until: time until which work may start.
        """
        self.servers = servers
        async with trio.open_nursery() as nursery:
            await self.start_works(nursery, until)

    async def start_works(self, nursery: trio.Nursery, until: float) -> None:
        await trio.sleep(WARM_UP_S)
        works: list[Callable[[], Awaitable[None]]] = [
            *[self.stop_node] * 4,
            self.stop_service,
            self.signal_change,
            *[self.change_configuration] * 2,
            *[self.replace_server] * 2,
            self.run_burst,
        ]
        while trio.current_time() < until:
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
        await machine.server.serve(self.servers, machine.host, self.fleet.server_port)
        if machine.process is None:
            self.fleet.start_node(machine)
        await self.fleet.wait_ready(machine)
        self.busy.discard(machine.host)
