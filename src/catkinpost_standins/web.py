"""Small HTTP helpers that the stand-ins share."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import msgspec
import trio

from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient
from catkinpost.transport.http_server import HttpServer

__all__ = [
    "get_json",
    "json_response",
    "put",
    "query_of",
    "serve_http",
    "text_response",
]

LIMITS = HttpLimits(max_body_bytes=4 * 1024 * 1024)


def json_response(value, status: int = 200) -> HttpResponse:
    """Build a JSON answer."""
    headers = [(b"content-type", b"application/json")]
    return HttpResponse(status, headers, msgspec.json.encode(value))


def text_response(text: str, status: int = 200, headers=()) -> HttpResponse:
    """Build a text answer."""
    return HttpResponse(
        status, [(b"content-type", b"text/plain"), *headers], text.encode()
    )


def query_of(request: HttpRequest) -> dict[str, str]:
    """Return the first value of each query parameter."""
    _, _, query = request.target.decode("latin-1").partition("?")
    return {name: values[0] for name, values in parse_qs(query).items()}


async def serve_http(
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]], host: str, port: int
) -> None:
    """Serve requests until cancelled."""
    server = HttpServer(handler, limits=LIMITS, report_failure=ignore)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.watch_connections)
        await trio.serve_tcp(server.serve_connection, port, host=host)


def ignore(failure: Failure) -> None:
    """Drop the report of a bad request."""


async def send(
    host: str, port: int, method: bytes, target: str, body: bytes = b""
) -> HttpResponse | Failure:
    """Send one request over a connection of its own."""
    client = BackendClient(host, port, limits=LIMITS)
    request = HttpRequest(method, target.encode(), [(b"host", b"stand-in")], body)
    try:
        return await client.send_request(request)
    finally:
        client.close_idle_connections()


async def get_json(host: str, port: int, target: str):
    """Read a JSON document; ``None`` when it cannot be had."""
    answer = await send(host, port, b"GET", target)
    if isinstance(answer, Failure) or answer.status != 200:
        return None
    return msgspec.json.decode(answer.body)


async def put(host: str, port: int, target: str, body: bytes) -> bool:
    """Write a document to a stand-in; tells whether it was taken."""
    answer = await send(host, port, b"PUT", target, body)
    return isinstance(answer, HttpResponse) and answer.status == 200
