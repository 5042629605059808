"""Tests of the end of accepting, on real connections."""

import contextlib
import errno
import socket
import unittest
from unittest import mock

import trio
from nose2.tools import params

from catkinpost.protocol.settings import Address
from catkinpost.transport import acceptor
from catkinpost.transport.acceptor import (
    END_TIMEOUT_S,
    MAX_OPEN_RETRY_S,
    Acceptor,
    AcceptQueue,
    CallerGate,
    accept_connection,
    keep_all,
)
from tests.clock import on_mock_clock
from tests.shortage import no_free_descriptors

HOST = "127.0.0.1"
BACKLOG = 30
WAITING = 20
TURN_S = 0.25


def fail_once(error, function):
    """Return a function that raises an error at its second call."""
    calls = []

    def call(*args):
        calls.append(args)
        if len(calls) == 2:
            raise error
        return function(*args)

    return call


class Setup:
    """Acceptor whose connections are recorded."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.accepted = []
        self.acceptor = Acceptor(BACKLOG)

    async def record(self, stream):
        self.accepted.append(stream)
        await trio.sleep_forever()

    async def start(self, serve=None):
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        self.port = listeners[0].socket.getsockname()[1]
        serve = serve or self.record
        self.nursery.start_soon(self.acceptor.run, serve, listeners, self.nursery)

    async def listen(self, port):
        self.port = port
        address = Address(HOST, port)
        await self.nursery.start(
            self.acceptor.listen, address, self.record, self.nursery
        )

    def connect_now(self):
        """Connect and send in the current step of the event loop."""
        caller = socket.create_connection((HOST, self.port))
        caller.send(b"request")
        return caller


class TestCallerGate(unittest.TestCase):
    @params(
        # (connections, of which other memory takes the place, whether it is full)
        (199, 0, False),
        (200, 0, True),
        (100, 100, True),
        (99, 100, False),
        (63, 10_000, False),
        (64, 10_000, True),
    )
    def test_connections_have_the_room_that_other_memory_leaves(
        self, count, taken, is_full
    ):
        """Guards against bodies and connections that fill a machine together."""
        gate = CallerGate(
            count_connections=lambda: count,
            make_room=keep_all,
            reserved_descriptors=0,
            max_connections=200,
        )
        gate.count_taken = lambda: taken
        self.assertEqual(gate.is_full, is_full)


class TestAcceptor(unittest.TestCase):
    @params(0, WAITING)
    def test_connections_that_wait_are_accepted_at_the_end(self, count):
        """Guards against requests that are reset unread as the listener closes."""
        self.check_end(count)

    @on_mock_clock(io=True)
    async def check_end(self, count):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await trio.sleep(0.1)
            callers = [setup.connect_now() for _ in range(count)]
            await setup.acceptor.stop()
            # Their tasks have run already: a stop looks at them next.
            self.assertEqual(len(setup.accepted), count)
            for stream in setup.accepted:
                self.assertEqual(await stream.receive_some(100), b"request")
            with self.assertRaises(OSError):
                setup.connect_now()
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()

    @params(
        # (whether the acceptor stops meanwhile, connections to close, accepted)
        (False, 1, 1),
        (False, 0, 0),
        (True, 1, 1),
        (True, 0, 0),
    )
    def test_connection_is_accepted_when_another_makes_room(self, *case):
        """Guards against callers that nobody answers, as descriptors have run out."""
        self.check_shortage(*case)

    @on_mock_clock(io=True)
    async def check_shortage(self, is_stopped, can_close, accepted):
        async with trio.open_nursery() as nursery:
            setup, closed = Setup(nursery), []
            accept = AcceptQueue.accept

            def make_room():
                closed.extend([1] * can_close)
                return can_close

            def accept_if_room(queue):
                if not closed:
                    raise OSError(errno.EMFILE, "no descriptor is left")
                return accept(queue)

            with mock.patch.object(AcceptQueue, "accept", accept_if_room):
                setup.acceptor.make_room = make_room
                await setup.start()
                await trio.sleep(0.1)
                caller = setup.connect_now()
                if is_stopped:
                    await setup.acceptor.stop()
                else:
                    await trio.sleep(0.05)
                self.assertEqual(len(setup.accepted), accepted)
            caller.close()
            nursery.cancel_scope.cancel()

    @params(
        # (error of each accept, whether the process has no descriptor left)
        (OSError(errno.ENOMEM, "no memory is left"), False),
        (None, True),
    )
    def test_failure_to_accept_does_not_fail_the_end(self, *case):
        """Guards against a stop that ends the process with its requests."""
        self.check_failing_end(*case)

    @on_mock_clock(io=True)
    async def check_failing_end(self, error, is_short):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await trio.sleep(0.1)
            caller = setup.connect_now()
            with contextlib.ExitStack() as stack:
                if is_short:
                    stack.enter_context(no_free_descriptors())
                else:
                    fail = mock.patch.object(AcceptQueue, "accept", side_effect=error)
                    stack.enter_context(fail)
                await setup.acceptor.stop()
            self.assertFalse(setup.acceptor.is_listening)
            self.assertEqual(setup.accepted, [])
            caller.close()
            nursery.cancel_scope.cancel()

    @params(
        (acceptor, "count_waiting_callers"),
        (acceptor, "log_message"),
        (AcceptQueue, "accept"),
    )
    def test_exception_at_the_end_does_not_end_the_process(self, *place):
        """Guards against a stop that cuts all requests in progress."""
        self.check_exception_at_the_end(*place)

    @on_mock_clock(io=True)
    async def check_exception_at_the_end(self, part, name):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            caller = setup.connect_now()
            await trio.sleep(0.1)
            self.assertEqual(len(setup.accepted), 1)
            with mock.patch.object(part, name, side_effect=ValueError) as fail:
                await setup.acceptor.stop()
                await trio.sleep(0.1)
            fail.assert_called()
            self.assertFalse(setup.acceptor.is_listening)
            # The request in progress goes on.
            self.assertEqual(await setup.accepted[0].receive_some(100), b"request")
            caller.close()
            nursery.cancel_scope.cancel()

    @params("listener", "outgoing connection")
    def test_address_in_use_is_waited_for(self, holder):
        """Guards against a process that ends as its predecessor is still there."""
        self.check_address_in_use(holder)

    @on_mock_clock(io=True)
    async def check_address_in_use(self, holder):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            with self.hold_port(holder) as port:
                await setup.listen(port)
                await trio.sleep(2.0)
                self.assertFalse(setup.acceptor.is_listening)
            await trio.sleep(MAX_OPEN_RETRY_S)
            self.assertTrue(setup.acceptor.is_listening)
            caller = setup.connect_now()
            await setup.acceptor.stop()
            self.assertEqual(len(setup.accepted), 1)
            caller.close()
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_acceptor_that_waits_for_its_address_stops_at_once(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            with self.hold_port("listener") as port:
                await setup.listen(port)
                await setup.acceptor.stop()

    @contextlib.contextmanager
    def hold_port(self, holder):
        with socket.create_server((HOST, 0)) as server:
            if holder == "listener":
                yield server.getsockname()[1]
                return
            # A port that is bound is nobody else's, unlike one that a connect chooses.
            address, source = server.getsockname(), (HOST, 0)
            with socket.create_connection(address, source_address=source) as caller:
                yield caller.getsockname()[1]
                # The side that closes first would keep the port for a minute.
                server.accept()[0].close()
                caller.recv(1)

    @on_mock_clock(io=True)
    async def test_failure_to_accept_does_not_end_accepting(self):
        """Guards against a process that ends, and cuts all its requests."""
        async with trio.open_nursery() as nursery:
            setup, accept = Setup(nursery), AcceptQueue.accept
            failures = [OSError(errno.EIO, "I/O error"), ValueError()]

            def accept_or_fail(queue):
                if failures:
                    raise failures.pop()
                return accept(queue)

            with mock.patch.object(AcceptQueue, "accept", accept_or_fail):
                await setup.start()
                caller = setup.connect_now()
                await trio.sleep(1.0)
            self.assertEqual(failures, [])
            self.assertEqual(len(setup.accepted), 1)
            caller.close()
            nursery.cancel_scope.cancel()

    @params("serve", "aclose_forcefully")
    def test_exception_in_one_connection_does_not_end_the_others(self, place):
        """Guards against a process that ends as the close of a connection fails."""
        self.check_failing_connection(place)

    @on_mock_clock(io=True)
    async def check_failing_connection(self, place):
        async with trio.open_nursery() as nursery:
            setup, fail = Setup(nursery), mock.AsyncMock(side_effect=ValueError)
            await setup.start(fail if place == "serve" else mock.AsyncMock())
            other = setup.connect_now()
            with contextlib.ExitStack() as stack:
                if place != "serve":
                    stack.enter_context(mock.patch.object(trio, place, fail))
                await trio.sleep(0.1)
            fail.assert_awaited_once()
            self.assertTrue(setup.acceptor.is_listening)
            other.close()
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_acceptor_that_never_ran_stops_at_once(self):
        async with trio.open_nursery() as nursery:
            await Setup(nursery).acceptor.stop()

    @on_mock_clock(io=True)
    async def test_callers_do_not_wait_for_the_turns_of_a_busy_process(self):
        """Guards against callers that nobody accepts for seconds."""
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)

            async def keep_busy():
                while True:
                    trio.lowlevel.current_clock().jump(TURN_S)
                    await trio.lowlevel.checkpoint()

            await setup.start()
            await trio.sleep(0.1)
            callers = [setup.connect_now() for _ in range(WAITING)]
            nursery.start_soon(keep_busy)
            await trio.sleep(4 * TURN_S)
            self.assertEqual(len(setup.accepted), WAITING)
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_busy_process_leaves_no_caller_in_the_queue(self):
        """Guards against requests that are reset unread as the listener closes."""
        async with trio.open_nursery() as nursery:
            setup, first_step_s = Setup(nursery), END_TIMEOUT_S / 2

            async def take_long(stream):
                trio.lowlevel.current_clock().jump(first_step_s)
                await setup.record(stream)

            await setup.start(take_long)
            await trio.sleep(0.1)
            callers = [setup.connect_now() for _ in range(WAITING)]
            started_at = trio.current_time()
            await setup.acceptor.stop()
            self.assertEqual(len(setup.accepted), WAITING)
            # The end itself takes no time beside these steps, which all must have.
            took_s = trio.current_time() - started_at - WAITING * first_step_s
            self.assertLess(took_s, END_TIMEOUT_S)
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()

    @params(errno.ECONNABORTED, errno.EPROTO, errno.EHOSTUNREACH)
    def test_lost_connection_does_not_end_accepting_at_a_stop(self, number):
        """Guards against callers that are reset behind one that has gone."""
        self.check_lost(number)

    @on_mock_clock(io=True)
    async def check_lost(self, number):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            await setup.start()
            await trio.sleep(0.1)
            callers = [setup.connect_now() for _ in range(3)]
            with mock.patch.object(acceptor, "accept_connection") as accept_one:
                error = OSError(number, "gone")
                accept_one.side_effect = fail_once(error, accept_connection)
                await setup.acceptor.stop()
            self.assertEqual(len(setup.accepted), 3)
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()

    @on_mock_clock(io=True)
    async def test_callers_that_never_stop_coming_do_not_delay_the_end(self):
        async with trio.open_nursery() as nursery:
            setup = Setup(nursery)
            callers = []

            async def record_and_call_again(stream):
                with contextlib.suppress(OSError):
                    callers.append(setup.connect_now())
                await setup.record(stream)

            await setup.start(record_and_call_again)
            await trio.sleep(0.1)
            callers.append(setup.connect_now())
            await setup.acceptor.stop()
            self.assertLessEqual(len(setup.accepted), BACKLOG + 2)
            for caller in callers:
                caller.close()
            nursery.cancel_scope.cancel()
