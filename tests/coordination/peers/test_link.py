"""Tests of links between nodes, over real connections."""

import contextlib
import errno
import fcntl
import functools
import math
import random
import socket
import struct
import unittest
from unittest import mock

import msgspec
import trio
import trio.testing
from nose2.tools import params

from catkinpost.coordination.admission.admission import Admission, WorkItem
from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity
from catkinpost.coordination.peers.link import (
    IDLE_PING_S,
    LIVENESS_CHECK_INTERVAL_S,
    LinkSettings,
    PeerLink,
)
from catkinpost.coordination.peers.peer_handler import PeerHandler
from catkinpost.coordination.peers.peer_server import (
    MAX_INTRODUCTION_BYTES,
    PeerServer,
)
from catkinpost.coordination.peers.pending import PendingRequest
from catkinpost.protocol.message import (
    Answer,
    Call,
    Cancel,
    Challenge,
    FeedPage,
    KeyFence,
    KeyReport,
    Load,
    Ping,
    PolicyFetch,
    PolicyNotice,
    Pong,
    Refusal,
    encode_message,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.policy import ServiceSection
from catkinpost.protocol.settings import Address
from catkinpost.state.answer_memory import AnswerMemory
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_memory import SMALL_BODY_BYTES, RequestMemory
from catkinpost.transport.frame import LENGTH_PREFIX, SEND_TIMEOUT_S, FrameStream
from catkinpost.transport.socket_io import write_some
from tests.clock import on_mock_clock, wait_all_tasks_blocked
from tests.coordination.at_most_once.test_once import make_call
from tests.log import CapturedLog

HOST = "127.0.0.1"
HANDSHAKE_S = 0.5
BREAKS = 20
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CLOSED_PORT = 1
CLOSE_S = 2.0
PAUSE_S = 2.0
PAUSES = 10
OUTAGE_S = 8.0
TICK_S = 0.05
LATE_S = 1.2
PIECES = 10
ANSWER_BYTES = 1_000_000
MEMORY_BYTES = 4_000_000
UNREAD_ANSWERS = 3
UNREAD_BYTES = 40_000
QUEUE_BYTES = 1_000_000
SECRET = b"shared-secret-of-the-fleet"


class Events:
    """Receiver that records the events of links and sessions."""

    def __init__(self):
        self.ups = []
        self.downs = []
        self.messages = []
        self.up = trio.Event()

    def on_link_up(self, link, welcome):
        self.ups.append(welcome)
        self.up.set()

    def on_link_down(self, link, failure):
        self.downs.append(failure)

    def on_link_silent(self, link):
        self.silent = link.instance

    async def on_session_up(self, session):
        self.ups.append(session.hello)

    async def on_peer_message(self, sender, message):
        self.messages.append(message)


class Setup:
    """One link and the peer server at its other end."""

    def __init__(
        self,
        nursery,
        *,
        server_secret=SECRET,
        server_name="orders-2",
        memory=None,
        answer_memory=None,
    ):
        self.nursery = nursery
        self.started = []
        self.cancelled = 0
        self.hold = trio.Event()
        self.hold.set()
        self.pause = PauseWatch(DecisionLog())
        max_frame_bytes = 10_000 if memory is None else memory.max_bytes
        self.settings = LinkSettings(
            ping_timeout_s=3.0, max_frame_bytes=max_frame_bytes
        )
        self.events = Events()
        self.server_events = Events()
        self.server = PeerServer(
            identity=Identity(
                instance=server_name, service="orders", secret=server_secret
            ),
            store=PolicyStore(),
            run_call=self.run_call,
            events=self.server_events,
            get_load=Load,
            pause=PauseWatch(DecisionLog()),
            settings=self.settings,
            memory=memory,
            answer_memory=answer_memory,
        )

    async def run_call(self, call):
        self.started.append(call.body)
        try:
            await self.hold.wait()
        except trio.Cancelled:
            self.cancelled += 1
            raise
        return Answer(call.id, 200, [], call.body, call.allowance, Load())

    async def start(self, serve=None, port=None):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        serve = serve or self.server.serve_connection
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = port or listeners[0].socket.getsockname()[1]
        self.link = PeerLink(
            "orders-2",
            Address(HOST, port),
            identity=Identity(instance="sets-1", service="sets", secret=SECRET),
            store=PolicyStore(),
            events=self.events,
            pause=self.pause,
            settings=self.settings,
            spawn=self.nursery.start_soon,
        )
        self.nursery.start_soon(self.link.run)

    async def serve_late(self, stream):
        """Serve a connection whose introduction takes its time."""
        await trio.sleep(HANDSHAKE_S)
        await self.server.serve_connection(stream)

    async def call(self, body=b"set", *, outlasts_silence=False):
        done = trio.Event()
        pending = PendingRequest(done.set, outlasts_silence=lambda: outlasts_silence)
        try:
            await self.link.send_request(make_call("k", 0, body), pending)
            await done.wait()
        except trio.Cancelled:
            pending.cancel()
            raise
        return pending.result


async def break_at_random(setup, rng):
    """Reset the connection again and again, from either end."""
    for _ in range(BREAKS):
        await trio.sleep(rng.uniform(0.0, 0.06))
        ends = [setup.link.frames]
        ends += [session.frames for session in setup.server.sessions.values()]
        frames = rng.choice(ends)
        if frames is None:
            continue
        with contextlib.suppress(OSError):
            frames.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )
        await trio.aclose_forcefully(frames.stream)


async def open_reset_stream(host, port):
    """Connect to a peer that resets each connection."""
    stream = trio.testing.memory_stream_pair()[0]
    stream.receive_some = mock.AsyncMock(side_effect=trio.BrokenResourceError("reset"))
    return stream


async def respond_after_steps(rng, call):
    for _ in range(rng.randrange(30)):
        await trio.sleep(0)
    return Answer(call.id, 200, [], call.body, call.allowance, Load())


def build_failing_handler():
    """Return a handler of peer messages whose policy exchange always fails."""
    exchange = mock.Mock()
    exchange.handle_peer_version.side_effect = KeyError("fault")
    return PeerHandler(
        exchange=exchange,
        stats=None,
        notices=None,
        replicas=None,
        once=None,
        crash_guard=None,
    )


def build_replying_handler():
    """Return a handler of peer messages that replies to questions."""
    exchange, once = mock.Mock(), mock.Mock()
    exchange.store.build_content_since.return_value = PolicyNotice(1, b"")
    once.handle_key_fence.return_value = KeyReport(0, True, "", 0.0)
    return PeerHandler(
        exchange=exchange,
        stats=mock.Mock(),
        notices=mock.Mock(),
        replicas=None,
        once=once,
        crash_guard=None,
    )


class TestLink(unittest.TestCase):
    @params(0, 1, 2)
    def test_requests_on_connections_that_break_at_random_end(self, seed):
        """Each gets its own answer or a failure, and none stays pending."""
        self.check_random_breaks(random.Random(seed))

    @on_mock_clock(io=True)
    async def check_random_breaks(self, rng):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.server.run_call = functools.partial(respond_after_steps, rng)
            await setup.start()
            results = {}

            async def call(number):
                await trio.sleep(0.03 * rng.randrange(BREAKS))
                body = b"%d" % number
                with trio.move_on_after(rng.choice([0.001, 5.0])):
                    results[body] = await setup.call(body)

            async with trio.open_nursery() as callers:
                callers.start_soon(break_at_random, setup, rng)
                for number in range(80):
                    callers.start_soon(call, number)
            answers = {
                body: result.body
                for body, result in results.items()
                if isinstance(result, Answer)
            }
            self.assertGreater(len(answers), 20)
            self.assertEqual(answers, {body: body for body in answers})
            self.assertEqual(setup.link.pending.requests, {})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_link_is_opened_again_after_an_exception(self):
        """Guards against a peer that stays unreachable, whatever was the cause."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            with mock.patch.object(
                setup.events, "on_link_up", mock.Mock(side_effect=[KeyError(), None])
            ) as on_link_up:
                await setup.start()
                await trio.sleep(5.0)
            self.assertEqual(on_link_up.call_count, 2)
            self.assertIsInstance(await setup.call(), Answer)
            nursery.cancel_scope.cancel()

    @params("caller", "target")
    def test_calls_outlast_an_exception_in_a_handler(self, end):
        """Guards against one message that ends all calls of its connection."""
        self.check_exception_in_handler(end)

    @on_mock_clock(io=True)
    async def check_exception_in_handler(self, end):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            handler = build_failing_handler()
            setup.events.on_peer_message = handler.on_peer_message
            setup.server_events.on_peer_message = handler.on_peer_message
            await setup.start()
            results = []

            async def call():
                results.append(await setup.call())

            nursery.start_soon(call)
            await trio.sleep(0.1)
            notice = PolicyNotice(7, b"")
            if end == "target":
                await setup.link.send_notification(notice)
            else:
                (session,) = setup.server.sessions.values()
                await session.send_notification(notice)
            await trio.sleep(0.1)
            setup.hold.set()
            await trio.sleep(0.1)
            self.assertEqual([result.body for result in results], [b"set"])
            self.assertEqual(setup.cancelled, 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answers_reach_their_own_callers_out_of_order(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            gates = {body: trio.Event() for body in (b"a", b"b", b"c")}

            async def run_call(call):
                await gates[call.body].wait()
                return Answer(call.id, 200, [], call.body, 0, Load())

            setup.server.run_call = run_call
            results = {}

            async def call(body):
                results[body] = (await setup.call(body)).body

            for body in gates:
                nursery.start_soon(call, body)
            await trio.sleep(0.5)
            for body in (b"c", b"a", b"b"):
                gates[body].set()
                await trio.sleep(0.1)
            self.assertEqual(results, {b"a": b"a", b"b": b"b", b"c": b"c"})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_cancelled_call_is_cancelled_at_the_peer(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            await setup.start()
            with trio.move_on_after(1.0):
                await setup.call()
            await trio.sleep(0.5)
            self.assertEqual(setup.cancelled, 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_cancel_that_arrives_with_its_call_is_not_lost(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await setup.events.up.wait()
            data = b""
            for message in (make_call("", 0), Cancel(1)):
                encoded = encode_message(message)
                data += LENGTH_PREFIX.pack(len(encoded)) + encoded
            await setup.link.frames.stream.send_all(data)
            await trio.sleep(0.5)
            self.assertEqual(setup.started, [])
            nursery.cancel_scope.cancel()

    @params(
        # (seconds until the withdrawal, whether the peer leaves)
        (0.2, False),
        (None, True),
    )
    def test_call_that_waited_for_the_link_in_vain_is_not_sent(self, after_s, leaving):
        """The connection may end at any moment, and the call would count as unknown."""
        self.check_not_sent(after_s, leaving)

    @on_mock_clock(io=True)
    async def check_not_sent(self, after_s, leaving):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.server.get_load = lambda: Load(leaving=leaving)
            await setup.start(serve=setup.serve_late)
            ended_at = []
            pending = PendingRequest(lambda: ended_at.append(trio.current_time()))
            started_at = trio.current_time()
            nursery.start_soon(setup.link.send_request, make_call("", 0), pending)
            if after_s is not None:
                await trio.sleep(after_s)
                pending.withdraw()
            await trio.sleep(1.5)
            self.assertEqual(setup.started, [])
            self.assertIs(pending.result.reason, Reason.LEAVING)
            self.assertIs(pending.result.outcome, Outcome.NOT_RUN)
            self.assertFalse(pending.sent)
            expected_s = HANDSHAKE_S if after_s is None else after_s
            self.assertAlmostEqual(ended_at[0] - started_at, expected_s, delta=0.1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_leaving_peer_is_still_asked_about_keys(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.server.get_load = lambda: Load(leaving=True)
            await setup.start(serve=setup.serve_late)
            pending = PendingRequest(lambda: None)
            await setup.link.send_request(KeyFence(0, "k", "orders-1#1"), pending)
            await trio.sleep(0.2)
            asked = [message.key for message in setup.server_events.messages]
            self.assertEqual(asked, ["k"])
            nursery.cancel_scope.cancel()

    @params((0, 0), (800_000, 300_000), (400_000, 1))
    def test_call_that_waited_for_the_link_grants_the_time_left(self, useful, left):
        self.check_time_left(useful, left)

    @on_mock_clock(io=True)
    async def check_time_left(self, useful_us, left_us):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            calls = []

            async def run_call(call):
                calls.append(call)
                return Answer(call.id, 200, [], call.body, call.allowance, Load())

            setup.server.run_call = run_call
            await setup.start(serve=setup.serve_late)
            call = make_call("", 0)
            call.budget_us, call.useful_us = 2_000_000, useful_us
            await setup.link.send_request(call, PendingRequest(lambda: None))
            await trio.sleep(0.2)
            budget_us = 2_000_000 - HANDSHAKE_S * 1e6
            self.assertLessEqual(calls[0].budget_us, budget_us)
            self.assertAlmostEqual(calls[0].budget_us, budget_us, delta=200_000)
            self.assertLessEqual(calls[0].useful_us, left_us)
            self.assertAlmostEqual(calls[0].useful_us, left_us, delta=200_000)
            self.assertEqual(calls[0].useful_us > 0, useful_us > 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_withdrawals_that_arrive_with_their_call_are_not_lost(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            withdrawn = []
            setup.server.withdraw_call = withdrawn.append
            await setup.start()
            await setup.events.up.wait()
            pending = PendingRequest(lambda: None)
            cancel = Cancel(setup.link.pending.add(pending), only_waiting=True)
            call = make_call("", 0)
            call.id = cancel.id
            data = b""
            for message in (call, cancel, cancel):
                encoded = encode_message(message)
                data += LENGTH_PREFIX.pack(len(encoded)) + encoded
            await setup.link.frames.stream.send_all(data)
            await trio.sleep(0.5)
            self.assertEqual((setup.started, withdrawn), ([], []))
            self.assertIs(pending.result.outcome, Outcome.NOT_RUN)
            self.assertIs(pending.result.reason, Reason.LEAVING)
            self.assertFalse(setup.server.is_busy)
            nursery.cancel_scope.cancel()

    @params((True, True), (True, False), (False, False))
    def test_withdrawn_call_ends_with_the_word_of_the_peer(self, waits, understood):
        """A peer of an older release would break off a call that it runs."""
        self.check_withdrawal(waits, understood)

    @on_mock_clock(io=True)
    async def check_withdrawal(self, waits, understood):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            refused = trio.Event()
            withdrawn = []

            def withdraw_call(call):
                withdrawn.append(call.id)
                if waits:
                    refused.set()

            async def run_call(call):
                if not waits:
                    return await setup.run_call(call)
                await refused.wait()
                failure = (Reason.LEAVING, Outcome.NOT_RUN, "", None, 0, Load())
                return Refusal(call.id, *failure)

            setup.server.run_call = run_call
            setup.server.withdraw_call = withdraw_call
            await setup.start()
            await setup.events.up.wait()
            setup.link.welcome = msgspec.structs.replace(
                setup.link.welcome, withdrawals=understood
            )
            pending = PendingRequest(lambda: None)
            await setup.link.send_request(make_call("", 0), pending)
            await trio.sleep(0.2)
            pending.withdraw()
            await trio.sleep(0.2)
            self.assertEqual(withdrawn, [1] if understood else [])
            self.assertEqual(pending.result is not None, waits and understood)
            setup.hold.set()
            refused.set()
            await trio.sleep(0.2)
            self.assertIsInstance(pending.result, Refusal if waits else Answer)
            self.assertEqual(setup.cancelled, 0)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_retired_link_delivers_pending_answers_and_then_closes(self):
        """Guards against a run that is given up when its instance leaves the list."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            await setup.start()
            results = []

            async def call():
                results.append(await setup.call(b"running"))

            nursery.start_soon(call)
            await trio.sleep(0.5)
            setup.link.retire()
            await trio.sleep(30)
            self.assertEqual(results, [])
            self.assertEqual(setup.cancelled, 0)
            setup.hold.set()
            await trio.sleep(0.5)
            self.assertEqual([result.body for result in results], [b"running"])
            self.assertEqual(setup.server.sessions, {})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_retired_link_that_is_lost_is_not_opened_again(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            await setup.start()
            results = []

            async def call():
                results.append(await setup.call())

            nursery.start_soon(call)
            await trio.sleep(0.5)
            setup.link.retire()
            await setup.server.close_connections()
            await trio.sleep(5)
            self.assertEqual(results[0].outcome, Outcome.UNKNOWN)
            self.assertEqual(len(setup.events.ups), 1)
            self.assertEqual(setup.server.sessions, {})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_withdrawn_request_ends_a_retired_link(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.hold = trio.Event()
            await setup.start()
            with trio.move_on_after(1.0):
                async with trio.open_nursery() as callers:
                    callers.start_soon(setup.call)
                    await trio.sleep(0.5)
                    setup.link.retire()
            await trio.sleep(0.5)
            self.assertEqual(setup.cancelled, 1)
            self.assertEqual(setup.server.sessions, {})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_request_on_a_link_that_was_retired_means_not_run(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await setup.events.up.wait()
            setup.link.retire()
            await trio.sleep(0.5)
            result = await setup.call()
            self.assertEqual(result.reason, Reason.PEER_UNREACHABLE)
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            self.assertEqual(setup.started, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_silent_connection_is_given_up_and_a_new_one_works(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            accepted = []

            async def serve(stream):
                accepted.append(stream)
                if len(accepted) == 1:
                    await serve_until_silent(setup, stream)
                else:
                    await setup.server.serve_connection(stream)

            await setup.start(serve)
            result = await setup.call()
            self.assertEqual(result.outcome, Outcome.UNKNOWN)
            self.assertEqual(setup.events.silent, "orders-2")
            result = await setup.call()
            self.assertIsInstance(result, Answer)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_call_as_its_link_falls_silent_is_not_lost(self):
        """Guards against an unknown outcome in a busy process, whose turns are long."""
        accepted, results = [], []

        async def serve(stream):
            accepted.append(stream)
            if len(accepted) > 1:
                await setup.server.serve_connection(stream)
            else:
                await serve_until_silent(setup, stream)

        async def call():
            results.append(await setup.call(outlasts_silence=True))

        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start(serve)
            setup.events.on_link_silent = lambda link: nursery.start_soon(call)
            with trio.move_on_after(2 * setup.settings.ping_timeout_s):
                await setup.call(outlasts_silence=True)
            await trio.sleep(setup.settings.ping_timeout_s)
            self.assertIsInstance(results[0], Answer)
            nursery.cancel_scope.cancel()

    @params(MAX_INTRODUCTION_BYTES + 1, 3_000_000)
    def test_stranger_can_not_send_a_large_frame(self, size):
        """Guards against memory that is used up before a peer is known."""
        self.check_stranger(size)

    @on_mock_clock(io=True)
    async def check_stranger(self, size):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=RequestMemory(MEMORY_BYTES, DecisionLog()))
            await setup.start()
            port = setup.link.address.port
            stream = await trio.open_tcp_stream(HOST, port)
            await stream.send_all(LENGTH_PREFIX.pack(size) + b"x" * 100)
            received = 0
            with trio.move_on_after(HANDSHAKE_S) as patience:
                with contextlib.suppress(trio.BrokenResourceError):
                    while data := await stream.receive_some(65536):
                        received += len(data)
            self.assertFalse(patience.cancelled_caught)
            # Only the challenge was sent.
            self.assertLess(received, 200)
            await setup.call()
            nursery.cancel_scope.cancel()

    @params(
        # (what a silent peer does with a call that must not be sent again, its result)
        ("answers late", Answer),
        ("closes", Failure),
        ("is not awaited", None),
    )
    def test_call_that_must_not_be_sent_again_outlasts_the_silence(self, end, kind):
        """Guards against an unknown outcome although the peer is only late."""
        self.check_silence(end, kind)

    @on_mock_clock(io=True)
    async def check_silence(self, end, kind):
        accepted, results = [], []
        gave_up = trio.Event()

        async def serve(stream):
            accepted.append(stream)
            if len(accepted) > 1:
                await setup.server.serve_connection(stream)
                return
            frames = FrameStream(stream, max_frame_bytes=10_000)
            await setup.server.perform_handshake(frames)
            call = await frames.receive()
            await trio.sleep(3 * setup.settings.ping_timeout_s)
            if end == "answers late":
                await frames.send(Answer(call.id, 200, [], b"late", 0, Load()))
            elif end == "is not awaited":
                while await frames.receive():
                    pass
                gave_up.set()
            await frames.close()

        async def call():
            results.append(await setup.call(outlasts_silence=True))

        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start(serve)
            async with trio.open_nursery() as callers:
                callers.start_soon(call)
                await trio.sleep(2 * setup.settings.ping_timeout_s)
                self.assertEqual(setup.events.silent, "orders-2")
                self.assertEqual(results, [])
                # Other calls have a new connection.
                self.assertIsInstance(await setup.call(), Answer)
                if end == "is not awaited":
                    callers.cancel_scope.cancel()
            if kind is None:
                await gave_up.wait()
            else:
                self.assertIsInstance(results[0], kind)
            await wait_all_tasks_blocked()
            self.assertEqual(setup.link.replaced_connections, set())
            nursery.cancel_scope.cancel()

    @params(True, False)
    def test_withdrawal_on_a_silent_connection_ends_no_run(self, understood):
        """A peer of an older release would break off a call that it runs."""
        self.check_late_withdrawal(understood)

    @on_mock_clock(io=True)
    async def check_late_withdrawal(self, understood):
        async with trio.open_nursery() as nursery:
            setup, messages = Setup(nursery), []
            await setup.start(functools.partial(record_messages, setup, messages))
            await setup.events.up.wait()
            setup.link.welcome = msgspec.structs.replace(
                setup.link.welcome, withdrawals=understood
            )
            pending = PendingRequest(lambda: None, outlasts_silence=lambda: True)
            await setup.link.send_request(make_call("", 0), pending)
            await trio.sleep(2 * setup.settings.ping_timeout_s)
            self.assertEqual(len(setup.link.replaced_connections), 1)
            pending.withdraw()
            await trio.sleep(0.2)
            expected = [Cancel(1, only_waiting=True)] if understood else []
            self.assertEqual(
                [item for item in messages if isinstance(item, Cancel)], expected
            )
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_call_given_up_on_a_silent_connection_is_cancelled_there(self):
        """Guards against runs that nobody waits for, as the connection stays open."""
        async with trio.open_nursery() as nursery:
            setup, messages = Setup(nursery), []
            await setup.start(functools.partial(record_messages, setup, messages))
            await setup.events.up.wait()
            ends = []
            for is_lasting in (True, False):
                pending = PendingRequest(
                    functools.partial(ends.append, is_lasting),
                    outlasts_silence=functools.partial(bool, is_lasting),
                )
                await setup.link.send_request(make_call("", 0), pending)
            await trio.sleep(2 * setup.settings.ping_timeout_s)
            self.assertEqual(ends, [False])
            (connection,) = setup.link.replaced_connections
            self.assertIn(connection.frames, setup.pause.inputs)
            cancels = [item for item in messages if isinstance(item, Cancel)]
            self.assertEqual(cancels, [Cancel(2)])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_call_sent_whole_on_a_silent_connection_is_cancelled_there(self):
        """Guards against a run that nobody waits for, as its peer reads on late."""
        async with trio.open_nursery() as nursery:
            setup, messages, goes_on = Setup(nursery), [], trio.Event()
            setup.settings = LinkSettings(ping_timeout_s=SEND_TIMEOUT_S / 3)
            results = {}

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=20 * ANSWER_BYTES)
                await setup.server.perform_handshake(frames)
                await frames.receive()
                await goes_on.wait()
                while (message := await frames.receive()) is not None:
                    messages.append(message)

            async def call(body, is_lasting):
                results[body] = await setup.call(body, outlasts_silence=is_lasting)

            await setup.start(serve)
            await setup.events.up.wait()
            nursery.start_soon(call, b"lasts", True)
            await trio.sleep(LIVENESS_CHECK_INTERVAL_S)
            upload = bytes(10 * ANSWER_BYTES)
            nursery.start_soon(call, upload, False)
            while not setup.link.replaced_connections:
                await trio.sleep(TICK_S)
            goes_on.set()
            await trio.sleep(0.5)
            self.assertIs(results[upload].outcome, Outcome.UNKNOWN)
            kinds = [item for item in messages if isinstance(item, (Call, Cancel))]
            self.assertEqual([item.id for item in kinds], [2, 2])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_link_is_opened_again_after_a_message_that_the_peer_did_not_take(
        self,
    ):
        """Guards against a link that stays down for good."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            accepted = []

            async def serve(stream):
                accepted.append(stream)
                if len(accepted) > 1:
                    await setup.server.serve_connection(stream)
                    return
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                await frames.send(PolicyFetch(0))
                await trio.sleep_forever()

            async def send_large(link, message):
                answer = Answer(1, 200, [], bytes(PIECES * ANSWER_BYTES), 0, Load())
                await link.send_notification(answer)

            setup.events.on_peer_message = send_large
            await setup.start(serve)
            await trio.sleep(SEND_TIMEOUT_S + 0.5)
            self.assertIsInstance(await setup.call(), Answer)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_peer_that_cannot_be_reached_means_not_run(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start(port=CLOSED_PORT)
            result = await setup.call()
            self.assertEqual(result.reason, Reason.PEER_UNREACHABLE)
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            nursery.cancel_scope.cancel()

    @params("refuses", "resets")
    def test_peer_that_is_asked_for_all_the_time_is_not_flooded(self, kind):
        """Guards against thousands of connects a second at a peer that starts.

        Its log has one line for the outage.
        """
        self.check_outage(kind)

    @on_mock_clock(io=True)
    async def check_outage(self, kind):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.events = PeerHandler(
                exchange=mock.AsyncMock(),
                stats=mock.Mock(),
                notices=None,
                replicas=mock.Mock(service="sets"),
                once=None,
                crash_guard=None,
            )
            connects = mock.AsyncMock(side_effect=OSError(errno.ECONNREFUSED, "down"))
            if kind == "resets":
                connects = mock.AsyncMock(side_effect=open_reset_stream)

            async def ask():
                while True:
                    setup.link.connect_requested.set()
                    await trio.sleep(TICK_S)

            with CapturedLog() as messages:
                with mock.patch.object(trio, "open_tcp_stream", connects):
                    await setup.start()
                    nursery.start_soon(ask)
                    await trio.sleep(OUTAGE_S)
                self.assertGreater(connects.call_count, OUTAGE_S / 0.5)
                self.assertLess(connects.call_count, OUTAGE_S / 0.2)
                await trio.sleep(0.5)
            self.assertTrue(setup.link.is_up)
            kinds = [message["message_type"] for message in messages]
            self.assertEqual(kinds.count("link: down"), 1)
            (line,) = [
                item
                for item in messages
                if item["message_type"] == "link: connected again"
            ]
            self.assertEqual(line["failed_connects"], connects.call_count)
            nursery.cancel_scope.cancel()

    @params("close", "reset", "silence")
    def test_request_to_a_peer_whose_handshake_fails_is_not_run(self, end):
        """Guards against requests that wait for a link after each failed attempt."""
        self.check_failed_handshake(end)

    @on_mock_clock(io=True)
    async def check_failed_handshake(self, end):
        async def serve(stream):
            if end == "silence":
                await trio.sleep_forever()
            if end == "reset":
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            await trio.aclose_forcefully(stream)

        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start(serve)
            await trio.sleep(OUTAGE_S)
            self.assertTrue(setup.link.is_unreachable)
            failed_connects = setup.link.failed_connects
            self.assertGreater(failed_connects, 1)
            result = await setup.call()
            self.assertEqual(result.reason, Reason.PEER_UNREACHABLE)
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            if end != "silence":
                # It did not wait until the time to connect was over.
                self.assertEqual(setup.link.failed_connects, failed_connects + 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_node_without_the_secret_gets_nowhere(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, server_secret=b"another secret entirely")
            await setup.start()
            with trio.move_on_after(5):
                await setup.events.up.wait()
            self.assertEqual(setup.events.ups, [])
            self.assertEqual(setup.server_events.ups, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_other_instance_at_the_address_is_not_taken_for_the_peer(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, server_name="orders-9")
            await setup.start()
            result = await setup.call()
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            nursery.cancel_scope.cancel()

    @params(
        b"garbage that is no frame",
        LENGTH_PREFIX.pack(2**31) + b"x",
        LENGTH_PREFIX.pack(3) + b"\xc1\xc1\xc1",
        LENGTH_PREFIX.pack(len(encode_message(Ping(1)))) + encode_message(Ping(1)),
        b"",
    )
    def test_peer_that_sends_garbage_is_refused(self, data):
        self.check_garbage(data)

    @on_mock_clock(io=True)
    async def check_garbage(self, data):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            serve = setup.server.serve_connection
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            stream = await trio.open_tcp_stream(HOST, port)
            await stream.send_all(data) if data else None
            with trio.move_on_after(10) as scope:
                while await stream.receive_some(1000):
                    pass
            self.assertFalse(scope.cancelled_caught)
            self.assertEqual(setup.server_events.ups, [])
            self.assertEqual(setup.server.sessions, {})
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_peer_of_another_version_is_refused_with_a_reason(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)

            async def serve(stream):
                data = encode_message(Challenge(99, b"nonce"))
                await stream.send_all(LENGTH_PREFIX.pack(len(data)) + data)
                await stream.receive_some(1000)
                welcome = setup.server.identity.build_welcome
                hello = setup.link.identity.build_hello(Challenge(1, b""), 0, b"", b"n")
                message = welcome(hello, 0, b"", Load(), 0)
                message = type(message)(99, *fields_after_version(message))
                data = encode_message(message)
                await stream.send_all(LENGTH_PREFIX.pack(len(data)) + data)
                await trio.sleep(1)

            await setup.start(serve)
            await trio.sleep(1)
            self.assertEqual(setup.events.downs[0].reason, Reason.PEER_VERSION)
            nursery.cancel_scope.cancel()


class TestMemory(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_call_without_room_is_refused_as_not_run_and_the_link_stays(self):
        memory = RequestMemory(MEMORY_BYTES, DecisionLog())
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=memory)
            setup.hold = trio.Event()
            await setup.start()
            bodies = [bytes(MEMORY_BYTES // 2), bytes(MEMORY_BYTES // 2), b"birch"]
            calls = []
            for body in bodies:
                call = make_call(key="", attempt=0)
                call.body = body
                calls.append(PendingRequest(lambda: None))
                await setup.link.send_request(call, calls[-1])
                await trio.sleep(0.2)
            self.assertEqual(calls[1].result.outcome, Outcome.NOT_RUN)
            self.assertEqual(calls[1].result.reason, Reason.QUEUE_FULL)
            self.assertGreater(calls[1].result.retry_after, 0)
            self.assertEqual([len(body) for body in setup.started], [len(bodies[0]), 5])
            setup.hold.set()
            await trio.sleep(0.2)
            self.assertEqual([calls[i].result.status for i in (0, 2)], [200, 200])
            self.assertEqual(memory.used_bytes, 0)
            self.assertEqual(len(setup.events.ups), 1)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answer_without_room_is_dropped_as_unknown_and_the_link_stays(self):
        """Guards against a process that is killed as slow peers hold its answers."""
        memory = RequestMemory(4 * MEMORY_BYTES, DecisionLog())
        answer_memory = AnswerMemory(MEMORY_BYTES, DecisionLog())
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=memory, answer_memory=answer_memory)
            await setup.start()
            answer_memory.hold(mock.Mock(progressed_at=math.inf), MEMORY_BYTES // 2)
            calls = []
            for body in (bytes(MEMORY_BYTES), b"birch"):
                call = make_call(key="", attempt=0)
                call.body = body
                calls.append(PendingRequest(lambda: None))
                await setup.link.send_request(call, calls[-1])
            await trio.sleep(0.2)
            self.assertIs(calls[0].result.outcome, Outcome.UNKNOWN)
            self.assertEqual(calls[1].result.status, 200)
            self.assertEqual(answer_memory.used_bytes, MEMORY_BYTES // 2)
            self.assertEqual(len(setup.events.ups), 1)
            nursery.cancel_scope.cancel()

    @params("cancel", "disconnect")
    @on_mock_clock(io=True)
    async def test_memory_returns_after_the_end_of_a_call(self, end):
        memory = RequestMemory(MEMORY_BYTES, DecisionLog())
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=memory)
            setup.hold = trio.Event()
            await setup.start()
            call = make_call(key="", attempt=0)
            call.body = bytes(MEMORY_BYTES // 2)
            pending = PendingRequest(lambda: None)
            await setup.link.send_request(call, pending)
            await trio.sleep(0.2)
            self.assertGreater(memory.used_bytes, len(call.body))
            if end == "cancel":
                pending.cancel()
            else:
                await setup.link.frames.close()
            await trio.sleep(0.2)
            self.assertEqual(memory.used_bytes, 0)
            nursery.cancel_scope.cancel()


class TestLiveness(unittest.TestCase):
    """A large message that arrives slowly keeps its connection alive."""

    async def send_slowly(self, stream, message, step_s):
        data = encode_message(message)
        data = LENGTH_PREFIX.pack(len(data)) + data
        size = -(-len(data) // PIECES)
        for start in range(0, len(data), size):
            await stream.send_all(data[start : start + size])
            await trio.sleep(step_s)

    @params(False, True)
    def test_answer_that_is_arriving_is_a_sign_of_life(self, is_cut):
        self.check_slow_answer(is_cut)

    @on_mock_clock(io=True)
    async def check_slow_answer(self, is_cut):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=RequestMemory(MEMORY_BYTES, DecisionLog()))
            step_s = 0.4 * setup.settings.ping_timeout_s
            nursery.start_soon(setup.pause.run)

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=MEMORY_BYTES)
                await setup.server.perform_handshake(frames)
                call = await frames.receive()
                answer = Answer(call.id, 200, [], bytes(ANSWER_BYTES), 0, Load())
                if is_cut:
                    await stream.send_all(LENGTH_PREFIX.pack(ANSWER_BYTES))
                else:
                    await self.send_slowly(stream, answer, step_s)
                await trio.sleep_forever()

            await setup.start(serve)
            await setup.events.up.wait()
            started_at = trio.current_time()
            result = await setup.call()
            duration_s = trio.current_time() - started_at
            if is_cut:
                self.assertEqual(result.outcome, Outcome.UNKNOWN)
                self.assertEqual(setup.events.silent, "orders-2")
                self.assertLess(duration_s, setup.settings.ping_timeout_s + 1.1)
            else:
                self.assertEqual(len(result.body), ANSWER_BYTES)
                self.assertGreater(duration_s, 3 * setup.settings.ping_timeout_s)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_peer_that_only_receives_is_not_taken_for_silent(self):
        """Guards against an end of feeds and calls on a link that only brings news."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await setup.link.wait_until_up(1.0)
            (session,) = setup.server.sessions.values()
            max_silence_s = IDLE_PING_S + 2 * setup.settings.ping_timeout_s
            for _ in range(int(2 * max_silence_s)):
                await session.send_notification(PolicyNotice(1, b""))
                await trio.sleep(1.0)
            self.assertEqual(list(setup.server.sessions.values()), [session])
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_call_that_is_arriving_is_a_sign_of_life(self, is_cut):
        self.check_slow_call(is_cut)

    @on_mock_clock(io=True)
    async def check_slow_call(self, is_cut):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            nursery.start_soon(setup.server.pause.run)
            max_silence_s = IDLE_PING_S + 2 * setup.settings.ping_timeout_s
            call = make_call("", 0, bytes(ANSWER_BYTES))
            if is_cut:
                await frames.stream.send_all(LENGTH_PREFIX.pack(ANSWER_BYTES))
                await trio.sleep(max_silence_s - 1.0)
                self.assertEqual(len(setup.server.sessions), 1)
                await trio.sleep(2.0)
                self.assertEqual(setup.server.sessions, {})
            else:
                await self.send_slowly(frames.stream, call, 0.4 * max_silence_s)
                self.assertEqual(setup.started, [call.body])
            nursery.cancel_scope.cancel()


class TestLateWakeUp(unittest.TestCase):
    """A peer is not silent because this process has slept."""

    @params(*range(4))
    def test_link_whose_pong_was_not_read_yet_stays(self, seed):
        on_mock_clock(self.check_pong, io=True, seed=seed)(LATE_S)

    @params(*range(4))
    def test_link_whose_pong_the_network_holds_back_stays(self, seed):
        on_mock_clock(self.check_pong, io=True, seed=seed)(LATE_S, 0.4)

    async def check_pong(self, late_s, pong_delay_s=0.0):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            setup.settings = LinkSettings(ping_timeout_s=LATE_S - 0.2)
            slept = trio.Event()

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                call = await frames.receive()
                while not isinstance(ping := await frames.receive(), Ping):
                    pass
                if not pong_delay_s:
                    await frames.send(setup.server.build_pong(ping))
                trio.lowlevel.current_clock().jump(late_s)
                slept.set()
                await trio.sleep(pong_delay_s)
                if pong_delay_s:
                    await frames.send(setup.server.build_pong(ping))
                await frames.send(Answer(call.id, 200, [], b"late", 0, Load()))
                await trio.sleep_forever()

            await setup.start(serve)
            await setup.events.up.wait()
            setup.pause.check_for_pause()
            result = await setup.call()
            self.assertTrue(slept.is_set())
            self.assertIsInstance(result, Answer)
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @params(*range(4))
    def test_session_whose_ping_was_not_read_yet_stays(self, seed):
        on_mock_clock(self.check_ping, io=True, seed=seed)()

    async def check_ping(self):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            max_silence_s = IDLE_PING_S + 2 * setup.settings.ping_timeout_s
            await frames.send(Ping(1))
            trio.lowlevel.current_clock().jump(max_silence_s + 1.0)
            self.assertEqual((await frames.receive()).sequence, 1)
            self.assertEqual(len(setup.server.sessions), 1)
            nursery.cancel_scope.cancel()


class TestLostConnection(unittest.TestCase):
    """What has arrived before the loss of a connection is read."""

    @params(*range(4))
    def test_answers_that_arrived_before_a_failed_write_are_delivered(self, seed):
        """Guards against 502 for calls whose answers wait to be read."""
        on_mock_clock(self.check_unread, io=True, seed=seed)()

    async def check_unread(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery, memory=RequestMemory(MEMORY_BYTES, DecisionLog()))
            results = []

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                calls = [await frames.receive() for _ in range(UNREAD_ANSWERS)]
                link_socket = setup.link.frames.stream.socket
                link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE_BYTES)
                for call in calls:
                    answer = Answer(call.id, 200, [], bytes(UNREAD_BYTES), 0, Load())
                    data = encode_message(answer)
                    write_some(stream, LENGTH_PREFIX.pack(len(data)) + data)
                option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                stream.setsockopt(*option)
                stream.socket.close()
                # The next ping is due at once, and its write fails.
                trio.lowlevel.current_clock().jump(LIVENESS_CHECK_INTERVAL_S + TICK_S)

            async def call():
                results.append(await setup.call())

            await setup.start(serve)
            await setup.events.up.wait()
            for _ in range(UNREAD_ANSWERS):
                nursery.start_soon(call)
            await trio.sleep(1.5)
            kinds = [type(result).__name__ for result in results]
            self.assertEqual(kinds, UNREAD_ANSWERS * ["Answer"])
            self.assertGreater(len(setup.events.downs), 0)
            nursery.cancel_scope.cancel()

    @params("reset", "close", "silence")
    def test_call_that_was_not_sent_whole_counts_as_not_run(self, loss):
        """Guards against 502 for a call that no peer can have run."""
        self.check_loss_while_sending(loss)

    @on_mock_clock(io=True)
    async def check_loss_while_sending(self, loss):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            results, lose = {}, trio.Event()
            upload = bytes(20 * ANSWER_BYTES)

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                await frames.receive()
                await lose.wait()
                if loss == "silence":
                    await trio.sleep_forever()
                if loss == "reset":
                    option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                    stream.setsockopt(*option)
                await frames.close()

            async def call(body):
                results[body] = await setup.call(body, outlasts_silence=True)

            await setup.start(serve)
            await setup.events.up.wait()
            for body in (b"sent", upload, b"waits"):
                nursery.start_soon(call, body)
                await trio.sleep(0.05)
            lose.set()
            await trio.sleep(SEND_TIMEOUT_S + 1.0)
            for body in (upload, b"waits"):
                self.assertIs(results[body].outcome, Outcome.NOT_RUN)
            if loss == "silence":
                self.assertNotIn(b"sent", results)
            else:
                self.assertIs(results[b"sent"].outcome, Outcome.UNKNOWN)
            nursery.cancel_scope.cancel()


async def connect(nursery, kind="socket"):
    """Return a setup, its session and the peer's side of the connection."""
    setup = Setup(nursery, memory=RequestMemory(MEMORY_BYTES, DecisionLog()))
    await setup.start(port=CLOSED_PORT)
    serve = setup.server.serve_connection
    if kind == "memory":
        stream, far = trio.testing.memory_stream_pair()
        nursery.start_soon(serve, far)
    else:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        stream = await trio.open_tcp_stream(HOST, port)
    frames = FrameStream(stream, max_frame_bytes=MEMORY_BYTES)
    await setup.link.perform_handshake(frames)
    await trio.sleep(0.1)
    (session,) = setup.server.sessions.values()
    return setup, session, frames


def pause_process(watch, *, suspended):
    """Make a process find, at its next check, that it was paused until now."""
    watch.check_for_pause()
    watch.last_check_at -= PAUSE_S
    if suspended:
        suspended_s = watch.get_suspended_time() + PAUSE_S
        watch.get_suspended_time = lambda: suspended_s


class TestSlowPeer(unittest.TestCase):
    """A peer that takes an answer late, as its process was held."""

    @params(
        # (process that is held, seconds, whether the peer is still waited for)
        ("peer", 2 * SEND_TIMEOUT_S, True),
        ("own", 2 * SEND_TIMEOUT_S, True),
        ("peer", IDLE_PING_S + 10 * SEND_TIMEOUT_S, False),
    )
    def test_runs_go_on_beside_an_answer_that_waits_for_a_while(self, *case):
        """Guards against runs that are broken off since one answer is large."""
        self.check_held_process(*case)

    @on_mock_clock(io=True)
    async def check_held_process(self, held, held_s, stays):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            setup.hold = trio.Event()
            answer = Answer(1, 200, [], bytes(20 * ANSWER_BYTES), 0, Load())
            frames.max_frame_bytes = 2 * len(answer.body)
            await frames.send(with_id(make_call("", 0, b"runs"), 7))
            await trio.sleep(0.1)
            nursery.start_soon(session.send_notification, answer)
            await trio.sleep(0.1)
            if held == "own":
                trio.lowlevel.current_clock().jump(held_s)
                await trio.sleep(0.1)
            else:
                await trio.sleep(held_s)
            self.assertEqual(setup.cancelled, 0 if stays else 1)
            self.assertEqual(len(setup.server.sessions), 1 if stays else 0)
            setup.hold.set()
            if stays:
                self.assertIsInstance(await frames.receive(), Answer)
                self.assertEqual((await frames.receive()).body, b"runs")
            nursery.cancel_scope.cancel()

    @params("policy", "key")
    def test_replies_behind_large_messages_stop_neither_end_from_reading(self, kind):
        """Guards against two ends that each wait until the other one reads."""
        self.check_replies(kind)

    @on_mock_clock(io=True)
    async def check_replies(self, kind):
        async with trio.open_nursery() as nursery:
            memory = RequestMemory(100 * ANSWER_BYTES, DecisionLog())
            setup = Setup(nursery, memory=memory)
            for events in (setup.events, setup.server_events):
                events.on_peer_message = build_replying_handler().on_peer_message
            await setup.start()
            await setup.events.up.wait()
            body, ends = bytes(40 * ANSWER_BYTES), []
            answer = Answer(0, 200, [], body, 0, Load())

            async def call():
                ends.append(len((await setup.call(body)).body))

            (session,) = setup.server.sessions.values()
            ask = PolicyFetch(0) if kind == "policy" else KeyFence(0, "k", "")
            await setup.link.send_notification(ask)
            await session.send_notification(PolicyFetch(0))
            nursery.start_soon(session.send_notification, answer)
            nursery.start_soon(call)
            await trio.sleep(SEND_TIMEOUT_S / 2)
            self.assertEqual(ends, [len(body)])
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_peer_that_takes_nothing_holds_up_no_notification_of_others(self):
        """Guards against peers that learn of a stop or a policy seconds late."""
        async with trio.open_nursery() as nursery:
            setup, session, _ = await connect(nursery)
            answer = Answer(1, 200, [], bytes(20 * ANSWER_BYTES), 0, Load())
            nursery.start_soon(session.send_notification, answer)
            await wait_all_tasks_blocked()
            other = mock.Mock(send_notification=mock.AsyncMock())
            setup.server.sessions["other"] = other
            nursery.start_soon(setup.server.broadcast, PolicyNotice(1, b""))
            await wait_all_tasks_blocked()
            other.send_notification.assert_awaited_once()
            nursery.cancel_scope.cancel()


class TestPause(unittest.TestCase):
    """Input that has arrived during a pause is of unknown age."""

    @params(*range(3))
    def test_requests_over_pauses_at_random_run_or_are_refused(self, seed):
        """None of them is lost, and those that are refused have not run."""
        self.check_random_pauses(random.Random(seed))

    @on_mock_clock(io=True)
    async def check_random_pauses(self, rng):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            results = {}

            async def run_call(call):
                setup.started.append(call.body)
                return await respond_after_steps(rng, call)

            async def call(body):
                await trio.sleep(TICK_S * rng.randrange(PAUSES))
                results[body] = await setup.call(body)

            setup.server.run_call = run_call
            await setup.start()
            await setup.events.up.wait()
            async with trio.open_nursery() as callers:
                for number in range(200):
                    callers.start_soon(call, b"%d" % number)
                for _ in range(PAUSES):
                    await trio.sleep(TICK_S * rng.choice([0.5, 1.0]))
                    pauses = [setup.pause, setup.server.pause]
                    pause_process(rng.choice(pauses), suspended=False)
            answered = [item for item in results if isinstance(results[item], Answer)]
            refused = [item for item in results if item not in answered]
            self.assertEqual(sorted(setup.started), sorted(answered))
            self.assertEqual([results[item].body for item in answered], answered)
            for body in refused:
                self.assertIs(results[body].outcome, Outcome.NOT_RUN)
            self.assertGreater(len(answered), 50)
            self.assertGreater(len(refused), 10)
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_answer_that_arrived_during_a_pause_is_delivered(self, suspended):
        self.check_answer(suspended)

    @on_mock_clock(io=True)
    async def check_answer(self, suspended):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            results = []

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                first, second = [await frames.receive() for _ in range(2)]
                await frames.send(Answer(first.id, 200, [], b"old", 0, Load()))
                pause_process(setup.pause, suspended=suspended)
                await trio.sleep(1.0)
                await frames.send(Answer(second.id, 200, [], b"new", 0, Load()))
                await trio.sleep_forever()

            async def call():
                results.append(await setup.call())

            nursery.start_soon(setup.pause.run)
            await setup.start(serve)
            await setup.events.up.wait()
            nursery.start_soon(call)
            nursery.start_soon(call)
            await trio.sleep(2.0)
            self.assertEqual(setup.pause.pauses, 1)
            self.assertEqual([item.body for item in results], [b"old", b"new"])
            self.assertEqual(setup.events.downs, [])
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_word_of_a_peer_whose_age_is_unknown_is_not_relied_on(self, suspended):
        """Guards against a fence that has expired, and a list that is out of date."""
        self.check_old_word(suspended)

    @on_mock_clock(io=True)
    async def check_old_word(self, suspended):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            page = FeedPage(0, 1, 0, -1, False, [])
            new_page = FeedPage(1, 2, 0, -1, False, [])

            async def serve(stream):
                frames = FrameStream(stream, max_frame_bytes=10_000)
                await setup.server.perform_handshake(frames)
                fence = await frames.receive()
                await frames.send(KeyReport(fence.id, True, "", PAUSE_S))
                await frames.send(page)
                pause_process(setup.pause, suspended=suspended)
                await trio.sleep(2 * PAUSE_S)
                await frames.send(new_page)
                await trio.sleep_forever()

            nursery.start_soon(setup.pause.run)
            await setup.start(serve)
            await setup.events.up.wait()
            pending = PendingRequest(lambda: None)
            await setup.link.send_request(KeyFence(0, "k", "orders-1#1"), pending)
            await trio.sleep(1.0)
            self.assertIs(pending.result.outcome, Outcome.UNKNOWN)
            self.assertEqual(setup.events.messages, [])
            await trio.sleep(2 * PAUSE_S)
            self.assertEqual(setup.events.messages, [new_page])
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_run_for_a_peer_goes_on_after_a_pause(self, suspended):
        self.check_run(suspended)

    @on_mock_clock(io=True)
    async def check_run(self, suspended):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            nursery.start_soon(setup.server.pause.run)
            setup.hold = trio.Event()
            await frames.send(with_id(make_call("", 0, b"runs"), 1))
            await trio.sleep(0.1)
            await frames.send(Ping(1))
            pause_process(setup.server.pause, suspended=suspended)
            await trio.sleep(0.1)
            self.assertEqual((await frames.receive()).sequence, 1)
            setup.hold.set()
            self.assertEqual((await frames.receive()).body, b"runs")
            self.assertEqual(setup.server.pause.pauses, 1)
            self.assertEqual(setup.cancelled, 0)
            nursery.cancel_scope.cancel()

    @params(
        # (seconds that the call may take, whether it runs after the pause)
        (0.5 * PAUSE_S, False),
        (10 * PAUSE_S, True),
    )
    def test_waiting_call_keeps_its_deadline_over_a_pause(self, budget_s, runs):
        self.check_waiting(budget_s, runs)

    @on_mock_clock(io=True)
    async def check_waiting(self, budget_s, runs):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            nursery.start_soon(setup.server.pause.run)
            section = ServiceSection(
                owner="test", slots=1, slow_start=0, queue=2, queue_wait=9.0
            )
            admission = Admission(section, DecisionLog())
            permit = await admission.acquire_slot(make_item(60.0))

            async def run_call(call):
                result = await admission.acquire_slot(make_item(call.budget_us / 1e6))
                if isinstance(result, Failure):
                    fields = (result.reason, result.outcome, "", None, 0, Load())
                    return Refusal(call.id, *fields)
                return await setup.run_call(call)

            setup.server.run_call = run_call
            call = make_call("", 0, b"waits")
            call.budget_us = int(budget_s * 1e6)
            await frames.send(call)
            await trio.sleep(0.1)
            self.assertEqual(admission.queued, 1)
            await frames.send(Ping(1))
            trio.lowlevel.current_clock().jump(PAUSE_S)
            await trio.sleep(0.1)
            self.assertEqual(setup.server.pause.pauses, 1)
            admission.release_slot(permit, seconds=PAUSE_S)
            received = [await frames.receive() for _ in range(2)]
            (response,) = [item for item in received if not isinstance(item, Pong)]
            self.assertEqual(setup.started, [b"waits"] if runs else [])
            if not runs:
                self.assertIs(response.outcome, Outcome.NOT_RUN)
            self.assertEqual(setup.cancelled, 0)
            nursery.cancel_scope.cancel()

    @params(False, True)
    def test_call_whose_age_is_unknown_is_refused_as_not_run(self, suspended):
        self.check_old_call(suspended)

    @on_mock_clock(io=True)
    async def check_old_call(self, suspended):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            nursery.start_soon(setup.server.pause.run)
            used_before = setup.server.memory.used_bytes
            old = [
                make_call("", 0, b"old"),
                make_call("", 0, bytes(2 * SMALL_BODY_BYTES)),
            ]
            for number, call in enumerate(old):
                await frames.send(with_id(call, number))
            pause_process(setup.server.pause, suspended=suspended)
            refusals = [await frames.receive() for _ in old]
            self.assertEqual({refusal.id for refusal in refusals}, {0, 1})
            for refusal in refusals:
                self.assertIs(refusal.outcome, Outcome.NOT_RUN)
            # The network may hold back what was sent for about as long as it was away.
            await trio.sleep(2 * PAUSE_S if suspended else 0.1)
            await frames.send(with_id(make_call("", 0, b"new"), 7))
            self.assertEqual((await frames.receive()).body, b"new")
            self.assertEqual(setup.started, [b"new"])
            self.assertEqual(setup.server.memory.used_bytes, used_before)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_call_that_the_network_held_back_is_refused_as_not_run(self):
        async with trio.open_nursery() as nursery:
            setup, _, frames = await connect(nursery)
            nursery.start_soon(setup.server.pause.run)
            pause_process(setup.server.pause, suspended=True)
            setup.server.pause.check_for_pause()
            await trio.sleep(0.9 * PAUSE_S)
            await frames.send(with_id(make_call("", 0, b"old"), 1))
            self.assertIs((await frames.receive()).outcome, Outcome.NOT_RUN)
            self.assertEqual(setup.started, [])
            nursery.cancel_scope.cancel()

    @params(
        # (message, whether the connection ends before it is complete)
        (make_call("", 0, bytes(20 * ANSWER_BYTES)), True),
        (Answer(1, 200, [], bytes(20 * ANSWER_BYTES), 0, Load()), False),
    )
    def test_message_with_a_time_is_not_completed_after_a_pause(self, message, ends):
        """Its receiver would count the time from when it has read all of it."""
        self.check_incomplete(message, ends)

    @on_mock_clock(io=True)
    async def check_incomplete(self, message, ends):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            frames.max_frame_bytes = 2 * len(message.body)
            nursery.start_soon(setup.server.pause.run)
            nursery.start_soon(session.send_notification, message)
            await trio.sleep(0.1)
            pause_process(setup.server.pause, suspended=False)
            await trio.sleep(0.3)
            received = await frames.receive()
            self.assertEqual(received is None, ends)
            nursery.cancel_scope.cancel()

    @params(make_call("", 0), FeedPage(0, 1, 0, -1, False, []))
    def test_message_that_waits_behind_another_ends_no_link(self, message):
        """Guards against the loss of all runs of a link as one message is not sent."""
        self.check_old_message_that_waits(message)

    @on_mock_clock(io=True)
    async def check_old_message_that_waits(self, message):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            answer = Answer(1, 200, [], bytes(20 * ANSWER_BYTES), 0, Load())
            frames.max_frame_bytes = 2 * len(answer.body)
            nursery.start_soon(setup.server.pause.run)
            nursery.start_soon(session.send_notification, answer)
            await trio.sleep(0.1)
            results, ended = [], trio.Event()

            async def send():
                results.append(await session.send_notification(message))
                ended.set()

            nursery.start_soon(send)
            await trio.sleep(0.1)
            pause_process(setup.server.pause, suspended=False)
            await trio.sleep(0.3)
            self.assertIsInstance(await frames.receive(), Answer)
            await session.send_notification(Pong(1, Load(), 0, b""))
            self.assertIsInstance(await frames.receive(), Pong)
            await ended.wait()
            self.assertEqual(results, [False])
            nursery.cancel_scope.cancel()

    @params(
        # (seconds of the pause, seconds of the other runs after it)
        (PAUSE_S, 0.1),
        (PAUSE_S, 4 * IDLE_PING_S),
        (2 * SEND_TIMEOUT_S, 0.1),
    )
    def test_calls_beside_an_upload_that_is_not_completed_are_answered(self, *case):
        """Guards against 502 for calls that had run, as one upload is given up."""
        for seed in range(4):
            on_mock_clock(self.check_beside_upload, io=True, seed=seed)(*case)

    async def check_beside_upload(self, pause_s, run_s):
        async with trio.open_nursery() as nursery:
            setup = Setup(
                nursery, memory=RequestMemory(20 * ANSWER_BYTES, DecisionLog())
            )
            setup.hold = trio.Event()
            gate = trio.Event()
            gate.set()
            upload = bytes(10 * ANSWER_BYTES)
            results = {}

            async def serve(stream):
                setup.server.pause.check_for_pause()
                await setup.server.serve_connection(GatedStream(stream, lambda: gate))

            async def call(body):
                results[body] = await setup.call(body)

            nursery.start_soon(setup.pause.run)
            await setup.start(serve)
            await setup.events.up.wait()
            for body in (b"a", b"b"):
                nursery.start_soon(call, body)
            await trio.sleep(0.1)
            gate = trio.Event()
            nursery.start_soon(call, upload)
            await trio.sleep(0.1)
            trio.lowlevel.current_clock().jump(pause_s)
            await trio.sleep(0.1)
            gate.set()
            await trio.sleep(0.5)
            self.assertIs(results[upload].outcome, Outcome.NOT_RUN)
            # Other calls have a new connection meanwhile.
            nursery.start_soon(call, b"new")
            await trio.sleep(run_s)
            self.assertEqual(setup.started, [b"a", b"b", b"new"])
            self.assertEqual(list(results), [upload])
            setup.hold.set()
            await trio.sleep(0.5)
            bodies = [results[body].body for body in (b"a", b"b", b"new")]
            self.assertEqual(bodies, [b"a", b"b", b"new"])
            self.assertEqual(setup.cancelled, 0)
            self.assertEqual(setup.link.get_connections(), [setup.link.frames])
            self.assertEqual(len(setup.server.sessions), 1)
            nursery.cancel_scope.cancel()


class GatedStream(trio.abc.Stream):
    """Connection that is read only while a gate is open."""

    def __init__(self, stream, get_gate):
        self.stream = stream
        self.get_gate = get_gate

    async def receive_some(self, max_bytes=None):
        await self.get_gate().wait()
        return await self.stream.receive_some(max_bytes)

    async def send_all(self, data):
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def aclose(self):
        await self.stream.aclose()


def make_item(seconds):
    deadline = trio.current_time() + seconds
    return WorkItem(rank=0, deadline=deadline, call_class="place-order", path="/orders")


def with_id(call, number):
    call.id = number
    return call


class TestClose(unittest.TestCase):
    """Close of a peer's connection at the end of a stop."""

    @params(fcntl.ioctl, mock.Mock(side_effect=OSError(errno.ENOTTY, "no queue")))
    def test_late_message_of_a_peer_does_not_destroy_its_answer(self, ioctl):
        """Guards against a reset, also where the size of send queues is unknown."""
        with mock.patch.object(fcntl, "ioctl", ioctl):
            self.check_answer_arrives()

    @on_mock_clock(io=True)
    async def check_answer_arrives(self):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            answer = Answer(1, 200, [], bytes(ANSWER_BYTES), 0, Load())
            nursery.start_soon(session.send_notification, answer)
            await trio.sleep(0.1)
            ends_at = trio.current_time() + CLOSE_S
            nursery.start_soon(setup.server.close_connections, ends_at)
            await trio.sleep(0.1)
            await frames.send(Ping(1))
            await trio.sleep(0.1)
            self.assertEqual(await frames.receive(), answer)
            self.assertIsNone(await frames.receive())
            await frames.close()
            await trio.sleep(0.1)
            self.assertEqual(setup.server.sessions, {})
            self.assertLess(trio.current_time(), ends_at)
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_answer_that_waits_behind_another_is_delivered_at_the_close(self):
        """Guards against a run whose answer is dropped as the link is slow."""
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            answer = Answer(1, 200, [], bytes(20 * ANSWER_BYTES), 0, Load())
            frames.max_frame_bytes = 2 * len(answer.body)
            nursery.start_soon(session.send_notification, answer)
            await trio.sleep(0.1)
            await frames.send(with_id(make_call("", 0, b"ended"), 7))
            await trio.sleep(0.1)
            ends_at = trio.current_time() + CLOSE_S
            nursery.start_soon(setup.server.close_connections, ends_at)
            await trio.sleep(0.1)
            self.assertIsInstance(await frames.receive(), Answer)
            self.assertEqual((await frames.receive()).body, b"ended")
            self.assertIsNone(await frames.receive())
            await trio.sleep(0.1)
            self.assertEqual(setup.server.sessions, {})
            self.assertLess(trio.current_time(), ends_at)
            nursery.cancel_scope.cancel()

    @params(ANSWER_BYTES, 10 * ANSWER_BYTES)
    @on_mock_clock(io=True)
    async def test_peer_that_does_not_read_is_waited_for_until_the_end(self, size):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery)
            answer = Answer(1, 200, [], bytes(size), 0, Load())
            nursery.start_soon(session.send_notification, answer)
            await trio.sleep(0.1)
            started_at = trio.current_time()
            await setup.server.close_connections(started_at + CLOSE_S)
            self.assertAlmostEqual(trio.current_time() - started_at, CLOSE_S)
            await trio.sleep(0.1)
            self.assertEqual(setup.server.sessions, {})
            nursery.cancel_scope.cancel()

    @params("socket", "memory")
    @on_mock_clock(io=True)
    async def test_close_with_nothing_on_its_way_takes_no_time(self, kind):
        async with trio.open_nursery() as nursery:
            setup, session, frames = await connect(nursery, kind)
            # What a peer sends acknowledges what it has received.
            await frames.send(Cancel(1))
            await trio.sleep(0.1)
            started_at = trio.current_time()
            await setup.server.close_connections(started_at + CLOSE_S)
            self.assertEqual(trio.current_time(), started_at)
            self.assertEqual(setup.server.sessions, {})
            self.assertIsNone(await frames.receive())
            nursery.cancel_scope.cancel()


def fields_after_version(message):
    return [getattr(message, name) for name in message.__struct_fields__[1:]]


async def record_messages(setup, messages, stream):
    """Take messages from a link and answer none."""
    frames = FrameStream(stream, max_frame_bytes=10_000)
    await setup.server.perform_handshake(frames)
    while (message := await frames.receive()) is not None:
        messages.append(message)


async def serve_until_silent(setup, stream):
    """Perform the handshake, then read without responding."""
    frames = FrameStream(stream, max_frame_bytes=10_000)
    await setup.server.perform_handshake(frames)
    while await frames.receive():
        pass


class TestDisconnect(unittest.TestCase):
    @on_mock_clock(io=True)
    async def test_closing_ends_a_send_that_the_peer_does_not_take(self):
        async def accept_without_reading(stream):
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            nursery.start_soon(trio.serve_listeners, accept_without_reading, listeners)
            port = listeners[0].socket.getsockname()[1]
            stream = await trio.open_tcp_stream(HOST, port)
            frames = FrameStream(stream, max_frame_bytes=10_000)
            started = trio.current_time()

            async def send():
                call = make_call(key="", attempt=0)
                call.body = b"x" * 32 * 1024 * 1024
                with self.assertRaises(trio.ClosedResourceError):
                    await frames.send(call)
                self.assertLess(trio.current_time() - started, 1.0)
                nursery.cancel_scope.cancel()

            nursery.start_soon(send)
            await trio.sleep(0.2)
            await frames.close()
