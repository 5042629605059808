"""Tests of the store's client against a stand-in store on real connections."""

import math
import unittest

import trio
from nose2.tools import params

from catkinpost.platform.store import StoreClient, parse_era
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address
from catkinpost_standins.users_platform.store import HOST, PAGE_ITEMS, StandInStore
from tests.clock import on_mock_clock


class TestStoreClient(unittest.TestCase):
    @params((None, 0), (b"0", 0), (b"17", 17))
    def test_era_is_read_from_its_header(self, value, expected):
        self.assertEqual(parse_era(value), expected)

    @params((b"",), (b"-1",), (b"two",), (b"1.5",))
    def test_unreadable_era_is_a_failure(self, value):
        self.assertIs(parse_era(value).reason, Reason.PLATFORM_BAD_DOCUMENT)

    @on_mock_clock(io=True)
    async def test_restore_between_two_pages_makes_no_snapshot(self):
        async with trio.open_nursery() as nursery:
            store = StandInStore()
            await store.start(nursery)
            for number in range(PAGE_ITEMS + 1):
                store.put(f"servers/{number}", b"")
            client = StoreClient(Address(HOST, store.port))
            self.assertEqual((await client.read_snapshot()).era, store.era)
            build_range = store.range

            def restore_after_first_page(query):
                response = build_range(query)
                if "after" in query:
                    store.restore(store.copy())
                return response

            store.range = restore_after_first_page
            result = await client.read_snapshot()
            self.assertIsInstance(result, Failure)
            self.assertIs(result.reason, Reason.PLATFORM_HISTORY_GONE)
            store.range = build_range
            self.assertEqual((await client.read_snapshot()).era, store.era)
            nursery.cancel_scope.cancel()

    @params(
        # (seconds of wait, whether a change ends it, seconds that the answer is late)
        (1.0, False, 0.0),
        (1.0, False, 0.4),
        (1.0, True, 0.0),
        (1.0, True, 1.4),
        (0.0, False, 0.4),
    )
    def test_watch_tells_the_time_that_its_answer_is_surely_of(
        self, wait_s, ends, late_s
    ):
        """Guards against keys that outlast their bound by the way of an answer."""
        self.check_known_at(wait_s, ends, late_s)

    @on_mock_clock(io=True)
    async def check_known_at(self, wait_s, is_changed, late_s):
        async with trio.open_nursery() as nursery:
            store = StandInStore()
            await store.start(nursery)
            store.put("op/config", b"1")
            client = StoreClient(Address(HOST, store.port))
            snapshot = await client.read_snapshot()
            stale = await client.read_snapshot(may_be_stale=True)
            self.assertEqual(stale.known_at, -math.inf)
            watch = store.watch

            async def watch_late(query):
                response = await watch(query)
                await trio.sleep(late_s)
                return response

            store.watch = watch_late
            asked_at = trio.current_time()
            if is_changed:
                nursery.start_soon(put_later, store)
            client.timeout_s = 4.0
            page = await client.watch(snapshot.revision, wait_s=wait_s)
            expected = asked_at if is_changed else asked_at + wait_s
            self.assertAlmostEqual(page.known_at, expected, delta=0.05)
            self.assertLessEqual(snapshot.known_at, asked_at)
            nursery.cancel_scope.cancel()


async def put_later(store):
    await trio.sleep(0.2)
    store.put("op/config", b"2")
