"""Stand-in for a backend server: slots, service times, child calls and faults."""

import os
import random
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.protocol.header import (
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    PARENT_HEADER,
)
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.web import json_response, serve_http, text_response

__all__ = ["BackendSpec", "BackendStandIn", "Child", "Faults", "Route", "main"]

CRASH_EXIT_STATUS = 66
JOURNAL_HEADER = b"stand-in-run"


class Child(msgspec.Struct, kw_only=True):
    """Child call that a route makes, one after the other."""

    service: str
    method: str = "GET"
    path: str


class Route(msgspec.Struct, kw_only=True):
    """Treatment of the requests under one method and path prefix.

    :param mean_ms: mean service time.
    :param spread: 0 for constant times, 1 for exponential ones.
    :param children: child calls.
    :param answer_bytes: size of the answer's body.
    """

    method: str = "GET"
    path: str
    mean_ms: float
    spread: float = 0.2
    children: list[Child] = []
    answer_bytes: int = 200


class BackendSpec(msgspec.Struct, kw_only=True):
    """What a backend server does.

    :param service: its service.
    :param slots: requests that it works on at once.
    :param backlog: requests that wait for a slot before it sheds.
    :param routes: routes, the longest prefix wins.
    :param node_host: IP of the node beside it, for child calls.
    :param node_port: port of that node.
    :param cold_start_s: seconds in which it is slower after its start.
    :param load_lag_s: age of the load that it reports.
    """

    service: str
    slots: int
    backlog: int = 1000
    routes: list[Route]
    node_host: str = ""
    node_port: int = 0
    cold_start_s: float = 0.0
    load_lag_s: float = 1.0


class Faults(msgspec.Struct, kw_only=True):
    """Faults that an experiment sets.

    :param slow_factor: service times are multiplied by it.
    :param frozen: no request makes progress.
    :param draining: says on its health endpoint that it drains.
    :param crash_path: a request under this path ends the process.
    :param reported_in_flight: lie on the load endpoint.
    """

    slow_factor: float = 1.0
    frozen: bool = False
    draining: bool = False
    crash_path: str = ""
    reported_in_flight: int | None = None


class BackendStandIn:
    """State of one backend server.

    :param spec: what it does.
    """

    def __init__(self, spec: BackendSpec) -> None:
        self.spec = spec
        self.faults = Faults()
        self.limiter = trio.CapacityLimiter(spec.slots)
        self.started = trio.current_time()
        self.runs_by_key: dict[str, int] = {}
        self.runs = 0
        self.cancelled = 0
        self.reports: list[tuple[float, int]] = []
        self.client = BackendClient(spec.node_host, spec.node_port, limits=HttpLimits())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == "/health":
            state = "draining" if self.faults.draining else "serving"
            return json_response({"state": state})
        if path == "/load":
            return json_response(self.load())
        if path == "/journal":
            return json_response(
                {
                    "runs": self.runs,
                    "cancelled": self.cancelled,
                    "runs_by_key": self.runs_by_key,
                }
            )
        if path == "/control" and request.method == b"PUT":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            return json_response({})
        return await self.work(request, path)

    def load(self) -> dict:
        now = trio.current_time()
        self.reports.append((now, self.limiter.borrowed_tokens))
        lagging = [
            item for item in self.reports if item[0] <= now - self.spec.load_lag_s
        ]
        self.reports = self.reports[-100:]
        told = self.faults.reported_in_flight
        if told is None:
            told = lagging[-1][1] if lagging else 0
        return {"in_flight": told, "slots": self.spec.slots}

    def find_route(self, method: str, path: str) -> Route | None:
        found = [
            route
            for route in self.spec.routes
            if route.method == method and path.startswith(route.path)
        ]
        return max(found, key=lambda route: len(route.path), default=None)

    async def work(self, request: HttpRequest, path: str) -> HttpResponse:
        route = self.find_route(request.method.decode("latin-1"), path)
        if route is None:
            return text_response("unknown path", 404)
        if self.limiter.statistics().tasks_waiting >= self.spec.backlog:
            return text_response("shed", 503, [(OUTCOME_HEADER, b"not-run")])
        try:
            async with self.limiter:
                self.note_run(request, path)
                await self.serve(route)
                failed = await self.call_children(route, request)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        if failed is not None:
            return failed
        body = (path.encode("latin-1") + b" ") * (route.answer_bytes // (len(path) + 1))
        headers = [(JOURNAL_HEADER, str(self.runs).encode())]
        parent = find_header(request.headers, PARENT_HEADER)
        if parent is not None:
            headers.append((PARENT_HEADER, parent))
        return HttpResponse(200, headers, body or path.encode("latin-1"))

    def note_run(self, request: HttpRequest, path: str) -> None:
        if self.faults.crash_path and path.startswith(self.faults.crash_path):
            os._exit(CRASH_EXIT_STATUS)
        self.runs += 1
        key = find_header(request.headers, IDEMPOTENCY_KEY_HEADER)
        if key is not None:
            name = key.decode("latin-1")
            self.runs_by_key[name] = self.runs_by_key.get(name, 0) + 1

    async def serve(self, route: Route) -> None:
        seconds = route.mean_ms / 1000
        seconds *= 1 - route.spread + route.spread * random.expovariate(1.0)
        age = trio.current_time() - self.started
        if age < self.spec.cold_start_s:
            seconds *= 3 - 2 * age / self.spec.cold_start_s
        await trio.sleep(seconds * self.faults.slow_factor)
        while self.faults.frozen:
            await trio.sleep(0.05)

    async def call_children(
        self, route: Route, request: HttpRequest
    ) -> HttpResponse | None:
        """Make the child calls; a failed one fails the whole request."""
        parent = find_header(request.headers, PARENT_HEADER) or b""
        for child in route.children:
            headers = [(b"host", child.service.encode())]
            if parent:
                headers.append((PARENT_HEADER, parent))
            answer = await self.client.send_request(
                HttpRequest(child.method.encode(), child.path.encode(), headers)
            )
            if isinstance(answer, Failure):
                return text_response(f"child {child.service}: {answer.reason}", 502)
            if answer.status != 200:
                return text_response(f"child {child.service}: {answer.status}", 502)
        return None


async def serve(spec: BackendSpec, host: str, port: int) -> None:
    """Run a backend server until cancelled."""
    await serve_http(BackendStandIn(spec).handle, host, port)


app = typer.Typer()


@app.command()
def run(
    spec_file: Annotated[Path, typer.Argument(help="JSON file with the spec.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
    port: Annotated[int, typer.Option()] = 0,
) -> None:
    """Run a backend server's stand-in."""
    spec = msgspec.json.decode(spec_file.read_bytes(), type=BackendSpec)
    trio.run(serve, spec, host, port)


def main() -> None:
    """Run the command."""
    app()
