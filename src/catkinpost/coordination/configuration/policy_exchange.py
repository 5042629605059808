"""Exchange of policy sections with peers."""

from collections.abc import Callable
from typing import Protocol

import trio

from catkinpost.protocol.message import (
    Message,
    PolicyContent,
    PolicyFetch,
    PolicyNotice,
)
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.policy_store import NO_VERSION, PolicyChange, PolicyStore

__all__ = ["PolicyExchange"]

MIN_REQUEST_INTERVAL_S = 0.5


class Sender(Protocol):
    """Peer that messages can be sent to."""

    instance: str

    async def send_notification(self, message: Message) -> bool:
        """Send a message that gets no response."""


class PolicyExchange:
    """Exchange that keeps the node's policy at least as new as that of its peers.

    :param store: policy in force.
    :param broadcast: sends a notification to all connected peers.
    :param on_policy_changed: called after the policy has changed.
    :param decisions: log of automatic decisions.
    """

    def __init__(
        self,
        *,
        store: PolicyStore,
        broadcast: Callable[[Message], None],
        on_policy_changed: Callable[[], None],
        decisions: DecisionLog,
    ) -> None:
        self.store = store
        self.broadcast = broadcast
        self.on_policy_changed = on_policy_changed
        self.decisions = decisions
        self.peer_versions: dict[str, int] = {}
        self.requested_at: float | None = None
        self.requested_version = NO_VERSION

    async def handle_peer_version(
        self, peer: Sender, version: int, digest: bytes
    ) -> None:
        """Send or request a policy when the peer has another one than this node.

        :param peer: the peer.
        :param version: version in force at the peer.
        :param digest: digest of the peer's sections.
        """
        self.peer_versions[peer.instance] = version
        store = self.store
        if version < store.version:
            await peer.send_notification(PolicyNotice(store.version, store.digest))
        elif version > store.version:
            await self.request_content(peer, version, store.version)
        elif digest != store.digest:
            await self.request_content(peer, version, NO_VERSION)

    async def request_content(self, peer: Sender, version: int, since: int) -> None:
        now = trio.current_time()
        is_recent = self.requested_at is not None and (
            now - self.requested_at < MIN_REQUEST_INTERVAL_S
        )
        if is_recent and self.requested_version >= version:
            return
        self.requested_at = now
        self.requested_version = version
        await peer.send_notification(PolicyFetch(since))

    async def apply_content(self, peer: Sender, content: PolicyContent) -> None:
        """Merge the sections that a peer has sent."""
        self.requested_at = None
        change = self.store.merge_content(
            content, now=trio.current_time(), source=peer.instance
        )
        if change is not None:
            self.announce_change(change, peer.instance)
        is_behind = content.policy_version > self.store.version
        is_different = content.policy_version == self.store.version and (
            content.digest != self.store.digest
        )
        if content.since != NO_VERSION and (is_behind or is_different):
            await self.request_content(peer, content.policy_version, NO_VERSION)

    def apply_document(self, version: int, text: str) -> None:
        """Apply a policy document that was read from the platform."""
        previous_version = self.store.version
        change = self.store.accept_document(
            version, text, now=trio.current_time(), source="platform"
        )
        if change is None:
            self.decisions.add(
                "policy",
                "ignore",
                f"version {version}",
                reason="a newer version is in force",
                in_force=self.store.version,
            )
            return
        if change.version != previous_version or change.changed or change.removed:
            self.announce_change(change, "platform")

    def announce_change(self, change: PolicyChange, source: str) -> None:
        """Log a change, apply it and send the new version to all peers."""
        for problem in change.problems:
            self.decisions.add(
                "policy",
                "keep last good section",
                problem.section or "document",
                reason=problem.format(f"policy version {change.version}"),
            )
        self.decisions.add(
            "policy",
            "bring into force",
            f"version {change.version}",
            reason=f"read from {source}",
            changed=", ".join(change.changed[:20]),
            removed=", ".join(change.removed[:20]),
        )
        self.on_policy_changed()
        self.broadcast(PolicyNotice(self.store.version, self.store.digest))
