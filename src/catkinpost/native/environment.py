"""Environment of a node that uses the product's own formats."""

from functools import partial

import trio

from catkinpost.coordination.configuration.backend_watch import BackendWatch
from catkinpost.coordination.configuration.instance_watch import InstanceWatch
from catkinpost.coordination.configuration.policy_watch import PolicyGate, PolicyWatch
from catkinpost.coordination.environment import NodeParts
from catkinpost.coordination.operation.operator_api import OperatorApi
from catkinpost.coordination.routing.dialect import NativeDialect
from catkinpost.native.status import StatusBuilder
from catkinpost.protocol.settings import parse_address
from catkinpost.transport.platform_client import PlatformClient

__all__ = ["NativeEnvironment"]


class NativeEnvironment:
    """Policy, instance list, backend server and operators' interface, native form."""

    def __init__(self) -> None:
        self.dialect = NativeDialect()

    def attach(self, node: NodeParts) -> None:
        """Build the watches of a node.

        :param node: node whose other parts exist already.
        """
        self.node = node
        settings = node.settings
        self.operators = parse_address(settings.listen.operators)
        self.gate = PolicyGate(
            exchange=node.exchange,
            view=node.view,
            instance=node.identity.instance,
            start_wait=settings.peers.start_wait,
            get_partners=node.get_partner_names,
        )
        self.platform = PlatformClient(settings.platform)
        self.policy_watch = PolicyWatch(
            client=self.platform,
            exchange=node.exchange,
            confirmation=node.policy_confirmation,
            view=node.view,
            instance=node.identity.instance,
        )
        self.instance_watch = InstanceWatch(
            client=self.platform,
            view=node.view,
            on_list_changed=node.on_list_changed,
            decisions=node.decisions,
            age=node.list_age,
        )
        self.backend_watch = BackendWatch(
            settings.backend,
            on_draining=partial(node.start_draining, "the backend server drains"),
        )
        self.api = OperatorApi(
            build_status=StatusBuilder(
                node,
                platform=self.platform,
                policy_watch=self.policy_watch,
                backend_watch=self.backend_watch,
            ).build,
            decisions=node.decisions,
            metrics=node.metrics,
            store=node.store,
        )

    def is_ready(self) -> bool:
        """Return whether the policy in force is known."""
        return self.gate.is_ready()

    async def run(self) -> None:
        """Run the watches and the operators' interface until cancelled."""
        async with trio.open_nursery() as nursery:
            serve = partial(self.api.serve, self.operators)
            nursery.start_soon(self.node.supervise, serve)
            for watch in (self.policy_watch, self.instance_watch, self.backend_watch):
                nursery.start_soon(self.node.supervise, watch.run)
