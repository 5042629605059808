"""Tests of the store's client against a stand-in store on real connections."""

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
