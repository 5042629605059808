"""Pages of the platform's keys, sent to the peers that follow this node."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from catkinpost.protocol.message import FeedPage, Message

__all__ = ["FeedPublisher", "Session"]

# A connection that is lost is closed meanwhile.
UNSENT_RETRY_S = 0.1


class Session(Protocol):
    """Connection of a subscriber."""

    instance: str

    @property
    def is_up(self) -> bool:
        """Whether the connection takes messages."""

    async def send_notification(self, message: Message) -> bool:
        """Send a message that gets no response."""


@dataclass(eq=False, slots=True)
class Subscriber:
    """Peer that follows this node.

    :param revision: revision up to which changes were sent.
    :param era: era of the revision, ``None`` for a peer that knows no eras.
    :param is_sending: whether a page is being sent.
    :param is_due: whether there is news since the page that is being sent.
    """

    session: Session
    revision: int
    era: int | None
    is_sending: bool = False
    is_due: bool = False


class FeedPublisher:
    """Sender of pages, at most one at a time to each subscriber.

    :param build_page: builds the page with all changes after a revision of an era.
    :param has_news: returns whether a page can tell anything yet.
    :param spawn: starts a background task.
    """

    def __init__(
        self,
        *,
        build_page: Callable[[int, int | None], FeedPage],
        has_news: Callable[[], bool],
        spawn: Callable[..., None],
    ) -> None:
        self.build_page = build_page
        self.has_news = has_news
        self.spawn = spawn
        self.subscribers: dict[int, Subscriber] = {}

    def add(self, session: Session, revision: int, era: int | None) -> None:
        """Add a subscriber and send it the current state.

        :param revision: revision up to which it knows all changes.
        :param era: era of the revision, ``None`` for a peer that knows no eras.
        """
        subscriber = Subscriber(session, revision, era)
        self.subscribers[id(session)] = subscriber
        self.send_news(subscriber)

    def remove(self, session: Session) -> None:
        """Remove a subscriber."""
        self.subscribers.pop(id(session), None)

    def publish(self) -> None:
        """Send the current state to each subscriber."""
        for subscriber in list(self.subscribers.values()):
            self.send_news(subscriber)

    def send_news(self, subscriber: Subscriber) -> None:
        """Send what a subscriber does not know yet."""
        if not self.has_news():
            # The first reading is about to end.
            return
        subscriber.is_due = True
        if not subscriber.is_sending:
            subscriber.is_sending = True
            self.spawn(self.send_pages, subscriber)

    async def send_pages(self, subscriber: Subscriber) -> None:
        """Send pages while there is news.

        A page that a pause of this process made too old to be sent is built anew.
        """
        try:
            while subscriber.is_due:
                subscriber.is_due = False
                page = self.build_page(subscriber.revision, subscriber.era)
                if await subscriber.session.send_notification(page):
                    subscriber.revision = page.revision
                    if subscriber.era is not None:
                        subscriber.era = page.era
                    continue
                subscriber.is_due = True
                await trio.sleep(UNSENT_RETRY_S)
                if not subscriber.session.is_up:
                    self.remove(subscriber.session)
                    return
        finally:
            subscriber.is_sending = False
