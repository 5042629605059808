"""Reads of the operators' interfaces of one node or of the whole fleet."""

from dataclasses import dataclass

import httpcore
import msgspec
import trio

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.instance_view import parse_instances

__all__ = ["Source", "fetch", "fetch_all", "find_nodes"]

TIMEOUT_S = 5.0
PARALLEL_READS = 32


@dataclass(frozen=True, kw_only=True)
class Source:
    """One node to read from.

    :param name: name of the instance, or its address when that is all we know.
    :param address: address of its operators' interface.
    """

    name: str
    address: str


async def fetch(address: str, path: str, *, wait: float = 0.0) -> bytes | Failure:
    """Read one document.

    :param address: address of the form ``IP:port``.
    :param path: path with its query.
    :param wait: seconds for which the other side may hold the answer back.
    """
    timeout = {"connect": TIMEOUT_S, "read": wait + TIMEOUT_S, "write": TIMEOUT_S}
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET", f"http://{address}{path}", extensions={"timeout": timeout}
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
    ) as error:
        return unreadable(address, repr(error))
    if response.status != 200:
        return unreadable(address, f"{path} answered {response.status}")
    return response.content


def unreadable(address: str, why: str) -> Failure:
    return Failure(reason=Reason.PEER_UNREACHABLE, detail=f"{address}: {why}")


async def find_nodes(platform: str) -> list[Source] | Failure:
    """Return every node on the platform's list.

    :param platform: address of the platform.
    """
    body = await fetch(platform, "/instances?after=-1&wait=0")
    if isinstance(body, Failure):
        return body
    parsed = parse_instances(body)
    if parsed is None:
        return unreadable(platform, "the list of instances is not readable")
    _, instances, _ = parsed
    return [Source(name=item.name, address=str(item.operators)) for item in instances]


async def fetch_all(sources: list[Source], path: str, model: type) -> dict:
    """Read one document from every node at once.

    :param sources: nodes to read from.
    :param path: path of the document.
    :param model: type of the document.
    :return: the document or a failure, by name of the node.
    """
    found: dict = {}
    limiter = trio.CapacityLimiter(PARALLEL_READS)

    async def read(source: Source) -> None:
        async with limiter:
            body = await fetch(source.address, path)
        if isinstance(body, Failure):
            found[source.name] = body
            return
        try:
            found[source.name] = msgspec.json.decode(body, type=model)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            found[source.name] = unreadable(source.address, str(error))

    async with trio.open_nursery() as nursery:
        for source in sources:
            nursery.start_soon(read, source)
    return dict(sorted(found.items()))
