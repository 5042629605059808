"""Exchange of the policy in force with peers."""

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

FETCH_INTERVAL_S = 0.5


class Sender(Protocol):
    """Peer that a message can be sent to."""

    instance: str

    async def send_notification(self, message: Message) -> bool:
        """Send a message that has no answer."""


class PolicyExchange:
    """Keeps this node's policy at least as new as that of its peers.

    :param store: policy in force.
    :param announce: sends a notice to all peers.
    :param changed: called after the policy has changed.
    :param decisions: log for changes of the version in force.
    """

    def __init__(
        self,
        *,
        store: PolicyStore,
        announce: Callable[[Message], None],
        changed: Callable[[], None],
        decisions: DecisionLog,
    ) -> None:
        self.store = store
        self.announce = announce
        self.changed = changed
        self.decisions = decisions
        self.heard: dict[str, int] = {}
        self.fetched_at: float | None = None
        self.fetched_version = NO_VERSION

    async def note(self, sender: Sender, version: int, digest: bytes) -> None:
        """Compare a peer's policy with the one in force here.

        :param sender: the peer.
        :param version: version in force at the peer.
        :param digest: digest over the peer's sections.
        """
        self.heard[sender.instance] = version
        store = self.store
        if version < store.version:
            await sender.send_notification(PolicyNotice(store.version, store.digest))
        elif version > store.version:
            await self.fetch(sender, version, store.version)
        elif digest != store.digest:
            await self.fetch(sender, version, NO_VERSION)

    async def fetch(self, sender: Sender, version: int, since: int) -> None:
        now = trio.current_time()
        recent = self.fetched_at is not None and (
            now - self.fetched_at < FETCH_INTERVAL_S
        )
        if recent and self.fetched_version >= version:
            return
        self.fetched_at = now
        self.fetched_version = version
        await sender.send_notification(PolicyFetch(since))

    async def receive(self, sender: Sender, content: PolicyContent) -> None:
        """Take over what a peer has sent."""
        self.fetched_at = None
        change = self.store.merge_content(
            content, now=trio.current_time(), source=sender.instance
        )
        if change is not None:
            self.report(change, sender.instance)
        behind = content.policy_version > self.store.version
        unequal = content.policy_version == self.store.version and (
            content.digest != self.store.digest
        )
        if content.since != NO_VERSION and (behind or unequal):
            await self.fetch(sender, content.policy_version, NO_VERSION)

    def read(self, version: int, text: str) -> None:
        """Take over a document that was read from the platform."""
        known = self.store.version
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
        if change.version != known or change.changed or change.removed:
            self.report(change, "platform")

    def report(self, change: PolicyChange, source: str) -> None:
        """Log a change and tell it to all peers."""
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
        self.changed()
        self.announce(PolicyNotice(self.store.version, self.store.digest))
