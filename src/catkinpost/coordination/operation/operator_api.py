"""HTTP interface for operators: status, decisions, histograms and metrics."""

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from urllib.parse import parse_qs

import msgspec
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

from catkinpost.protocol.report import HistogramReport, LatencyRow, StatusReport
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.metric import Metrics
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.acceptor import Acceptor, CallerGate, keep_all
from catkinpost.transport.http_connection import RECEIVE_BUFFER_BYTES

__all__ = ["OperatorApi", "render_metrics"]

MAX_WAIT_S = 30.0
# Requests that wait hold their heads, which may be large. Others are answered at once.
MAX_WAITING_REQUESTS = 16
# Requests of operators and of metric collectors are small.
MAX_UNFINISHED_HEAD_BYTES = 4096
MAX_CONNECTIONS = 64
MAX_STALL_MS = 10_000
# Idle connections and heads that are not whole keep others waiting.
MAX_IDLE_S = 2.0
JSON_TYPE = b"application/json"
TEXT_TYPE = b"text/plain; charset=utf-8"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class OperatorApi:
    """Read-only ASGI application for operators.

    :param build_status: builds the current status.
    :param decisions: log of automatic decisions.
    :param metrics: counters and histograms.
    :param store: policy in force.
    """

    def __init__(
        self,
        *,
        build_status: Callable[[], StatusReport],
        decisions: DecisionLog,
        metrics: Metrics,
        store: PolicyStore,
    ) -> None:
        self.build_status = build_status
        self.decisions = decisions
        self.metrics = metrics
        self.store = store
        self.waiting = 0
        self.connections = 0
        self.routes: dict[str, Callable[[dict], Awaitable[tuple[bytes, bytes]]]] = {
            "/status": self.get_status,
            "/decisions": self.get_decisions,
            "/histogram": self.get_histogram,
            "/metrics": self.get_metrics,
            "/policy": self.get_policy,
        }

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] != "http":
            return
        route = self.routes.get(scope["path"])
        if route is None or scope["method"] not in ("GET", "HEAD"):
            status = 404 if route is None else 405
            await send_response(send, status, TEXT_TYPE, b"see " + self.format_paths())
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        try:
            content_type, body = await route(query)
        except ValueError as error:
            await send_response(send, 400, TEXT_TYPE, str(error).encode())
            return
        await send_response(send, 200, content_type, body)

    def format_paths(self) -> bytes:
        return ", ".join(sorted(self.routes)).encode()

    async def get_status(self, query: dict) -> tuple[bytes, bytes]:
        return JSON_TYPE, msgspec.json.encode(self.build_status())

    async def get_decisions(self, query: dict) -> tuple[bytes, bytes]:
        after = int(query.get("after", ["0"])[0])
        wait = min(MAX_WAIT_S, max(0.0, float(query.get("wait", ["0"])[0])))
        if self.waiting >= MAX_WAITING_REQUESTS:
            wait = 0.0
        self.waiting += 1
        try:
            found = await self.decisions.wait_for_decisions_after(after, wait)
        finally:
            self.waiting -= 1
        return JSON_TYPE, msgspec.json.encode(found)

    async def get_histogram(self, query: dict) -> tuple[bytes, bytes]:
        return JSON_TYPE, msgspec.json.encode(build_histogram(self.metrics))

    async def get_metrics(self, query: dict) -> tuple[bytes, bytes]:
        return METRICS_TYPE, render_metrics(self.metrics, self.build_status())

    async def get_policy(self, query: dict) -> tuple[bytes, bytes]:
        return TEXT_TYPE, self.store.format_document().encode()

    async def serve(self, address: Address) -> None:
        """Serve until cancelled.

        Others wait while there are as many connections as there may be; the library
        closes idle ones.

        :param address: address to listen on.
        """
        config = Config()
        config.accesslog = None
        config.errorlog = None
        config.keep_alive_timeout = MAX_IDLE_S
        config.h11_max_incomplete_size = MAX_UNFINISHED_HEAD_BYTES
        acceptor = Acceptor(receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        acceptor.gate = CallerGate(
            count_connections=lambda: self.connections,
            make_room=keep_all,
            reserved_descriptors=0,
            max_connections=MAX_CONNECTIONS,
        )
        async with trio.open_nursery() as nursery:
            serve = partial(self.serve_connection, config)
            await acceptor.listen(address, serve, nursery)

    async def serve_connection(self, config: Config, stream: trio.SocketStream) -> None:
        """Serve one connection until either side closes it."""
        # The library waits for ever to send to a caller that reads nothing.
        if sys.platform == "linux":
            stream.socket.setsockopt(
                trio.socket.IPPROTO_TCP, trio.socket.TCP_USER_TIMEOUT, MAX_STALL_MS
            )
        self.connections += 1
        try:
            app, context = ASGIWrapper(self), WorkerContext(None)
            await TCPServer(app, config, context, ConnectionState({}), stream).run()
        finally:
            self.connections -= 1


async def send_response(send, status: int, content_type: bytes, body: bytes) -> None:
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    start = {"type": "http.response.start", "status": status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": body})


def build_histogram(metrics: Metrics) -> HistogramReport:
    """Build the report of all latency histograms."""
    latencies = [
        LatencyRow(
            service=item.key.service,
            request_class=item.key.call_class,
            tenant=item.key.tenant,
            count=item.count,
            mean_ms=round(item.mean_ms, 3),
            max_ms=item.max_ms,
            percentiles_ms=item.percentiles_ms,
        )
        for item in metrics.build_summaries()
    ]
    return HistogramReport(latencies=latencies)


def render_metrics(metrics: Metrics, status: StatusReport) -> bytes:
    """Render all metrics in the Prometheus text format.

    :param metrics: counters and histograms.
    :param status: current status, which supplies the gauges.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics, status))
    return generate_latest(registry)


class MetricsCollector:
    """Prometheus collector over the node's metrics."""

    LABELS = ("service", "class", "tenant")

    def __init__(self, metrics: Metrics, status: StatusReport) -> None:
        self.metrics = metrics
        self.status = status

    def collect(self):
        """Yield all metric families."""
        calls = CounterMetricFamily(
            "catkinpost_calls",
            "Calls by outcome and reason.",
            labels=[*self.LABELS, "outcome", "reason"],
        )
        latency = SummaryMetricFamily(
            "catkinpost_latency_seconds",
            "Time to the complete answer.",
            labels=self.LABELS,
        )
        quantiles = GaugeMetricFamily(
            "catkinpost_latency_quantile_seconds",
            "Quantiles of the time to the complete answer.",
            labels=[*self.LABELS, "quantile"],
        )
        for key, series in self.metrics.series.items():
            labels = [key.service, key.call_class, key.tenant]
            for (outcome, reason), count in series.outcomes.items():
                calls.add_metric([*labels, outcome, reason], count)
        for item in self.metrics.build_summaries():
            labels = [item.key.service, item.key.call_class, item.key.tenant]
            total = item.mean_ms * item.count / 1000
            latency.add_metric(labels, item.count, total)
            for name, value in item.percentiles_ms.items():
                quantile = f"{float(name[1:]) / 100:g}"
                quantiles.add_metric([*labels, quantile], value / 1000)
        yield calls
        yield latency
        yield quantiles
        yield from self.collect_gauges()

    def collect_workspaces(self):
        """Yield the requests of workspaces, and the credit of the shares kept here."""
        requests = CounterMetricFamily(
            "catkinpost_workspace_requests",
            "Requests of workspaces by what happened to them.",
            labels=["workspace", "event"],
        )
        credit = GaugeMetricFamily(
            "catkinpost_workspace_credit",
            "Requests that a share of a workspace's limit would give.",
            labels=["workspace", "share"],
        )
        for row in self.status.workspaces:
            for event, count in row.events.items():
                requests.add_metric([row.workspace, event], count)
            for item in row.shares:
                credit.add_metric([row.workspace, str(item.share)], item.credit)
        yield requests
        yield credit

    def collect_gauges(self):
        events = CounterMetricFamily(
            "catkinpost_events", "Other events.", labels=["event"]
        )
        for name, count in self.metrics.counters.items():
            events.add_metric([name], count)
        yield events
        yield from self.collect_workspaces()
        for name, value in (
            ("in_flight", self.status.in_flight),
            ("limit", self.status.limit),
            ("queued", self.status.queued),
            ("request_bytes", self.status.request_bytes),
            ("held_bytes", self.status.held_bytes),
            ("head_bytes", self.status.head_bytes),
            ("answer_bytes", self.status.answer_bytes),
            ("policy_version", self.status.policy.version),
        ):
            family = GaugeMetricFamily(f"catkinpost_{name}", f"Current {name}.")
            family.add_metric([], value)
            yield family
