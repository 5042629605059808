"""Stand-in for the platform: policy and list of instances, read-only for nodes.

Operators publish with ``PUT /policy``; ``PUT /instances`` and ``PUT /control``
are for experiments.
"""

from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost_standins.web import json_response, query_of, serve_http, text_response

__all__ = ["Control", "PlatformStandIn", "main"]

MAX_WAIT_S = 60.0
POLL_S = 0.05


class Control(msgspec.Struct, kw_only=True):
    """Faults of the platform.

    :param down: answers 503 to every read.
    :param stale: serves the policy that was in force when this was set.
    :param list_lag_s: seconds until a change of the list is served.
    """

    down: bool = False
    stale: bool = False
    list_lag_s: float = 0.0


class PlatformStandIn:
    """State of the platform."""

    def __init__(self) -> None:
        self.policies: list[tuple[int, str]] = []
        self.stale_policy: tuple[int, str] | None = None
        self.instances: list[dict] = []
        self.lists: list[tuple[float, int, list[dict]]] = []
        self.control = Control()
        self.reads = 0

    def publish(self, text: str) -> int:
        """Publish a policy; returns its version."""
        version = len(self.policies) + 1
        self.policies.append((version, text))
        return version

    def publish_list(self, instances: list[dict]) -> None:
        """Publish a list of instances."""
        version = self.lists[-1][1] + 1 if self.lists else 1
        self.lists.append((trio.current_time(), version, instances))

    def policy(self) -> tuple[int, str]:
        """Return the policy that is served now."""
        if self.control.stale and self.stale_policy is not None:
            return self.stale_policy
        return self.policies[-1] if self.policies else (0, "")

    def current_list(self) -> tuple[int, list[dict]]:
        """Return the list that is served now, which lags."""
        until = trio.current_time() - self.control.list_lag_s
        served = (0, [])
        for published, version, instances in self.lists:
            if published <= until:
                served = (version, instances)
        return served

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        path = request.target.partition(b"?")[0].decode()
        if request.method == b"PUT":
            return self.handle_put(path, request.body)
        if path == "/reads":
            return json_response({"reads": self.reads})
        self.reads += 1
        if self.control.down:
            return text_response("the platform is down", 503)
        if path == "/policy":
            version, text = self.policy()
            header = (b"policy-version", str(version).encode())
            return text_response(text, 200, [header])
        if path == "/policy/version":
            await self.wait(request, lambda: self.policy()[0])
            return json_response({"version": self.policy()[0]})
        if path == "/instances":
            await self.wait(request, lambda: self.current_list()[0])
            version, instances = self.current_list()
            return json_response({"version": version, "instances": instances})
        return text_response("unknown path", 404)

    async def wait(self, request: HttpRequest, version) -> None:
        """Hold a watch back until its version is exceeded or its time is over."""
        query = query_of(request)
        after = int(query.get("after", "-1"))
        wait = min(MAX_WAIT_S, float(query.get("wait", "0")))
        with trio.move_on_after(wait):
            while version() <= after and not self.control.down:
                await trio.sleep(POLL_S)

    def handle_put(self, path: str, body: bytes) -> HttpResponse:
        if path == "/policy":
            return json_response({"version": self.publish(body.decode())})
        if path == "/instances":
            self.publish_list(msgspec.json.decode(body))
            return json_response({"version": self.lists[-1][1]})
        if path == "/control":
            self.stale_policy = self.policy()
            self.control = msgspec.json.decode(body, type=Control)
            return json_response({})
        return text_response("unknown path", 404)


app = typer.Typer()


@app.command()
def run(
    host: Annotated[str, typer.Option()] = "127.0.0.1",
    port: Annotated[int, typer.Option()] = 0,
) -> None:
    """Run the platform's stand-in."""
    trio.run(serve_http, PlatformStandIn().handle, host, port)


def main() -> None:
    """Run the command."""
    app()
