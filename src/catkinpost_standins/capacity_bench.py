"""``catkinpost-capacity-bench``: slopes of state, messages, time and memory.

Each slope is measured at several sizes and fitted by least squares, so that the
figures at the size of two years on can be worked out from it.
"""

import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import LinkSettings, PeerLink
from catkinpost.coordination.peers.peer_server import PeerServer
from catkinpost.protocol.message import Answer, Load, encode_message
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView, parse_instances
from catkinpost.state.key_record import KeyRecordTable
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import NO_VERSION, PolicyStore
from catkinpost_standins.backend import BackendSpec
from catkinpost_standins.fleet import HOST, SECRET, MemberSpec, open_fleet
from catkinpost_standins.path_bench import cpu_of

__all__ = ["main"]

SIZES = (16, 32, 64, 128)
LINK_SECONDS = 20.0
NODE_COUNTS = (2, 6, 10, 14)
NODE_SECONDS = 10.0
SECTION = """\
[class request-class-{number}]
owner = team-{team}
service = service-{service}
match = GET /path/of/some/length/{number}
importance = normal
repeatable = yes
timeout = {timeout}
retries = 2
tenant = tenant-{number}
"""
SERVICES = 98


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """One measured slope.

    :param name: what was measured.
    :param unit: unit of the figures.
    :param sizes: sizes at which it was measured.
    :param values: figure at each size.
    :param slope: growth of the figure for one more of the size.
    :param constant: figure at size zero.
    """

    name: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float
    constant: float


def fit(name: str, unit: str, sizes: list[float], values: list[float]) -> Slope:
    """Fit a line through the figures."""
    slope, constant = statistics.linear_regression(sizes, values)
    return Slope(
        name=name,
        unit=unit,
        sizes=list(sizes),
        values=[round(value, 4) for value in values],
        slope=slope,
        constant=constant,
    )


class Quiet:
    """Receiver of link events that does nothing."""

    def on_link_up(self, link, welcome) -> None:
        """Ignore the event."""

    def on_link_down(self, link, failure) -> None:
        """Ignore the event."""

    def on_link_silent(self, link) -> None:
        """Ignore the event."""

    async def on_session_up(self, session) -> None:
        """Ignore the event."""

    async def on_peer_message(self, sender, message) -> None:
        """Ignore the event."""


async def measure_links(count: int) -> tuple[float, float]:
    """Return processor share and bytes per second of idle links, both ends."""
    settings = LinkSettings()
    pause = PauseWatch(DecisionLog())
    links: list[PeerLink] = []
    server = PeerServer(
        identity=Identity(instance="server", service="x", secret=SECRET.encode()),
        store=PolicyStore(),
        run_call=None,
        events=Quiet(),
        get_load=Load,
        pause=pause,
        settings=settings,
    )
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, server.serve_connection, listeners)
        nursery.start_soon(pause.run)
        port = listeners[0].socket.getsockname()[1]
        for number in range(count):
            link = PeerLink(
                "server",
                Address(HOST, port),
                identity=Identity(
                    instance=f"node-{number}", service="y", secret=SECRET.encode()
                ),
                store=PolicyStore(),
                events=Quiet(),
                pause=pause,
                settings=settings,
                spawn=nursery.start_soon,
            )
            links.append(link)
            nursery.start_soon(link.run)
        while len(server.sessions) < count:
            await trio.sleep(0.05)
        await trio.sleep(1.0)
        cpu = time.process_time()
        sent = carried(links)
        await trio.sleep(LINK_SECONDS)
        cpu = time.process_time() - cpu
        sent = carried(links) - sent
        nursery.cancel_scope.cancel()
    return cpu / LINK_SECONDS * 100, sent / LINK_SECONDS


def carried(links: list[PeerLink]) -> int:
    frames = [link.frames for link in links if link.frames is not None]
    return sum(item.sent_bytes + item.received_bytes for item in frames)


def document(sections: int, timeout: int = 2) -> str:
    """Return a policy document with many class sections."""
    parts = [f"[service service-{n}]\nowner = team-{n % 20}\n" for n in range(SERVICES)]
    parts += [
        SECTION.format(
            number=number,
            team=number % 20,
            service=number % SERVICES,
            timeout=timeout if number == 0 else 2,
        )
        for number in range(sections)
    ]
    return "\n".join(parts)


def timed(function: Callable[[], object]) -> float:
    """Return the processor time of one call in milliseconds."""
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1000


def memory_of(function: Callable[[], object]) -> float:
    """Return the memory that a call's result holds, in KiB."""
    tracemalloc.start()
    kept = function()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held / 1024


class PolicyFigures(msgspec.Struct, frozen=True):
    """Figures of one document."""

    size_kib: float
    first_ms: float
    again_ms: float
    merged_ms: float
    delta_kib: float
    memory_kib: float


def measure_document(sections: int) -> PolicyFigures:
    """Measure reading, changing and exchanging one policy document."""
    text = document(sections)
    changed = document(sections, timeout=3)
    store, peer = PolicyStore(), PolicyStore()
    first = timed(lambda: store.accept_document(1, text, now=0.0, source="bench"))
    peer.merge_content(store.build_content_since(NO_VERSION), now=0.0, source="bench")
    again = timed(lambda: store.accept_document(2, changed, now=0.0, source="bench"))
    content = store.build_content_since(1)
    merged = timed(lambda: peer.merge_content(content, now=0.0, source="bench"))
    return PolicyFigures(
        len(text) / 1024,
        first,
        again,
        merged,
        len(encode_message(content)) / 1024,
        memory_of(lambda: load_store(text)),
    )


def measure_policy() -> list[Slope]:
    """Measure policy documents of several sizes."""
    found = [measure_document(sections) for sections in (250, 500, 1000, 2000, 4000)]
    sizes = [item.size_kib for item in found]
    series = {
        "policy: first reading": ("ms", "first_ms"),
        "policy: one section changed, read": ("ms", "again_ms"),
        "policy: one section changed, from a peer": ("ms", "merged_ms"),
        "policy: difference of one section": ("KiB", "delta_kib"),
        "policy: memory": ("KiB", "memory_kib"),
    }
    return [
        fit(name, f"{unit} per KiB", sizes, [getattr(item, field) for item in found])
        for name, (unit, field) in series.items()
    ]


def load_store(text: str) -> PolicyStore:
    store = PolicyStore()
    store.accept_document(1, text, now=0.0, source="bench")
    return store


def list_body(count: int) -> bytes:
    """Return a list of instances as the platform sends it."""
    instances = [
        {
            "instance": f"service-{number % SERVICES}-{number}",
            "service": f"service-{number % SERVICES}",
            "data_centre": f"region-{number % 3}-{number % 9}",
            "region": f"region-{number % 3}",
            "calls": f"10.0.{number % 250}.{number // 250}:8001",
            "peers": f"10.0.{number % 250}.{number // 250}:8002",
            "operators": f"10.0.{number % 250}.{number // 250}:8003",
            "state": "live",
        }
        for number in range(count)
    ]
    return msgspec.json.encode({"version": 1, "instances": instances})


def take_list(body: bytes) -> InstanceView:
    version, instances, _ = parse_instances(body)
    view = InstanceView()
    view.apply_list(version, instances, 0.0)
    return view


def measure_list() -> list[Slope]:
    """Measure the list of instances."""
    sizes = [64, 128, 256, 512, 1024]
    bodies = [list_body(size) for size in sizes]
    times = [timed(lambda b=body: take_list(b)) for body in bodies]
    memory = [memory_of(lambda b=body: take_list(b)) for body in bodies]
    volumes = [len(body) / 1024 for body in bodies]
    return [
        fit("list: reading", "ms per instance", sizes, times),
        fit("list: size", "KiB per instance", sizes, volumes),
        fit("list: memory", "KiB per instance", sizes, memory),
    ]


async def fill_keys(count: int, answers: bool) -> KeyRecordTable:
    records = KeyRecordTable(120.0)
    for number in range(count):
        key = f"orders/shop/{number:032d}"
        if answers:
            record = records.record_run(key, "orders-1#0123456789abcdef", b"f" * 16)
            records.record_result(record, Answer(1, 200, [], b"x" * 200, 0, Load()))
        else:
            records.record_fence(key, "orders-1#0123456789abcdef")
    return records


def measure_keys() -> list[Slope]:
    """Measure remembered idempotency keys."""
    sizes = [2000, 4000, 8000, 16000]
    fences, runs = [], []
    for size in sizes:
        fences.append(memory_of(lambda n=size: trio.run(fill_keys, n, False)))
        runs.append(memory_of(lambda n=size: trio.run(fill_keys, n, True)))
    return [
        fit("keys: memory of a fence", "KiB per key", sizes, fences),
        fit("keys: memory of a run with its answer", "KiB per key", sizes, runs),
    ]


def fill_metrics(count: int) -> Metrics:
    metrics = Metrics()
    for number in range(count):
        metrics.record_call("s", f"class-{number}", "t", seconds=0.01, failure=None)
    return metrics


def measure_metrics() -> list[Slope]:
    """Measure histograms."""
    sizes = [16, 32, 64, 128]
    memory = [memory_of(lambda n=size: fill_metrics(n)) for size in sizes]
    return [fit("metrics: memory of a series", "KiB per series", sizes, memory)]


async def measure_nodes(count: int) -> tuple[float, float]:
    """Return processor share and memory of one idle node among others."""
    specs = [
        MemberSpec(
            name=f"idle-{number}",
            service="idle",
            data_centre="near-1",
            region="near",
            backend=BackendSpec(service="idle", slots=4, routes=[]),
        )
        for number in range(count)
    ]
    async with open_fleet(specs, "[service idle]\nowner = bench\n") as fleet:
        await trio.sleep(2.0)
        pids = [member.node_process.pid for member in fleet.members.values()]
        before = cpu_of(pids)
        await trio.sleep(NODE_SECONDS)
        share = (cpu_of(pids) - before) / NODE_SECONDS / count * 100
        memory = statistics.mean(resident_mib(pid) for pid in pids)
    return share, memory


def resident_mib(pid: int) -> float:
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def measure_pairs(measure, sizes: tuple[int, ...]) -> tuple[list, list]:
    """Return both figures of an asynchronous measurement at every size."""
    pairs = [trio.run(measure, size) for size in sizes]
    return [first for first, _ in pairs], [second for _, second in pairs]


def measure_processes() -> list[Slope]:
    """Measure whole idle nodes, each linked with all others."""
    shares, memories = measure_pairs(measure_nodes, NODE_COUNTS)
    return [
        fit("node: idle processor share", "% of a core per peer", NODE_COUNTS, shares),
        fit("node: resident memory", "MiB per peer", NODE_COUNTS, memories),
    ]


def measure_all() -> list[Slope]:
    """Measure every slope."""
    cpu, volume = measure_pairs(measure_links, SIZES)
    return [
        fit("links: processor share, both ends", "% of a core per link", SIZES, cpu),
        fit("links: control bytes, idle", "bytes/s per link", SIZES, volume),
        *measure_processes(),
        *measure_policy(),
        *measure_list(),
        *measure_keys(),
        *measure_metrics(),
    ]


app = typer.Typer()


@app.command()
def run(
    json: Annotated[bool, typer.Option(help="Print JSON.")] = False,
) -> None:
    """Measure the slopes from which docs/CAPACITY.md is worked out."""
    slopes = measure_all()
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    if json:
        typer.echo(msgspec.json.encode(slopes).decode())
        return
    for item in slopes:
        values = " ".join(f"{value:g}" for value in item.values)
        typer.echo(
            f"{item.name:44}{item.slope:12.5f} {item.unit}, plus {item.constant:.3f}"
            f"  [{values}]"
        )
    typer.echo(f"peak memory of this command: {peak_kib} KiB")


def main() -> None:
    """Run the command."""
    app()
