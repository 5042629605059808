"""Forwarder on hypercorn and httpcore, to measure them on the call path."""

from typing import Annotated

import httpcore
import hypercorn.config
import hypercorn.trio
import trio
import typer

__all__ = ["main"]

FORWARDED = (b"content-type", b"stand-in-run")


class Forwarder:
    """ASGI application that passes each request on to one address.

    :param target: ``host:port`` of the target.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.pool = httpcore.AsyncConnectionPool(max_connections=100)

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        response = await self.pool.request(
            scope["method"],
            f"http://{self.target}{scope['path']}",
            headers=[pair for pair in scope["headers"] if pair[0] != b"host"],
            content=body,
        )
        headers = [pair for pair in response.headers if pair[0] in FORWARDED]
        headers.append((b"content-length", str(len(response.content)).encode()))
        start = {"type": "http.response.start", "status": response.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": response.content})


async def serve_lifespan(receive, send) -> None:
    """Answer the lifespan scope, without which the trio server ends."""
    while True:
        message = await receive()
        kind = message["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def serve(target: str, port: int) -> None:
    """Serve until cancelled."""
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    await hypercorn.trio.serve(
        Forwarder(target), config, shutdown_trigger=trio.sleep_forever
    )


app = typer.Typer()


@app.command()
def run(
    target: Annotated[str, typer.Argument(help="Where to forward, IP:port.")],
    port: Annotated[int, typer.Option()] = 0,
) -> None:
    """Run the forwarder."""
    trio.run(serve, target, port)


def main() -> None:
    """Run the command."""
    app()
