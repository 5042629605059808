"""Machines of a small deployment on the users' platform, each with a real node.

Store and servers run in this process, nodes as processes of their own. A machine is
an address of the loopback range; ports are the same on all of them.
"""

import contextlib
import json
import signal
import subprocess
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import trio

from catkinpost.platform.names import CONFIG_KEY, READINESS_PATH, SERVERS_PREFIX
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.fleet import free_port
from catkinpost_standins.launch import catches, start_node
from catkinpost_standins.users_platform.server import StandInServer
from catkinpost_standins.users_platform.store import StandInStore

__all__ = ["Machine", "PlatformFleet", "open_platform_fleet"]

FIRST_HOST = 21
START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
PROBE_TIMEOUT_S = 5.0
DEFAULT_MEMORY_MB = 300
SETTINGS = """\
[self]
node-name = "sidecar-{host}"
ip-address = "{host}"
zone = "{zone}"
region = "{region}"
application-address = "{host}:{server_port}"
service = "{service}"

[self.limits]
memory-mb = {memory_mb}

[network]
internal-port-range = [{peer_port}, {peer_port_end}]

[network.listen-addresses]
inbound = "{host}:{inbound_port}"
outbound = "{host}:{outbound_port}"
ready = "{host}:{ready_port}"

[network.zones]
{zones}

[platform.platform]
address = "{host}:{store_port}"

[terms.bounds]
grace-period-s = 6
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra-retries = 49
revoke-when-partitioned = true
revocation-s = 5
"""


@dataclass(eq=False)
class Machine:
    """One machine: its server, and its node's process.

    :param host: IP address.
    :param zone: data centre.
    :param server: its server.
    :param callers: connections to its node, as clients and its server use them.
    :param memory_mb: memory of its node, in MB.
    :ivar log_start: length of the log at the start of its process, in bytes.
    """

    host: str
    zone: str
    server: StandInServer
    callers: BackendClient
    process: subprocess.Popen | None = None
    memory_mb: int = DEFAULT_MEMORY_MB
    log_start: int = 0


class PlatformFleet:
    """Store, servers and nodes.

    :param services: service of each machine, in order.
    :param zones: region of each data centre; machines take them in turn.
    :param folder: where settings and logs are written.
    """

    def __init__(
        self, services: list[str], zones: dict[str, str], folder: Path
    ) -> None:
        self.zones = zones
        self.folder = folder
        self.store = StandInStore()
        self.server_port = free_port()
        self.outbound_port = free_port()
        self.ready_port = free_port()
        self.peer_port = free_port()
        self.machines = [
            self.build_machine(index, service) for index, service in enumerate(services)
        ]

    def build_machine(self, index: int, service: str) -> Machine:
        host = f"127.0.0.{FIRST_HOST + index}"
        zone = list(self.zones)[index % len(self.zones)]
        callers = BackendClient(host, self.outbound_port, limits=HttpLimits())
        server = StandInServer(f"i-{index}", service, outbound=lambda: callers)
        return Machine(host=host, zone=zone, server=server, callers=callers)

    def of_service(self, service: str) -> list[Machine]:
        """Return the machines of one service."""
        return [item for item in self.machines if item.server.service == service]

    async def start(self, nursery: trio.Nursery, configuration: dict) -> None:
        """Start everything and wait until every node is ready."""
        await self.store.start(nursery, [machine.host for machine in self.machines])
        nursery.start_soon(self.store.server.watch_connections)
        self.configure(configuration)
        for machine in self.machines:
            await machine.server.serve(nursery, machine.host, self.server_port)
            self.register(machine)
            self.start_node(machine)
        for machine in self.machines:
            await self.wait_ready(machine)

    def configure(self, configuration: dict) -> None:
        """Publish a configuration."""
        self.store.put(CONFIG_KEY, json.dumps(configuration).encode())

    def register(self, machine: Machine, state: str = "ready") -> None:
        """Publish the entry of a machine's server."""
        server = machine.server
        entry = {
            "service": server.service,
            "address": f"{machine.host}:{self.server_port}",
            "zone": machine.zone,
            "version": "v1",
            "slots": server.slots,
            "state": state,
            "cold-remaining-s": 0,
            "sequence": 1,
            "born": 1000,
        }
        self.store.put(SERVERS_PREFIX + server.instance, json.dumps(entry).encode())

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine."""
        path = self.write_settings(machine)
        log = self.log_path(machine)
        machine.log_start = log.stat().st_size if log.exists() else 0
        machine.process = start_node(path, log)

    def write_settings(self, machine: Machine) -> Path:
        """Write the settings file of a machine's node, which is never half there."""
        path = self.folder / f"{machine.host}.toml"
        zones = "\n".join(f'{zone} = "{name}"' for zone, name in self.zones.items())
        new = path.with_suffix(".new")
        new.write_text(
            SETTINGS.format(
                host=machine.host,
                zone=machine.zone,
                region=self.zones[machine.zone],
                service=machine.server.service,
                memory_mb=machine.memory_mb,
                server_port=self.server_port,
                outbound_port=self.outbound_port,
                inbound_port=self.outbound_port + 1,
                ready_port=self.ready_port,
                peer_port=self.peer_port,
                peer_port_end=self.peer_port + 15,
                store_port=self.store.port,
                zones=zones,
            )
        )
        new.replace(path)
        return path

    def log_path(self, machine: Machine) -> Path:
        """Return the file that holds the log of a machine's node."""
        return self.folder / f"{machine.host}.log"

    def has_interpreter(self, machine: Machine) -> bool:
        """Whether the interpreter of a node's process has been set up."""
        return catches(machine.process, signal.SIGINT)

    def read_log(self, machine: Machine) -> bytes:
        """Return what the last process of a machine's node has logged."""
        return self.log_path(machine).read_bytes()[machine.log_start :]

    async def wait_ready(self, machine: Machine) -> None:
        """Wait until a node says that it is ready, or its process ends."""
        process = machine.process
        probe = BackendClient(machine.host, self.ready_port, limits=HttpLimits())
        request = HttpRequest(b"GET", READINESS_PATH, [(b"host", b"ready")])
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                answer = await probe.send_request(request)
                if isinstance(answer, HttpResponse) and answer.status == 200:
                    probe.close_idle_connections()
                    return
                if process is None or process.poll() is not None:
                    return
                await trio.sleep(POLL_S)
        log = self.log_path(machine).read_text(errors="replace")
        raise RuntimeError(f"the node at {machine.host} did not start:\n{log}")

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a node once whether it is ready, as the platform does."""
        probe = BackendClient(machine.host, self.ready_port, limits=HttpLimits())
        request = HttpRequest(b"GET", READINESS_PATH, [(b"host", b"ready")])
        answer: HttpResponse | Failure | None = None
        with trio.move_on_after(PROBE_TIMEOUT_S):
            answer = await probe.send_request(request)
        probe.close_idle_connections()
        return isinstance(answer, HttpResponse) and answer.status == 200

    async def call(
        self, machine: Machine, request: HttpRequest
    ) -> HttpResponse | Failure:
        """Send a request to a machine's node, as its clients do."""
        return await machine.callers.send_request(request)

    def stop(self) -> None:
        """End the nodes that this fleet has started."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait(STOP_TIMEOUT_S)


@contextlib.asynccontextmanager
async def open_platform_fleet(
    services: list[str],
    zones: dict[str, str],
    configuration: dict,
    *,
    memory_mb: int = DEFAULT_MEMORY_MB,
) -> AsyncIterator[PlatformFleet]:
    """Run a deployment for the time of a ``with`` block.

    :param services: service of each machine.
    :param zones: region of each data centre.
    :param configuration: first configuration of the operator.
    :param memory_mb: memory of each machine, in MB.
    """
    with tempfile.TemporaryDirectory(prefix="catkinpost-") as folder:
        fleet = PlatformFleet(services, zones, Path(folder))
        for machine in fleet.machines:
            machine.memory_mb = memory_mb
        async with trio.open_nursery() as nursery:
            try:
                await fleet.start(nursery, configuration)
                yield fleet
            finally:
                fleet.stop()
                nursery.cancel_scope.cancel()
