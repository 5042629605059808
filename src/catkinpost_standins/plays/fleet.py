"""Machines of a play: servers, relays and the processes of real nodes."""

import asyncio
import contextlib
import os
import re
import resource
import signal
import socket
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

from catkinpost_standins.launch import start_node
from catkinpost_standins.plays.relay import Link, Relay
from catkinpost_standins.plays.server import Behaviour, Server
from catkinpost_standins.plays.store import Store
from catkinpost_standins.plays.wire import build_head, read_message

__all__ = ["PLACES", "Fleet", "Machine", "NodeBounds", "Ways", "find_port_block"]

GRACE_S = 6.0
START_TIMEOUT_S = 30.0
RESTART_TIMEOUT_S = 5.0
PROBE_TIMEOUT_S = 1.0
END_S = 0.2
PORTS = 32
FIRST_PORT, END_PORT = 10_000, 30_000
# Service, zone and region of each machine; clients are on the first one.
PLACES = [
    ("here", "zone-a", "region-a"),
    ("near", "zone-b", "region-a"),
    ("far", "zone-c", "region-b"),
    ("near", "zone-a", "region-a"),
    ("far", "zone-d", "region-b"),
]
SETTINGS = """\
[self]
node-name = "sidecar-{host}"
ip-address = "{host}"
zone = "{zone}"
region = "{region}"
application-address = "{host}:{server_port}"
service = "{service}"
[self.limits]
memory-mb = 300
[network]
internal-port-range = [{peer_port}, {peer_port_end}]
[network.listen-addresses]
inbound = "{host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"
[network.zones]
{zones}
[platform.platform]
address = "{store}"
[terms.bounds]
grace-period-s = {grace_s:g}
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 49
"""


@dataclass(frozen=True)
class NodeBounds:
    """What a node's process may use, ``None`` for what this process may.

    :param descriptors: number of open files and sockets.
    :param cores: numbers of processor cores, empty for all.
    """

    descriptors: int | None = None
    cores: frozenset[int] = frozenset()

    def apply(self, process: int) -> None:
        """Apply the bounds to a process by its id."""
        if self.descriptors is not None:
            limits = (self.descriptors, self.descriptors)
            resource.prlimit(process, resource.RLIMIT_NOFILE, limits)
        if self.cores:
            os.sched_setaffinity(process, self.cores)


@dataclass(frozen=True)
class Ways:
    """Ways between clients and nodes, and between machines by region."""

    clients: Link = Link()
    same_region: Link = Link()
    other_region: Link = Link()


@dataclass(eq=False)
class Machine:
    """One machine.

    :ivar peer_port: port for peers in the settings of this machine alone. Its node
        listens there, and dials its peers there: at their addresses a relay listens.
    :ivar stopped: processes that were sent SIGTERM.
    """

    index: int
    host: str
    server: Server
    region: str
    settings: Path
    peer_port: int
    process: subprocess.Popen | None = None
    stopped: set[subprocess.Popen] = field(default_factory=set)
    ends: list[str] = field(default_factory=list)

    def check_exit(
        self, process: subprocess.Popen, allowed: tuple[int, ...] = ()
    ) -> None:
        """Note the status of a process that ended otherwise than as asked.

        :param allowed: statuses that are no finding, besides 0 after SIGTERM.
        """
        status = process.poll()
        is_asked = status == 0 and process in self.stopped
        if status is not None and not is_asked and status not in allowed:
            self.ends.append(f"EXIT: status {status}")


class Fleet:
    """All machines of one play.

    :param folder: where settings and logs are written.
    :param network: second number of the loopback addresses, one for each fleet.
    :param behaviour: what servers do.
    :param ways: delay and width of the ways.
    :param port: first of ``PORTS`` free ports.
    :param bounds: what each node's process may use.
    """

    def __init__(
        self,
        folder: Path,
        network: int,
        behaviour: Behaviour,
        ways: Ways,
        port: int,
        bounds: NodeBounds,
    ) -> None:
        self.bounds = bounds
        self.folder, self.ways, self.port = folder, ways, port
        self.store = Store()
        self.relays: list[Relay] = []
        self.ways_between: dict[tuple[Machine, Machine], Relay] = {}
        self.machines: list[Machine] = []
        for index, (service, zone, region) in enumerate(PLACES):
            host = f"127.0.{network}.{11 + index}"
            server = Server(
                f"i-{index}", service, host, zone, self.server_port, behaviour
            )
            path = folder / f"{index}.toml"
            peer_port = port + 8 + 2 * index
            self.machines.append(Machine(index, host, server, region, path, peer_port))

    @property
    def server_port(self) -> int:
        """Port of the servers."""
        return self.port

    @property
    def outbound_port(self) -> int:
        """Port at which nodes take requests."""
        return self.port + 1

    @property
    def client_port(self) -> int:
        """Port at which clients reach their node, behind a relay."""
        return self.port + 4

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until all nodes are ready."""
        self.store_address = await self.store.start("127.0.0.1")
        self.store.put("op/config", configuration)
        for machine in self.machines:
            await machine.server.start()
            self.register(machine)
        await self.start_relays()
        for machine in self.machines:
            self.start_node(machine)
        for machine in self.machines:
            await self.wait_until_ready(machine)

    async def start_relays(self) -> None:
        first = self.machines[0]
        target = (first.host, self.outbound_port)
        self.relays.append(
            Relay(first.host, self.client_port, target, self.ways.clients)
        )
        for source in self.machines:
            for other in self.machines:
                if other is source:
                    continue
                is_near = source.region == other.region
                link = self.ways.same_region if is_near else self.ways.other_region
                target = (other.host, other.peer_port)
                relay = Relay(other.host, source.peer_port, target, link)
                self.relays.append(relay)
                self.ways_between[source, other] = relay
        for relay in self.relays:
            await relay.start()

    def register(self, machine: Machine, state: str = "ready") -> None:
        """Write the entry of a machine's server."""
        server = machine.server
        self.store.put(f"servers/{server.identity}", server.build_entry(state))

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine."""
        self.write_settings(machine)
        self.start_process(machine)

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file of a machine."""
        regions = {zone: region for _, zone, region in PLACES}
        zones = "\n".join(f'{zone} = "{name}"' for zone, name in regions.items())
        machine.settings.write_text(
            SETTINGS.format(
                host=machine.host,
                zone=machine.server.zone,
                region=machine.region,
                service=machine.server.service,
                server_port=self.server_port,
                inbound_port=self.port + 2,
                outbound_port=self.outbound_port,
                ready_port=self.port + 3,
                peer_port=machine.peer_port,
                peer_port_end=machine.peer_port + 1,
                store=self.store_address,
                grace_s=GRACE_S,
                zones=zones,
            )
        )

    def start_process(self, machine: Machine) -> None:
        """Start the process of a machine's node."""
        log = self.folder / f"{machine.index}.log"
        machine.process = start_node(machine.settings, log)
        self.bounds.apply(machine.process.pid)

    async def wait_until_ready(self, machine: Machine) -> None:
        """Wait until a node is ready.

        :raises RuntimeError: when it is not in time.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)
                return
        raise RuntimeError(f"the node at {machine.host} did not start")

    def change_settings(self, machine: Machine, memory_mb: int) -> None:
        """Change the settings file of a machine."""
        text = machine.settings.read_text()
        new = re.sub("memory-mb = .*", f"memory-mb = {memory_mb}", text)
        machine.settings.write_text(new)

    async def restart(self, machine: Machine) -> None:
        """Start the node of a machine, with the settings file as it is."""
        self.start_process(machine)
        if machine is self.machines[0]:
            self.relays[0].listener.close()
            await self.relays[0].start()

    async def check_restart(self, machine: Machine) -> None:
        """Note when a node that was started again is not ready in time."""
        try:
            async with asyncio.timeout(RESTART_TIMEOUT_S):
                await self.wait_until_ready(machine)
        except TimeoutError:
            status = machine.process.poll()
            machine.ends.append(
                f"START: not ready {RESTART_TIMEOUT_S:g} s later, status {status}"
            )

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a node as the platform does."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    machine.host, self.port + 3
                )
                head = {"Host": "ready", "Connection": "close"}
                writer.write(build_head("GET /v1/readiness HTTP/1.1", head))
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, EOFError):
            return False
        return answer is not None and answer.status == 200

    async def stop_node(
        self,
        machine: Machine,
        again_s: list[float],
        allowed: tuple[int, ...] = (),
    ) -> None:
        """Send SIGTERM, and SIGKILL after the grace time.

        :param again_s: seconds after which SIGTERM is sent again.
        :param allowed: exit statuses besides 0 that are no finding.
        """
        process, started_at = machine.process, time.monotonic()
        if process.poll() is None:
            machine.stopped.add(process)
            process.send_signal(signal.SIGTERM)
        again_s = sorted(again_s)
        while process.poll() is None and time.monotonic() - started_at < GRACE_S:
            if again_s and time.monotonic() - started_at >= again_s[0]:
                again_s.pop(0)
                process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.002)
        if machine is self.machines[0] and machine.process is process:
            # Clients are refused then, as they are without a relay.
            self.relays[0].listener.close()
        if process.poll() is None:
            machine.ends.append("STAY: killed at the end of the grace time")
            process.kill()
            process.wait()
        else:
            machine.check_exit(process, allowed)

    async def end(self) -> None:
        """End all processes, servers and relays."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
            with contextlib.suppress(AttributeError):
                machine.server.end()
        for relay in self.relays:
            with contextlib.suppress(AttributeError):
                relay.end()
        self.store.end()
        await asyncio.sleep(END_S)


def find_port_block(first: int, hosts: list[str]) -> int:
    """Return the first of ``PORTS`` ports that are free on all hosts.

    :param first: where the search begins.
    :raises RuntimeError: when there are none.
    """
    for port in range(first, END_PORT, PORTS):
        try:
            for host in hosts:
                for number in range(port, port + PORTS):
                    with socket.socket() as probe:
                        probe.bind((host, number))
        except OSError:
            continue
        return port
    raise RuntimeError("no free ports")
