"""Handling of link events and of messages that are no calls."""

from functools import singledispatchmethod

import trio
from eliot import log_message

from catkinpost.coordination.admission.crash_guard import CrashGuard
from catkinpost.coordination.at_most_once.once import OnceGuard
from catkinpost.coordination.at_most_once.replicas import ServiceReplicas
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.coordination.feed.relay import FeedRelay
from catkinpost.coordination.limits.client import LimitClient
from catkinpost.coordination.peers.link import PeerLink
from catkinpost.coordination.peers.peer_server import PeerSession
from catkinpost.log import log_exception
from catkinpost.protocol.message import (
    CreditAsk,
    CreditReply,
    CreditReturn,
    FeedCancel,
    FeedFetch,
    FeedPage,
    FeedSubscribe,
    KeyFence,
    KeyRecords,
    Load,
    Message,
    PolicyContent,
    PolicyFetch,
    PolicyNotice,
    Pong,
    SuspectNotice,
    Welcome,
)
from catkinpost.protocol.outcome import Failure
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.server_notice import ServerNotices

__all__ = ["PeerHandler"]

Sender = PeerLink | PeerSession


class ReplySender:
    """Sender of replies that the handler of a message does not wait for.

    The peer may take them only after this end has read on.

    :param sender: connection to the peer.
    """

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.instance = sender.instance

    async def send_notification(self, message: Message) -> bool:
        """Start to send a message that gets no response."""
        self.sender.spawn(self.sender.send_notification, message)
        return True


class PeerHandler:
    """Receiver of the events of links and accepted connections.

    :param exchange: exchange of the policy.
    :param stats: observations by instance.
    :param notices: latest notices of backend servers.
    :param replicas: nodes of the same service.
    :param once: idempotency keys.
    :param crash_guard: counts of requests that crash backend servers.
    :param limits: limits of workspaces, ``None`` for a node without them.
    :ivar feed: relay of the platform's keys, ``None`` when the node has none.
    """

    def __init__(
        self,
        *,
        exchange: PolicyExchange,
        stats: PeerStats,
        notices: ServerNotices,
        replicas: ServiceReplicas,
        once: OnceGuard,
        crash_guard: CrashGuard,
        limits: LimitClient | None = None,
    ) -> None:
        self.exchange = exchange
        self.stats = stats
        self.notices = notices
        self.replicas = replicas
        self.once = once
        self.crash_guard = crash_guard
        self.limits = limits
        self.feed: FeedRelay | None = None
        self.incarnations: dict[str, str] = {}

    def on_link_up(self, link: PeerLink, welcome: Welcome) -> None:
        """Apply the load, incarnation and policy version from a peer's welcome."""
        log_message("link: up", peer=link.instance)
        self.record_load(link.instance, welcome.load)
        previous = self.incarnations.get(link.instance)
        if previous not in (None, welcome.incarnation):
            # A new process under the same name: old observations no longer apply.
            self.stats.remove(link.instance)
        self.incarnations[link.instance] = welcome.incarnation
        if welcome.service == self.replicas.service:
            self.replicas.on_replica_connected(link.instance)
            link.spawn(self.send_suspects, link)
        if self.feed is not None:
            self.feed.on_link_up(link)
        link.spawn(
            self.exchange.handle_peer_version,
            link,
            welcome.policy_version,
            welcome.policy_digest,
        )

    async def send_suspects(self, link: PeerLink) -> None:
        """Send the crash suspects to a replica, which may have just started."""
        for notice in self.crash_guard.build_suspect_notices():
            await link.send_notification(notice)

    def on_link_down(self, link: PeerLink, failure: Failure) -> None:
        """Log the loss of a link, once for an outage; mark the replica as down."""
        if not link.is_repeated(failure):
            log_message(
                "link: down",
                peer=link.instance,
                reason=failure.reason,
                why=failure.detail,
            )
        self.replicas.on_replica_lost(link.instance)
        if self.feed is not None:
            self.feed.on_link_down(link.instance)

    def on_link_silent(self, link: PeerLink) -> None:
        """Request pings on all links, as others may be silent as well."""
        self.replicas.links.request_pings()

    async def on_session_up(self, session: PeerSession) -> None:
        """Compare the policy version of a peer that has connected."""
        hello = session.hello
        await self.exchange.handle_peer_version(
            session, hello.policy_version, hello.policy_digest
        )

    async def on_peer_message(self, sender: Sender, message: Message) -> None:
        """Handle one message of a link or an accepted connection."""
        try:
            await self.handle(message, sender)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception:
            # An exception in one message must not end all calls of its connection.
            log_exception()

    def record_load(self, instance: str, load: Load) -> None:
        if load.notice is not None:
            self.notices.record(instance, load.notice)
        self.stats.get_or_create(instance).record_load(load, trio.current_time())

    @singledispatchmethod
    async def handle(self, message: Message, sender: Sender) -> None:
        """Handle a message by its type; log an unexpected one."""
        log_message("peer: unexpected message", kind=type(message).__name__)

    @handle.register
    async def handle_pong(self, message: Pong, sender: Sender) -> None:
        self.record_load(sender.instance, message.load)
        await self.exchange.handle_peer_version(
            ReplySender(sender), message.policy_version, message.policy_digest
        )

    @handle.register
    async def handle_notice(self, message: PolicyNotice, sender: Sender) -> None:
        await self.exchange.handle_peer_version(
            ReplySender(sender), message.policy_version, message.policy_digest
        )

    @handle.register
    async def handle_fetch(self, message: PolicyFetch, sender: Sender) -> None:
        store = self.exchange.store
        if store.has_policy:
            await ReplySender(sender).send_notification(
                store.build_content_since(message.since)
            )

    @handle.register
    async def handle_content(self, message: PolicyContent, sender: Sender) -> None:
        await self.exchange.apply_content(ReplySender(sender), message)

    @handle.register
    async def handle_fence(self, message: KeyFence, sender: Sender) -> None:
        await ReplySender(sender).send_notification(self.once.handle_key_fence(message))

    @handle.register
    async def handle_records(self, message: KeyRecords, sender: Sender) -> None:
        for copy in message.records:
            self.once.records.apply_copy(copy, self.once.holder)

    @handle.register
    async def handle_suspect(self, message: SuspectNotice, sender: Sender) -> None:
        self.crash_guard.apply_notice(message)

    @handle.register
    async def handle_credit_ask(self, message: CreditAsk, sender: Sender) -> None:
        if self.limits is not None:
            reply = self.limits.answer(sender.instance, message)
            await ReplySender(sender).send_notification(reply)

    @handle.register
    async def handle_credit_reply(self, message: CreditReply, sender: Sender) -> None:
        if self.limits is not None:
            self.limits.handle_reply(sender.instance, message)

    @handle.register
    async def handle_credit_return(self, message: CreditReturn, sender: Sender) -> None:
        if self.limits is not None:
            now = trio.current_time()
            self.limits.keeper.take_back(sender.instance, message.id, now)

    @handle.register
    async def handle_subscribe(self, message: FeedSubscribe, sender: Sender) -> None:
        if self.feed is not None:
            self.feed.on_subscribe(sender, message)

    @handle.register
    async def handle_feed_cancel(self, message: FeedCancel, sender: Sender) -> None:
        if self.feed is not None:
            self.feed.on_cancel(sender)

    @handle.register
    async def handle_feed_fetch(self, message: FeedFetch, sender: Sender) -> None:
        if self.feed is not None:
            self.feed.on_fetch(sender, message)

    @handle.register
    async def handle_feed_page(self, message: FeedPage, sender: Sender) -> None:
        if self.feed is not None:
            self.feed.on_page(sender, message)
