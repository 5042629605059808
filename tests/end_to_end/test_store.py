"""Tests of the stand-in of the store that need several addresses."""

import unittest

import trio

from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.transport.http_client import BackendClient
from catkinpost_standins.users_platform.store import StandInStore

HOSTS = ["127.0.0.2", "127.0.0.3"]
LIMIT_S = 30.0
RANGE = HttpRequest(b"GET", b"/v1/kv-range?prefix=", [(b"host", b"store")])
WATCH = HttpRequest(
    b"GET", b"/v1/kv-watch?prefix=&after=1&wait-ms=30000", [(b"host", b"store")]
)


class TestStandInStore(unittest.TestCase):
    def test_trouble_of_single_machines_and_cut_watches(self):
        """Guards against a soak whose store fails for all or for none."""
        statuses, watched, noted = trio.run(self.call)
        self.assertEqual(statuses, [503, 200])
        self.assertNotIsInstance(watched, HttpResponse)
        self.assertEqual(noted, [(HOSTS[1], 1)])

    async def call(self):
        store = StandInStore()
        async with trio.open_nursery() as nursery:
            await store.start(nursery, HOSTS)
            clients = [
                BackendClient(host, store.port, limits=HttpLimits()) for host in HOSTS
            ]
            store.fault, store.fault_hosts = store.refuse, {HOSTS[0]}
            with trio.fail_after(LIMIT_S):
                answers = [await client.send_request(RANGE) for client in clients]
                nursery.start_soon(self.cut, store)
                watched = await clients[1].send_request(WATCH)
            nursery.cancel_scope.cancel()
        noted = [(watch.host, watch.after) for watch in store.watches]
        return [answer.status for answer in answers], watched, noted

    async def cut(self, store):
        while not store.watches:
            await trio.sleep(0)
        store.cut_connections()
