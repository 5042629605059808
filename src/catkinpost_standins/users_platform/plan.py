"""Shape of a soak's deployment, and the planned work that is done on it."""

import copy
import math
import random
import signal
import subprocess
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from catkinpost.platform.names import SERVERS_PREFIX
from catkinpost_standins.users_platform.commitment import DRAIN_S
from catkinpost_standins.users_platform.fleet import Machine, PlatformFleet
from catkinpost_standins.users_platform.server import StandInServer, Trouble
from catkinpost_standins.users_platform.traffic import Call
from catkinpost_standins.users_platform.verdict import (
    GRACE_S,
    PROPAGATION_S,
    Disruption,
)
from catkinpost_standins.users_platform.workspace import add_workspace

__all__ = [
    "DEPLOYMENTS",
    "WORKSPACE_RATES",
    "Deployment",
    "Plan",
    "build_configuration",
]

HOST = "mesh.example"
WARM_UP_S = 3.0
IDLE_TIMEOUT_S = 6.0
STOP_IN_DRAIN_SHARE = 0.3
# Share of the servers that leave by a removal of their entry, without `draining`.
WITHDRAWN_SHARE = 0.3
# Each version makes two of these changes.
CHANGES = ("move", "time", "limits", "add", "add", "remove")
# Share of the versions that change the limit of the workspace, to one of these rates.
LIMIT_CHANGE_SHARE = 0.5
WORKSPACE_RATES = (20.0, 5.0, 60.0)
# Longest times, one by chance, that a server goes on after ``drain-s``.
LINGERS_S = (1, 1, 6)
# Routes last added or removed that probers ask for, besides one that never existed.
MAX_PROBES = 4
MAX_STOP_GAP_S = 2.0
# Signals in series: shares of the stops, and of the starts, that meet more of them.
SIGNALS_IN_STOP_SHARE = 0.6
SIGNALS_IN_START_SHARE = 0.4
MAX_SIGNALS = 3
MAX_SIGNAL_GAP_S = 2.0
FIRST_SECOND_S = 1.0
MEMORIES_MB = (260, 300, 340)
STORE_TROUBLES = ("refuses", "silent", "slow", "some", "cut", "forgets", "restored")
MAX_STORE_TROUBLE_S = 5.0
MAX_SERVER_TROUBLE_S = 5.0
FREEZE_S = (0.05, 2.0)
MAX_STORE_DELAY_S = 2.0
STORE_CUT_GAP_S = 0.3
# Writers are back at the store within this time.
WRITERS_BACK_S = 2.0


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
    :param has_unplanned: whether nodes are also killed and held still.
    :ivar timeouts_s: time-outs of each route, each with the time of its sending.
    :ivar busy: machines with a stop or a replacement in progress, which another one
        must not overlap: SIGHUP may, at any moment.
    :ivar probes: calls on routes just added or removed, and on one that never was.
    :ivar limits: times of changes of the workspace's limit, with its rate.
    :ivar withdrawn: servers that leave without ``draining``.
    :ivar faults: what processes did that the platform does not expect.
    :ivar early_hangups: processes that were sent SIGHUP before their interpreter was
        set up.
    :ivar stopped: processes that were sent SIGTERM.
    """

    fleet: PlatformFleet
    deployment: Deployment
    random: random.Random
    prepare: Callable[[Machine], None]
    run_burst: Callable[[], Awaitable[None]]
    has_unplanned: bool = False
    disruptions: list[Disruption] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    early_hangups: set[subprocess.Popen] = field(default_factory=set)
    stopped: set[subprocess.Popen] = field(default_factory=set)
    busy: set[str] = field(default_factory=set)
    withdrawn: set[str] = field(default_factory=set)
    generation: int = 0
    has_store_trouble: bool = False

    def __post_init__(self) -> None:
        self.configuration = build_configuration(self.deployment)
        self.timeouts_s = {
            route["name"]: [(-math.inf, route["timeout-s"])]
            for route in add_workspace(self.configuration, 1.0)["routes"]
        }
        self.limits = [(-math.inf, WORKSPACE_RATES[0])]
        never = self.configuration["routes"][0] | {"name": "never", "prefix": "/never/"}
        self.probes: list[Call] = []
        self.probe_route(never)

    def probe_route(self, route: dict) -> None:
        """Let probers ask for a route that was just added or removed."""
        self.timeouts_s.setdefault(route["name"], [(-math.inf, route["timeout-s"])])
        call = Call(
            route=route["name"],
            host=HOST,
            path=f"{route['prefix']}7",
            unsafe=route["kind"] == "unsafe",
            deadline_s=route["timeout-s"],
        )
        others = [item for item in self.probes[1:] if item != call]
        self.probes[1:] = [*others, call][-MAX_PROBES:]

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
            *[self.change_configuration] * 4,
            *[self.replace_server] * 2,
            self.run_burst,
            *[self.trouble_store] * 2,
            *[self.trouble_server] * 2,
        ]
        if self.has_unplanned:
            works += [*[self.kill_node] * 2, *[self.freeze_node] * 4]
        first = [
            self.change_configuration,
            self.signal_change,
            self.replace_server,
            self.stop_node,
            self.trouble_store,
        ]
        while trio.current_time() < until:
            work = first.pop() if first else self.random.choice(works)
            nursery.start_soon(work)
            await trio.sleep(self.random.uniform(0.3, 2.5))

    def note(
        self, kind: str, host: str, lasts_s: float, detail: str = ""
    ) -> Disruption:
        now = trio.current_time()
        item = Disruption(
            kind=kind, host=host, at=now, until=now + lasts_s, detail=detail
        )
        self.disruptions.append(item)
        return item

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
        await self.start_node(machine)
        self.busy.discard(machine.host)

    async def start_node(self, machine: Machine) -> None:
        """Start a node until it is ready, at times with signals in its first second."""
        self.fleet.start_node(machine)
        self.note("start", machine.host, 0)
        async with trio.open_nursery() as nursery:
            if self.random.random() < SIGNALS_IN_START_SHARE:
                nursery.start_soon(self.signal_start, machine)
            await self.fleet.wait_ready(machine)
        if machine.process is None or machine.process.poll() is not None:
            self.check_end(machine)
            await self.start_node(machine)

    async def signal_start(self, machine: Machine) -> None:
        """Send SIGHUP or SIGTERM in the first second of a process's life."""
        await trio.sleep(self.random.uniform(0, FIRST_SECOND_S))
        if self.random.random() < 0.5:
            self.send_hangup(machine)
        else:
            await self.end_node(machine)

    async def end_node(self, machine: Machine) -> None:
        """Send SIGTERM, at times in a series, and SIGKILL after the grace time."""
        process = machine.process
        has_series = self.random.random() < SIGNALS_IN_STOP_SHARE
        if has_series and self.random.random() < 0.5:
            self.send_hangup(machine)
            await trio.sleep(self.random.uniform(0, FIRST_SECOND_S))
        self.note("stop", machine.host, GRACE_S + 1)
        stopped_at = trio.current_time()
        if process.poll() is None:
            self.stopped.add(process)
            process.send_signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_S):
            async with trio.open_nursery() as nursery:
                if has_series:
                    nursery.start_soon(self.send_series, machine)
                while process.poll() is None:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        took_s = trio.current_time() - stopped_at
        if process.poll() is None:
            if not self.was_frozen(machine, stopped_at):
                self.faults.append(f"STAY {machine.host}: still after {took_s:.2f} s")
            process.kill()
            process.wait()
            machine.process = None
        self.check_end(machine)

    def check_processes(self) -> None:
        """Note which processes have ended by themselves."""
        for machine in self.fleet.machines:
            if machine.process is not None and machine.process.poll() is not None:
                self.check_end(machine)

    def check_end(self, machine: Machine) -> None:
        """Note the status of a process that ended otherwise than as asked.

        SIGTERM may end a process that is not set up yet. SIGHUP may end one whose
        interpreter is not, as no code of the program has run by then.
        """
        process = machine.process
        if process is None:
            return
        status = process.wait()
        machine.process = None
        when = "" if self.fleet.read_log(machine) else " before it was set up"
        allowed = set()
        if process in self.stopped:
            allowed.add(0)
            if when:
                allowed.add(-signal.SIGTERM)
        if when and process in self.early_hangups:
            allowed.add(-signal.SIGHUP)
        if status not in allowed:
            self.faults.append(f"EXIT {machine.host}: status {status}{when}")

    async def send_series(self, machine: Machine) -> None:
        """Send more signals to a node that is stopping."""
        for _ in range(self.random.randint(1, MAX_SIGNALS)):
            await trio.sleep(self.random.uniform(0, MAX_SIGNAL_GAP_S))
            if self.random.random() < 0.5:
                self.send_hangup(machine)
            else:
                self.note("again", machine.host, 0)
                machine.process.send_signal(signal.SIGTERM)

    def send_hangup(self, machine: Machine) -> None:
        """Change the settings of a machine, and send SIGHUP."""
        if machine.process.poll() is not None:
            return
        machine.memory_mb = self.random.choice(MEMORIES_MB)
        self.fleet.write_settings(machine)
        if not self.fleet.has_interpreter(machine):
            self.early_hangups.add(machine.process)
        machine.process.send_signal(signal.SIGHUP)
        self.note("hup", machine.host, PROPAGATION_S + 7)

    async def signal_change(self) -> None:
        """Send SIGHUP to some machines, also while they start or stop."""
        for machine in self.random.sample(self.fleet.machines, 4):
            if machine.process is not None:
                self.send_hangup(machine)

    async def change_configuration(self) -> None:
        """Write a version that moves, adds or removes routes, or changes limits."""
        if self.fleet.store.is_down:
            return
        self.configuration["version"] += self.random.randint(1, 9)
        changes = self.random.choices(CHANGES, k=2)
        for change in changes:
            self.change_route(change)
        if self.random.random() < LIMIT_CHANGE_SHARE:
            self.limits.append(
                (trio.current_time(), self.random.choice(WORKSPACE_RATES))
            )
            changes.append(f"rate {self.limits[-1][1]}")
        self.publish()
        self.note("config", "", PROPAGATION_S + 1, " ".join(changes))

    def publish(self) -> None:
        """Write the configuration with its workspace."""
        configuration = add_workspace(self.configuration, self.limits[-1][1])
        self.fleet.configure(copy.deepcopy(configuration))

    def change_route(self, change: str) -> None:
        config = self.configuration
        services = self.deployment.services
        safe = [name for name, service in services.items() if not service.unsafe]
        route = self.random.choice(config["routes"])
        own = services.get(route["name"])
        if change == "move":
            movable = [item for item in config["routes"] if item["name"] in safe]
            route = self.random.choice(movable)
            others = [name for name in safe if name != route["service"]]
            route["service"] = self.random.choice(others or safe)
        elif change == "time" and own:
            route["timeout-s"] = own.deadline_s * self.random.choice([0.8, 0.9, 1])
            timeout = (trio.current_time(), route["timeout-s"])
            self.timeouts_s[route["name"]].append(timeout)
        elif change == "limits":
            config["limits"]["max-body-bytes"] = self.random.choice([2, 4, 64]) << 20
            config["limits"]["idle-timeout-s"] = self.random.choice(
                [0.25, 0.5, 1, 2]
            ) * (IDLE_TIMEOUT_S)
        elif change == "add":
            name = f"added-{config['version']}-{len(config['routes'])}"
            config["routes"].append(route | {"name": name, "prefix": f"/{name}/"})
            self.probe_route(config["routes"][-1])
        elif len(config["routes"]) > len(self.deployment.services):
            self.probe_route(config["routes"].pop())

    async def kill_node(self) -> None:
        """End a node without notice, and start it again."""
        machine = self.take_machine()
        if machine is None:
            return
        if machine.process.poll() is not None:
            self.check_end(machine)
        item = self.note("kill", machine.host, 0)
        if machine.process is not None:
            machine.process.kill()
            machine.process.wait()
        await trio.sleep(self.random.uniform(0, 1))
        await self.start_node(machine)
        item.until = trio.current_time()
        self.busy.discard(machine.host)

    async def freeze_node(self) -> None:
        """Hold a node still for a moment, also while it stops or starts."""
        machine = self.random.choice(self.fleet.machines)
        process = machine.process
        if process is None:
            return
        lasts_s = self.random.uniform(*FREEZE_S)
        item = self.note("freeze", machine.host, lasts_s)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(lasts_s)
        process.send_signal(signal.SIGCONT)
        item.until = trio.current_time()

    def was_frozen(self, machine: Machine, since: float) -> bool:
        return any(
            item.kind == "freeze" and item.host == machine.host and item.until >= since
            for item in self.disruptions
        )

    async def trouble_store(self) -> None:
        """Let the store fail for some time, in one of its ways."""
        store = self.fleet.store
        if self.has_store_trouble:
            return
        self.has_store_trouble = True
        kind = self.random.choice(STORE_TROUBLES)
        ends_at = trio.current_time() + self.random.uniform(0.5, MAX_STORE_TROUBLE_S)
        item = self.note("store", "", ends_at - trio.current_time(), kind)
        saved = store.copy()
        if kind == "slow":
            store.delay_s = self.random.uniform(0, MAX_STORE_DELAY_S)
        elif kind == "some":
            hosts = [machine.host for machine in self.fleet.machines]
            store.fault_hosts = set(self.random.sample(hosts, 3))
        elif kind == "forgets":
            store.forget_history()
        if kind in ("refuses", "some"):
            store.fault = store.refuse
        elif kind == "silent":
            store.fault = trio.sleep_forever
        while kind in ("cut", "forgets") and trio.current_time() < ends_at:
            store.cut_connections()
            await trio.sleep(STORE_CUT_GAP_S)
        await trio.sleep_until(ends_at)
        store.fault, store.delay_s, store.fault_hosts = None, 0.0, set()
        if kind == "restored":
            store.restore(saved)
            await trio.sleep(self.random.uniform(0, WRITERS_BACK_S))
            self.write_again()
        item.until = trio.current_time()
        self.has_store_trouble = False

    async def trouble_server(self) -> None:
        """Let a server break off, repeat or blur its answers for some time."""
        server = self.random.choice(self.fleet.machines).server
        trouble = self.random.choice([item for item in Trouble if item.value != "none"])
        lasts_s = self.random.uniform(1, MAX_SERVER_TROUBLE_S)
        self.note("server", server.instance, lasts_s, trouble.value)
        server.server.trouble = trouble
        await trio.sleep(lasts_s)
        server.server.trouble = Trouble.NONE

    def write_again(self) -> None:
        """Write what a restored store has lost, as servers and operator do."""
        store = self.fleet.store
        self.publish()
        present = [
            machine
            for machine in self.fleet.machines
            if machine.server.instance not in self.withdrawn
            and not machine.server.scope.cancel_called
        ]
        servers = {SERVERS_PREFIX + machine.server.instance for machine in present}
        for key in [key for key in store.items if key.startswith(SERVERS_PREFIX)]:
            if key not in servers:
                store.put(key, None)
        for machine in present:
            is_leaving = machine.server.server.leaving
            self.fleet.register(machine, "draining" if is_leaving else "ready")

    async def replace_server(self) -> None:
        """Let a server leave, at times with its node, and start both anew."""
        machine = None if self.fleet.store.is_down else self.take_machine()
        if machine is None:
            return
        old = machine.server
        if self.random.random() < WITHDRAWN_SHARE:
            self.withdrawn.add(old.instance)
            self.fleet.store.put(SERVERS_PREFIX + old.instance, None)
        else:
            self.fleet.register(machine, "draining")
            old.server.leaving = True
        self.note("drain", machine.host, DRAIN_S + 1)
        linger_s = self.random.uniform(0, self.random.choice(LINGERS_S))
        ends_at = trio.current_time() + DRAIN_S + linger_s
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
            await self.start_node(machine)
        self.busy.discard(machine.host)
