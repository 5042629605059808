"""Links of their own for calls with large bodies, which would hold up all others."""

from eliot import log_message

from catkinpost.coordination.peers.link import LinkEvents, PeerLink
from catkinpost.protocol.message import Message, Welcome
from catkinpost.protocol.outcome import Failure

__all__ = ["BulkEvents"]


class BulkEvents:
    """Receiver of the events of links that carry only large calls.

    The state of a peer is observed on its other link.

    :param events: receiver of messages that are no responses.
    """

    def __init__(self, events: LinkEvents) -> None:
        self.events = events

    def on_link_up(self, link: PeerLink, welcome: Welcome) -> None:
        """Log a completed handshake."""
        log_message("link: up for large calls", peer=link.instance)

    def on_link_down(self, link: PeerLink, failure: Failure) -> None:
        """Log the loss of a connection or a failed connect, once for an outage."""
        if not link.is_repeated(failure):
            log_message(
                "link: down for large calls",
                peer=link.instance,
                reason=failure.reason,
                why=failure.detail,
            )

    def on_link_silent(self, link: PeerLink) -> None:
        """Leave the other links alone: the link logs its ping timeout."""

    async def on_peer_message(self, sender: PeerLink, message: Message) -> None:
        """Handle a message that the peer sends over all of its connections."""
        await self.events.on_peer_message(sender, message)
