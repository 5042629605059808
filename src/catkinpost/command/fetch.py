"""Reads of the operators' interfaces of one node or of the whole fleet."""

from dataclasses import dataclass

import httpcore
import msgspec
import trio

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.instance_view import parse_instances

__all__ = ["NodeEndpoint", "fetch_document", "fetch_from_all", "fetch_node_endpoints"]

REQUEST_TIMEOUT_S = 5.0
MAX_PARALLEL_READS = 32


@dataclass(frozen=True, kw_only=True)
class NodeEndpoint:
    """Operators' interface of one node.

    :param name: name of the instance, or its address when the name is not known.
    :param address: address of its operators' interface.
    """

    name: str
    address: str


async def fetch_document(
    address: str, path: str, *, wait_s: float = 0.0
) -> bytes | Failure:
    """Read one document.

    :param address: address of the form ``IP:port``.
    :param path: path with its query.
    :param wait_s: seconds for which the other side may delay its response.
    """
    timeout = {
        "connect": REQUEST_TIMEOUT_S,
        "read": wait_s + REQUEST_TIMEOUT_S,
        "write": REQUEST_TIMEOUT_S,
    }
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
        return build_read_failure(address, repr(error))
    if response.status != 200:
        return build_read_failure(address, f"{path} answered {response.status}")
    return response.content


def build_read_failure(address: str, cause: str) -> Failure:
    return Failure(reason=Reason.PEER_UNREACHABLE, detail=f"{address}: {cause}")


async def fetch_node_endpoints(platform: str) -> list[NodeEndpoint] | Failure:
    """Return every node on the platform's list.

    :param platform: address of the platform.
    """
    body = await fetch_document(platform, "/instances?after=-1&wait=0")
    if isinstance(body, Failure):
        return body
    parsed = parse_instances(body)
    if parsed is None:
        return build_read_failure(platform, "the list of instances is not readable")
    _, instances, _ = parsed
    return [
        NodeEndpoint(name=item.name, address=str(item.operators)) for item in instances
    ]


async def fetch_from_all(endpoints: list[NodeEndpoint], path: str, model: type) -> dict:
    """Read one document from every node at once.

    :param endpoints: nodes to read from.
    :param path: path of the document.
    :param model: type of the document.
    :return: document or failure by name of the node.
    """
    documents: dict = {}
    limiter = trio.CapacityLimiter(MAX_PARALLEL_READS)

    async def fetch_one(endpoint: NodeEndpoint) -> None:
        async with limiter:
            body = await fetch_document(endpoint.address, path)
        if isinstance(body, Failure):
            documents[endpoint.name] = body
            return
        try:
            documents[endpoint.name] = msgspec.json.decode(body, type=model)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            documents[endpoint.name] = build_read_failure(endpoint.address, str(error))

    async with trio.open_nursery() as nursery:
        for endpoint in endpoints:
            nursery.start_soon(fetch_one, endpoint)
    return dict(sorted(documents.items()))
