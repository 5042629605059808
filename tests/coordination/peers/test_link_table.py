"""Tests of the links of one node, over real connections."""

import dataclasses
import functools
import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import LIVENESS_CHECK_INTERVAL_S, LinkSettings
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.coordination.peers.peer_server import PeerServer
from catkinpost.coordination.peers.pending import PendingRequest
from catkinpost.coordination.routing.attempt import AttemptSender
from catkinpost.protocol.message import Answer, Load
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.frame import FrameStream
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.coordination.at_most_once.test_once import make_call
from tests.coordination.peers.test_link import Events

HOST = "127.0.0.1"
SECRET = b"shared-secret-of-the-fleet"
READ_BYTES = 65_536
READ_S = 0.08
PING_TIMEOUT_S = 0.8
LARGE_BYTES = 4_000_000


class SlowStream(trio.abc.Stream):
    """Connection over which a full read takes some time."""

    def __init__(self, stream):
        self.stream = stream

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(READ_BYTES)
        await trio.sleep(READ_S * len(data) / READ_BYTES)
        return data

    async def send_all(self, data):
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self):
        await self.stream.aclose()


class Setup:
    """Links of one node to another that reads slowly."""

    def __init__(self, nursery):
        self.nursery = nursery
        settings = LinkSettings(
            ping_timeout_s=PING_TIMEOUT_S, max_frame_bytes=2 * LARGE_BYTES
        )
        self.events = Events()
        self.server = PeerServer(
            identity=Identity(instance="orders-2", service="orders", secret=SECRET),
            store=PolicyStore(),
            run_call=self.run_call,
            events=Events(),
            get_load=Load,
            pause=PauseWatch(DecisionLog()),
            settings=settings,
        )
        self.table = LinkTable(
            identity=Identity(instance="sets-1", service="sets", secret=SECRET),
            store=PolicyStore(),
            view=InstanceView(),
            pause=PauseWatch(DecisionLog()),
            settings=settings,
            spawn=nursery.start_soon,
        )
        self.table.events = self.events
        fields = {item.name for item in dataclasses.fields(AttemptSender)}
        self.sender = AttemptSender(**dict.fromkeys(fields) | {"links": self.table})

    async def run_call(self, call):
        return Answer(call.id, 200, [], b"", call.allowance, Load())

    async def start(self):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(trio.serve_listeners, self.serve, listeners)
        self.instance = Instance(
            name="orders-2",
            service="orders",
            data_centre="a",
            region="a",
            calls=Address(HOST, 1),
            peers=Address(HOST, port),
            operators=Address(HOST, 1),
            state=InstanceState.LIVE,
        )

    async def serve(self, stream):
        await self.server.serve_connection(SlowStream(stream))

    async def serve_without_reading(self, stream):
        frames = FrameStream(stream, max_frame_bytes=LARGE_BYTES)
        await self.server.perform_handshake(frames)
        await trio.sleep_forever()

    async def call(self, size, ends, *, outlasts_silence=False):
        """Send a call and record its result and duration."""
        started_at = trio.current_time()
        message = make_call(key="", attempt=0)
        message.body = bytes(size)
        done = trio.Event()
        pending = PendingRequest(done.set, outlasts_silence=lambda: outlasts_silence)
        link = self.sender.get_link(message, self.instance)
        await link.send_request(message, pending)
        await done.wait()
        ends.append((pending.result, trio.current_time() - started_at))


class TestLargeCalls(unittest.TestCase):
    @params(1, 2)
    @on_mock_clock(io=True)
    async def test_large_calls_hold_up_no_others_and_outlast_the_timeouts(self, count):
        """Guards against uploads that end the link of all other calls."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            large_ends, usual_ends = [], []
            for _ in range(count):
                nursery.start_soon(setup.call, LARGE_BYTES, large_ends)
            while len(large_ends) < count:
                await trio.sleep(0.25)
                await setup.call(1000, usual_ends)
            self.assertGreater(large_ends[-1][1], 4.0)
            for result, _ in large_ends + usual_ends:
                self.assertEqual(getattr(result, "status", result), 200)
            self.assertLess(max(seconds for _, seconds in usual_ends), 0.25)
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_link_for_large_calls_is_retired_with_its_instance(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            ends = []
            await setup.call(LARGE_BYTES, ends)
            link = setup.table.get_or_open_bulk_link(setup.instance)
            setup.table.refresh()
            await trio.sleep(0.5)
            self.assertFalse(link.is_up)
            self.assertEqual(setup.table.bulk_links, {})
            nursery.cancel_scope.cancel()


class TestSilentConnection(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_send_on_a_silent_connection_ends_with_a_stop(self):
        """Guards against a request without an answer, as its send can't be ended."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.serve = setup.serve_without_reading
            await setup.start()
            ends = []
            call = functools.partial(setup.call, ends=ends, outlasts_silence=True)
            link = setup.table.get_or_open_link(setup.instance)
            link.ping_due = True
            await trio.sleep(LIVENESS_CHECK_INTERVAL_S + PING_TIMEOUT_S / 2)
            setup.sender.get_link = lambda message, instance: link
            nursery.start_soon(call, LARGE_BYTES)
            await trio.sleep(PING_TIMEOUT_S)
            self.assertEqual(len(link.replaced_connections), 1)
            self.assertEqual(ends, [])
            await setup.table.close_stalled()
            await wait_all_tasks_blocked()
            self.assertEqual(len(ends), 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_silent_connection_of_a_retired_link_ends_with_a_stop(self):
        """Guards against a send that outlasts the process of a retired link."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.serve = setup.serve_without_reading
            await setup.start()
            ends = []
            call = functools.partial(setup.call, ends=ends, outlasts_silence=True)
            nursery.start_soon(call, 1)
            await trio.sleep(LIVENESS_CHECK_INTERVAL_S + 2 * PING_TIMEOUT_S)
            link = setup.table.get_or_open_link(setup.instance)
            self.assertEqual(len(link.replaced_connections), 1)
            setup.table.refresh()
            await wait_all_tasks_blocked()
            self.assertEqual(setup.table.describe_busy(), {"orders-2": 1})
            await setup.table.close_connections()
            await wait_all_tasks_blocked()
            self.assertEqual(len(ends), 1)
            self.assertEqual(setup.table.running_links, set())
            nursery.cancel_scope.cancel()
