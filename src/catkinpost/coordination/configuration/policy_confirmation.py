"""Confirmation that the policy in force is the newest one."""

import trio

from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.state.instance_view import InstanceView
from catkinpost.state.policy_age import PolicyAge

__all__ = ["PolicyConfirmation"]

# Time for links to peers after the start.
PEER_WAIT_S = 3.0
WORKSPACE_SECTION = "workspace "


class PolicyConfirmation:
    """Keeper of the age of the policy.

    The platform may come back from an older copy, and have lost the newest policy,
    which nodes still have in force. A node that starts therefore waits for the version
    of a peer before it takes the platform's word, unless there is no peer to be heard.

    :param exchange: exchange that records the versions of peers.
    :param view: list of instances.
    :param instance: name of this node's instance.
    :param age: age of the policy in force.
    """

    def __init__(
        self,
        *,
        exchange: PolicyExchange,
        view: InstanceView,
        instance: str,
        age: PolicyAge,
    ) -> None:
        self.exchange = exchange
        self.view = view
        self.instance = instance
        self.age = age
        self.started_at: float | None = None
        self.has_compared = False

    def confirm(self, at: float) -> None:
        """Record that the platform had no newer policy at a time.

        A workspace whose section is broken keeps keys that may have been withdrawn.
        """
        broken = self.exchange.store.broken
        if any(name.startswith(WORKSPACE_SECTION) for name in broken):
            return
        if self.compare_with_peers():
            self.age.confirm(at)

    def compare_with_peers(self) -> bool:
        """Return whether no peer has a newer policy, as far as can be told."""
        if self.has_compared:
            return True
        now = trio.current_time()
        if self.started_at is None:
            self.started_at = now
        others = self.view.instances.keys() - {self.instance}
        versions = self.exchange.peer_versions
        known = [versions[name] for name in others if name in versions]
        is_newest = bool(known) and max(known) <= self.exchange.store.version
        is_waited_out = now - self.started_at >= PEER_WAIT_S
        self.has_compared = is_newest or is_waited_out or not others
        return self.has_compared
