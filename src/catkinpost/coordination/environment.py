"""What a node is connected to, besides callers, peers and its backend server."""

from typing import TYPE_CHECKING, Protocol

from catkinpost.coordination.routing.dialect import Dialect

if TYPE_CHECKING:
    from catkinpost.node import Node

__all__ = ["Environment"]


class Environment(Protocol):
    """Sources of policy and instances, and the operators' side.

    :ivar dialect: how callers and backend servers are spoken to.
    """

    dialect: Dialect

    def attach(self, node: "Node") -> None:
        """Build the watches of a node whose other parts are built."""

    def is_ready(self) -> bool:
        """Whether the node knows enough to serve."""

    async def run(self) -> None:
        """Watch until cancelled."""
