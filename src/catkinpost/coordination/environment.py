"""Interface to the sources of a node's policy and list of instances."""

from typing import TYPE_CHECKING, Protocol

from catkinpost.coordination.routing.dialect import Dialect

if TYPE_CHECKING:
    from catkinpost.node import Node

__all__ = ["Environment"]


class Environment(Protocol):
    """Sources of policy and instances, and the interface for operators.

    :ivar dialect: meaning of headers and statuses of callers and backend servers.
    """

    dialect: Dialect

    def attach(self, node: "Node") -> None:
        """Build the watches of a node.

        :param node: node whose other parts are built.
        """

    def is_ready(self) -> bool:
        """Return whether the node has the policy and the instances that it needs."""

    async def run(self) -> None:
        """Follow all sources until cancelled."""
