"""Processes of a small deployment: platform, backend servers and nodes."""

import contextlib
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from catkinpost_standins.backend import BackendSpec, Faults
from catkinpost_standins.platform import Control
from catkinpost_standins.relay import RelayFaults, RelayPort
from catkinpost_standins.web import get_json, put

__all__ = ["Fleet", "Member", "MemberSpec", "free_port", "open_fleet"]

HOST = "127.0.0.1"
START_TIMEOUT_S = 40.0
POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
FIRST_PORT = 12_000
LAST_PORT = 30_000
PORTS = itertools.cycle(
    range(random.SystemRandom().randint(FIRST_PORT, LAST_PORT - 5000), LAST_PORT)
)
SECRET = "stand-in-secret-stand-in"
SETTINGS = """\
[node]
instance = {name}
service = {service}
data_centre = {data_centre}
region = {region}

[listen]
calls = {host}:{calls}
peers = {host}:{peers}
operators = {host}:{operators}

[backend]
address = {host}:{backend}

[platform]
address = {host}:{platform}
watch_wait = 5

[peers]
secret = {secret}
start_wait = {start_wait}

[bounds]
key_lifetime = {key_lifetime}
"""


def free_port() -> int:
    """Return a TCP port that is free now.

    Ports come from below the range that outgoing connections use, so that none
    of them takes a port before its process does.
    """
    while True:
        port = next(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


@dataclass(frozen=True, kw_only=True)
class MemberSpec:
    """One backend server with its node."""

    name: str
    service: str
    data_centre: str
    region: str
    backend: BackendSpec


@dataclass(eq=False)
class Member:
    """Running backend server and node."""

    spec: MemberSpec
    calls: int = field(default_factory=free_port)
    peers: int = field(default_factory=free_port)
    operators: int = field(default_factory=free_port)
    backend: int = field(default_factory=free_port)
    peers_relay: int = field(default_factory=free_port)
    backend_relay: int = field(default_factory=free_port)
    relayed: bool = False
    state: str = "live"
    node_process: subprocess.Popen | None = None
    backend_process: subprocess.Popen | None = None

    def relay_ports(self) -> list[RelayPort]:
        """Return the relayed ports in front of node and backend server."""
        name = self.spec.name
        return [
            RelayPort(name=f"{name}/peers", port=self.peers_relay, target=self.peers),
            RelayPort(
                name=f"{name}/backend", port=self.backend_relay, target=self.backend
            ),
        ]

    def entry(self) -> dict:
        """Return the member's entry on the list of instances."""
        return {
            "instance": self.spec.name,
            "service": self.spec.service,
            "data_centre": self.spec.data_centre,
            "region": self.spec.region,
            "calls": f"{HOST}:{self.calls}",
            "peers": f"{HOST}:{self.peers_relay if self.relayed else self.peers}",
            "operators": f"{HOST}:{self.operators}",
            "state": self.state,
        }


class Fleet:
    """All processes of one deployment.

    :param specs: backend servers to run.
    :param policy: first policy document.
    :param folder: where settings and logs are written.
    :param with_nodes: whether nodes run beside the backend servers.
    """

    def __init__(
        self,
        specs: list[MemberSpec],
        policy: str,
        folder: Path,
        *,
        with_nodes: bool = True,
        start_wait: float = 1.0,
        key_lifetime: float = 120.0,
        with_relay: bool = False,
    ) -> None:
        self.members = {spec.name: Member(spec, relayed=with_relay) for spec in specs}
        self.relay = free_port() if with_relay else None
        self.policy = policy
        self.folder = folder
        self.with_nodes = with_nodes
        self.start_wait = start_wait
        self.key_lifetime = key_lifetime
        self.platform = free_port()
        self.processes: list[subprocess.Popen] = []
        self.restarts = 0

    def spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        """Start one process; its output goes to a log file."""
        code = f"from {module} import main; main()"
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-c", code, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.processes.append(process)
        return process

    async def start(self) -> None:
        """Start everything and wait until every node is ready."""
        self.spawn(
            "platform", "catkinpost_standins.platform", "--port", str(self.platform)
        )
        await self.wait_for(lambda: get_json(HOST, self.platform, "/reads"))
        if self.relay is not None:
            self.start_relay()
        await self.publish(self.policy)
        await self.publish_list()
        for member in self.members.values():
            self.start_backend(member)
            if self.with_nodes:
                self.start_node(member)
        for member in self.members.values():
            await self.wait_for(lambda m=member: get_json(HOST, m.backend, "/health"))
            if self.with_nodes:
                await self.wait_ready(member)

    def start_relay(self) -> None:
        """Start the relay in front of all members."""
        ports = [
            port for member in self.members.values() for port in member.relay_ports()
        ]
        path = self.folder / "relay.json"
        path.write_bytes(msgspec.json.encode(ports))
        self.spawn(
            "relay",
            "catkinpost_standins.relay",
            str(path),
            "--control",
            str(self.relay),
        )

    async def set_relay(self, faults: RelayFaults) -> None:
        """Set the relay's faults."""
        await put(HOST, self.relay, "/", msgspec.json.encode(faults))

    def start_backend(self, member: Member) -> None:
        """Start a member's backend server."""
        spec = member.spec.backend
        spec.node_host = HOST
        spec.node_port = member.calls
        path = self.folder / f"{member.spec.name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        member.backend_process = self.spawn(
            f"{member.spec.name}-backend",
            "catkinpost_standins.backend",
            str(path),
            "--port",
            str(member.backend),
        )

    def start_node(self, member: Member) -> None:
        """Start a member's node."""
        spec = member.spec
        path = self.folder / f"{spec.name}.ini"
        path.write_text(
            SETTINGS.format(
                name=spec.name,
                service=spec.service,
                data_centre=spec.data_centre,
                region=spec.region,
                host=HOST,
                calls=member.calls,
                peers=member.peers,
                operators=member.operators,
                backend=member.backend_relay if member.relayed else member.backend,
                platform=self.platform,
                secret=SECRET,
                start_wait=self.start_wait,
                key_lifetime=self.key_lifetime,
            )
        )
        member.node_process = self.spawn(
            f"{spec.name}-node", "catkinpost.command.node", str(path)
        )

    async def wait_ready(self, member: Member) -> None:
        """Wait until a member's node knows the policy in force."""

        async def ready():
            status = await self.status(member)
            return status is not None and status["ready"]

        await self.wait_for(ready)

    async def status(self, member: Member) -> dict | None:
        """Return the status of a member's node."""
        return await get_json(HOST, member.operators, "/status")

    async def wait_for(self, condition, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until an asynchronous condition holds."""
        with trio.move_on_after(timeout):
            while not await condition():
                await trio.sleep(POLL_S)
            return
        raise RuntimeError(f"the deployment did not start:\n{self.last_lines()}")

    def last_lines(self) -> str:
        """Return the end of each log, for a deployment that does not start."""
        parts = []
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-3:]
            parts.append("\n".join([path.name, *lines]))
        return "\n".join(parts)

    async def publish(self, policy: str) -> None:
        """Publish a policy document."""
        await put(HOST, self.platform, "/policy", policy.encode())

    async def publish_list(self) -> None:
        """Publish the list of instances as it is."""
        entries = [member.entry() for member in self.members.values()]
        await put(HOST, self.platform, "/instances", msgspec.json.encode(entries))

    async def set_platform(self, control: Control) -> None:
        """Set the platform's faults."""
        await put(HOST, self.platform, "/control", msgspec.json.encode(control))

    async def set_faults(self, member: Member, faults: Faults) -> None:
        """Set a backend server's faults."""
        await put(HOST, member.backend, "/control", msgspec.json.encode(faults))

    def of_service(self, service: str) -> list[Member]:
        """Return the members of one service."""
        return [
            member for member in self.members.values() if member.spec.service == service
        ]

    async def journals(self) -> dict[str, dict]:
        """Return what each reachable backend server has run."""
        found = {}
        for name, member in self.members.items():
            journal = await get_json(HOST, member.backend, "/journal")
            if journal is not None:
                found[name] = journal
        return found

    def stop(self) -> None:
        """End every process that this fleet has started."""
        for process in self.processes:
            if process.poll() is None:
                # A stopped process handles no signal until it goes on.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(STOP_TIMEOUT_S)


@contextlib.asynccontextmanager
async def open_fleet(
    specs: list[MemberSpec], policy: str, **options
) -> AsyncIterator[Fleet]:
    """Run a deployment for the time of a ``with`` block."""
    with tempfile.TemporaryDirectory(prefix="catkinpost-") as folder:
        fleet = Fleet(specs, policy, Path(folder), **options)
        try:
            await fleet.start()
            yield fleet
        finally:
            fleet.stop()
