"""Relay in front of ports, which can make connections silent or cut them."""

from functools import partial
from pathlib import Path
from typing import Annotated

import msgspec
import trio
import typer

from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost_standins.web import json_response, serve_http, text_response

__all__ = ["RelayFaults", "RelayPort", "main"]

HOST = "127.0.0.1"
READ_BYTES = 65536


class RelayPort(msgspec.Struct, kw_only=True):
    """One relayed port.

    :param name: name that faults refer to.
    :param port: where the relay listens.
    :param target: port that it leads to.
    """

    name: str
    port: int
    target: int


class RelayFaults(msgspec.Struct, kw_only=True):
    """Faults of the relay.

    :param silence: ports whose open connections go silent for good; new
        connections work.
    :param cut: ports that pass nothing and take no new connection's data.
    """

    silence: list[str] = []
    cut: list[str] = []


class Relay:
    """Passes bytes on between connections, unless a fault says otherwise."""

    def __init__(self) -> None:
        self.open: dict[str, set[trio.Event]] = {}
        self.cut: set[str] = set()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request of an experiment."""
        if request.method != b"PUT":
            return text_response("relay", 200)
        faults = msgspec.json.decode(request.body, type=RelayFaults)
        self.cut = set(faults.cut)
        for name in [*faults.silence, *faults.cut]:
            for silent in self.open.get(name, ()):
                silent.set()
            self.open[name] = set()
        return json_response({})

    async def serve(self, port: RelayPort, stream: trio.SocketStream) -> None:
        """Relay one connection."""
        silent = trio.Event()
        if port.name in self.cut:
            silent.set()
        self.open.setdefault(port.name, set()).add(silent)
        try:
            target = await trio.open_tcp_stream(HOST, port.target)
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        async with stream, target:
            async with trio.open_nursery() as nursery:
                for source, sink in ((stream, target), (target, stream)):
                    nursery.start_soon(
                        self.pump, source, sink, silent, nursery.cancel_scope
                    )
        self.open.get(port.name, set()).discard(silent)

    async def pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        silent: trio.Event,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                if silent.is_set():
                    # Bytes are swallowed, and not even the end is passed on.
                    await trio.sleep_forever()
                await sink.send_all(data)
        except trio.BrokenResourceError:
            pass
        if silent.is_set():
            await trio.sleep_forever()
        scope.cancel()


async def serve(ports: list[RelayPort], control: int) -> None:
    """Relay all ports until cancelled."""
    relay = Relay()
    async with trio.open_nursery() as nursery:
        for port in ports:
            handler = partial(relay.serve, port)
            nursery.start_soon(partial(trio.serve_tcp, handler, port.port, host=HOST))
        nursery.start_soon(serve_http, relay.handle, HOST, control)


app = typer.Typer()


@app.command()
def run(
    ports_file: Annotated[Path, typer.Argument(help="JSON file with the ports.")],
    control: Annotated[int, typer.Option(help="Port for faults.")] = 0,
) -> None:
    """Run the relay."""
    ports = msgspec.json.decode(ports_file.read_bytes(), type=list[RelayPort])
    trio.run(serve, ports, control)


def main() -> None:
    """Run the command."""
    app()
