"""Baseline for experiments: round robin, fixed time-out, three retries a hop."""

from itertools import count
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.protocol.header import parse_service_name
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.web import serve_http, text_response

__all__ = ["main"]

RETRIES = 3
TIMEOUT_S = 1.0
FIRST_SERVER_ERROR = 500


class PlainProxy:
    """Forwards each request to the service's backend servers in turn.

    :param addresses: ``host:port`` of each backend server, by service.
    """

    def __init__(self, addresses: dict[str, list[str]]) -> None:
        self.clients = {
            service: [make_client(item) for item in items]
            for service, items in addresses.items()
        }
        self.turn = count()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        service = parse_service_name(request)
        clients = self.clients.get(service) if isinstance(service, str) else None
        if clients is None:
            return text_response("unknown service", 404)
        answer = text_response("no answer", 504)
        for _ in range(1 + RETRIES):
            client = clients[next(self.turn) % len(clients)]
            with trio.move_on_after(TIMEOUT_S):
                found = await client.send_request(request)
                if isinstance(found, Failure):
                    answer = text_response(str(found.reason), 502)
                    continue
                answer = found
                if found.status < FIRST_SERVER_ERROR:
                    return found
        return answer


def make_client(address: str) -> BackendClient:
    host, _, port = address.rpartition(":")
    return BackendClient(host, int(port), limits=HttpLimits())


app = typer.Typer()


@app.command()
def run(
    addresses_file: Annotated[Path, typer.Argument(help="JSON file, by service.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
    port: Annotated[int, typer.Option()] = 0,
) -> None:
    """Run the baseline's proxy."""
    addresses = msgspec.json.decode(addresses_file.read_bytes())
    trio.run(serve_http, PlainProxy(addresses).handle, host, port)


def main() -> None:
    """Run the command."""
    app()
