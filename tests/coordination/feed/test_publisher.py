"""Tests of the pages of the platform's keys that are sent to subscribers."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.feed.publisher import UNSENT_RETRY_S, FeedPublisher
from catkinpost.protocol.message import FeedPage
from tests.clock import on_mock_clock

REVISION = 7
ERA = 2


class Session:
    """Connection that does not send its first messages.

    :param unsent: number of these messages.
    :param is_up: whether it stays open meanwhile.
    """

    instance = "orders-2"

    def __init__(self, unsent, *, is_up):
        self.unsent = unsent
        self.is_up = is_up
        self.pages = []

    async def send_notification(self, message):
        await trio.lowlevel.checkpoint()
        self.pages.append(message)
        return len(self.pages) > self.unsent


def build_page(after, era):
    return FeedPage(after, REVISION, 0, -1, False, [], era=ERA)


class TestPublisher(unittest.TestCase):
    @params(
        # (pages that are not sent, whether the connection stays, pages built after)
        (0, True, [3]),
        (1, True, [3, 3]),
        (2, True, [3, 3, 3]),
        (1, False, [3]),
    )
    @on_mock_clock
    async def test_page_that_was_not_sent_is_built_anew(self, unsent, is_up, after):
        """Guards against a subscriber that misses changes, as a pause made them old."""
        async with trio.open_nursery() as nursery:
            publisher = FeedPublisher(
                build_page=build_page, has_news=lambda: True, spawn=nursery.start_soon
            )
            session = Session(unsent, is_up=is_up)
            publisher.add(session, 3, ERA)
            await trio.sleep(10 * UNSENT_RETRY_S)
            self.assertEqual([page.since for page in session.pages], after)
            self.assertEqual(len(publisher.subscribers), 1 if is_up else 0)
            publisher.publish()
            await trio.sleep(10 * UNSENT_RETRY_S)
            later = [REVISION] if is_up else []
            self.assertEqual([page.since for page in session.pages], after + later)
