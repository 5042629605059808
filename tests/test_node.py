"""Tests of the assembly of a node from its parts."""

import dataclasses
import signal
import socket
import unittest
from unittest import mock

import msgspec
import trio
from nose2.tools import params

from catkinpost.command.client import print_status
from catkinpost.coordination.admission.admission import WorkItem
from catkinpost.coordination.limits.ring import SHARES
from catkinpost.coordination.limits.use import OVER_LIMIT, SENT
from catkinpost.coordination.operation.operator_api import render_metrics
from catkinpost.native import NativeEnvironment
from catkinpost.node import Node
from catkinpost.protocol.message import ServerNotice
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import Mode
from catkinpost.protocol.settings import parse_settings
from catkinpost.state.instance_view import InstanceState
from tests.clock import on_mock_clock
from tests.coordination.at_most_once.test_once import make_instance
from tests.protocol.test_settings import GOOD

HOST = "127.0.0.1"
ANY_PORT = f"{HOST}:0"
PEERS = 50
POLICY = """\
[service orders]
owner = sales
slots = 7
crash_guard = observe
"""

LIMITED_WORKSPACE = """
[workspace lab]
owner = sales
rate = 3
burst = 60
"""


class TestNode(unittest.TestCase):
    @on_mock_clock
    async def test_pause_of_the_process_ends_the_watch_over_keys(self):
        node = Node(parse_settings(GOOD), NativeEnvironment())
        node.replicas.watch_started_at = trio.current_time()
        node.pause_watch.check_for_pause()
        await trio.sleep(10)
        self.assertEqual(node.replicas.get_watched_s(), 10)
        node.pause_watch.check_for_pause()
        self.assertEqual(node.replicas.get_watched_s(), 0)

    @params((32, True), (1, True), (1, False))
    @on_mock_clock
    async def test_largest_allowed_body_fits_with_its_head(self, memory_mib, is_peer):
        """Guards against a 413 on small nodes, and a refusal by every peer."""
        settings = parse_settings(GOOD)
        bounds = msgspec.structs.replace(
            settings.bounds,
            max_body_bytes=960 * 1024,
            request_memory_bytes=memory_mib * 1024 * 1024,
        )
        settings = dataclasses.replace(settings, bounds=bounds)
        memory = Node(settings, NativeEnvironment()).request_memory
        head_bytes = bounds.max_head_bytes if is_peer else 0
        reservation = await memory.reserve(bounds.max_body_bytes + head_bytes)
        self.assertNotIsInstance(reservation, Failure)

    @on_mock_clock
    async def test_exception_in_a_task_of_the_node_does_not_end_it(self):
        """Guards against a process that ends, and cuts all its requests."""
        node = Node(parse_settings(GOOD), NativeEnvironment())
        starts = []

        async def check():
            starts.append(trio.current_time())
            if len(starts) < 3:
                raise ValueError

        await node.supervise(check)
        self.assertEqual(len(starts), 3)
        self.assertEqual(node.metrics.counters["internal-error"], 2)

    @on_mock_clock
    async def test_policy_reaches_the_parts_that_hold_its_sections(self):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            node.exchange.apply_document(1, POLICY)
            self.assertEqual(node.executor.admission.section.slots, 7)
            self.assertEqual(node.crash_guard.mode, Mode.OBSERVE)

    @on_mock_clock
    async def test_instance_listed_as_leaving_takes_no_new_work(self):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            own = make_instance("orders-1", InstanceState.LEAVING)
            change = node.view.apply_list(1, [own], 0.0)
            node.on_list_changed(change)
            self.assertTrue(node.is_leaving)
            self.assertTrue(node.executor.get_load().leaving)

    @on_mock_clock
    async def test_operators_see_workspaces_and_the_shares_of_their_limits(self):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            node.exchange.apply_document(1, POLICY + LIMITED_WORKSPACE)
            node.on_list_changed(
                node.view.apply_list(1, [make_instance("orders-1")], 0.0)
            )
            node.list_age.confirm(trio.current_time())
            while not isinstance(failure := await node.limits.acquire("lab"), Failure):
                node.workspace_use.record("lab", SENT)
            self.assertIs(failure.reason, Reason.WORKSPACE_LIMIT)
            status = node.environment.api.build_status()
            (row,) = status.workspaces
            self.assertEqual((row.workspace, row.rate, row.burst), ("lab", 3.0, 60.0))
            self.assertEqual(row.keepers, ["orders-1"] * SHARES)
            self.assertEqual(row.events[OVER_LIMIT], 1)
            granted = [share.granted for share in row.shares]
            self.assertEqual(sum(granted), row.events[SENT])
            self.assertFalse(any(share.settled for share in row.shares))
            metrics = render_metrics(node.metrics, status).decode()
            labels = '{event="over limit",workspace="lab"}'
            self.assertIn(f"catkinpost_workspace_requests_total{labels} 1.0", metrics)
            self.assertIn('catkinpost_workspace_credit{share="5"', metrics)
            with mock.patch("typer.echo") as echo:
                print_status(status)
            lines = [call.args[0] for call in echo.call_args_list]
            self.assertTrue(any("3/s + 60" in line for line in lines), lines)
            self.assertTrue(any("being taken over" in line for line in lines), lines)
            nursery.cancel_scope.cancel()

    @params(
        # (how the leaving is learned, whether a waiter is refused in time)
        ("list", True),
        ("server", True),
        ("health", True),
        ("removal", True),
        ("planned stop", False),
        ("taken back", False),
    )
    def test_waiting_request_does_not_reach_a_server_that_has_left(self, cause, ends):
        self.check_waiter(cause, ends)

    @on_mock_clock
    async def check_waiter(self, cause, ends):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            self.list_own_instance(node, "a")
            admission = node.executor.admission
            section = msgspec.structs.replace(admission.section, slots=1, min_slots=1)
            admission.update_section(section)
            refused_at = []

            async def enter():
                item = WorkItem(
                    rank=0,
                    deadline=trio.current_time() + 60.0,
                    call_class="place-order",
                    path="/orders",
                )
                if isinstance(await admission.acquire_slot(item), Failure):
                    refused_at.append(trio.current_time())

            for _ in range(2):
                nursery.start_soon(enter)
                await trio.sleep(0.1)
            left_at = trio.current_time() + node.settings.bounds.server_drain
            self.announce_leaving(node, cause)
            await trio.sleep(30.0)
            self.assertEqual([at < left_at for at in refused_at], [True] * ends)
            nursery.cancel_scope.cancel()

    def announce_leaving(self, node, cause):
        if cause == "server":
            node.executor.monitor.record_notice(ServerNotice("a", None, True))
        elif cause == "health":
            node.environment.backend_watch.on_draining()
        elif cause == "removal":
            node.on_list_changed(node.view.apply_list(node.view.version + 1, [], 0.0))
        elif cause == "planned stop":
            node.planned_stop.request()
            node.start_leaving("a planned stop was asked for")
        else:
            own = make_instance("orders-1", InstanceState.LEAVING)
            own = dataclasses.replace(own, incarnation="a")
            change = node.view.apply_list(node.view.version + 1, [own], 0.0)
            node.on_list_changed(change)
            if cause == "taken back":
                self.list_own_instance(node, "b")

    @on_mock_clock
    async def test_time_of_a_leaving_server_counts_from_when_it_was_first_read(self):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            await trio.sleep(5.0)
            now = trio.current_time()
            ends = []
            for since in (now - 2.0, now):
                own = dataclasses.replace(
                    make_instance("orders-1", InstanceState.LEAVING),
                    leaving_since=since,
                )
                version = node.view.version + 1
                node.on_list_changed(node.view.apply_list(version, [own], now))
                ends.append(node.executor.admission.windows["drain"].ends_at)
            drain_s = node.settings.bounds.server_drain
            self.assertEqual(ends[0], ends[1])
            self.assertLess(ends[0], now - 2.0 + drain_s)
            nursery.cancel_scope.cancel()

    @params(
        # (incarnations listed before and after the server "a" announces its leaving,
        # whether new work is refused)
        ([], [], True),
        (["a"], [], True),
        (["a"], ["b"], False),
        # The list was behind the server.
        (["0"], [], True),
        (["0"], ["a"], True),
        (["0"], ["a", "b"], False),
        # The answer of a predecessor came late.
        (["a", "b"], [], False),
        (["a", None, "b"], [], False),
        (["a", "b", "a"], [], True),
    )
    def test_backend_server_that_announces_its_leaving(self, before, after, refused):
        self.check_announced(before, after, refused)

    @on_mock_clock
    async def check_announced(self, before, after, refused):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            for incarnation in before:
                self.list_own_instance(node, incarnation)
            node.executor.monitor.record_notice(ServerNotice("a", None, True))
            for incarnation in after:
                self.list_own_instance(node, incarnation)
            self.assertEqual(node.is_leaving, refused)
            nursery.cancel_scope.cancel()

    def list_own_instance(self, node, incarnation):
        """List the instance, or an empty list if it has no incarnation."""
        own = dataclasses.replace(make_instance("orders-1"), incarnation=incarnation)
        listed = [] if incarnation is None else [own]
        version = node.view.version + 1
        node.on_list_changed(node.view.apply_list(version, listed, 0.0))

    @params("a", "b")
    def test_instance_that_is_listed_again_takes_work(self, incarnation):
        """Regression: a server whose entry had lapsed got no work for good."""
        self.check_listed_again(incarnation)

    @on_mock_clock
    async def check_listed_again(self, incarnation):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            self.list_own_instance(node, "a")
            node.on_list_changed(node.view.apply_list(node.view.version + 1, [], 0.0))
            self.assertTrue(node.is_leaving)
            messages = []
            node.broadcast = messages.append
            self.list_own_instance(node, incarnation)
            self.assertFalse(node.is_leaving)
            self.assertEqual([message.load.leaving for message in messages], [False])
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_observations_of_a_removed_instance_are_dropped(self):
        async with trio.open_nursery() as nursery:
            node = Node(parse_settings(GOOD), NativeEnvironment())
            node.nursery = nursery
            node.stats.get_or_create("orders-2").failures = 3
            node.on_list_changed(
                node.view.apply_list(1, [make_instance("orders-2")], 0.0)
            )
            node.on_list_changed(node.view.apply_list(2, [], 1.0))
            self.assertEqual(node.stats.get_or_create("orders-2").failures, 0)
            nursery.cancel_scope.cancel()


class TestLife(unittest.TestCase):
    """Guards against a process that ends by itself, and cuts all its requests."""

    @on_mock_clock(io=True)
    async def test_exception_at_a_signal_does_not_lose_the_stop(self):
        """Guards against a node that goes on until the platform kills it."""
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        node = make_listening_node()
        fail = mock.Mock(side_effect=ValueError)
        with mock.patch.object(node.pause_watch, "find_earliest_signal", fail):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.run)
                await trio.sleep(1.0)
                signalled_at = trio.current_time()
                signal.raise_signal(signal.SIGTERM)
        fail.assert_called_once()
        stopped_after_s = trio.current_time() - signalled_at
        self.assertLess(stopped_after_s, node.settings.bounds.stop_timeout)

    @on_mock_clock(io=True)
    async def test_exception_beside_the_cancellation_does_not_end_it(self):
        """Guards against a stop in order that ends with a traceback."""
        node = make_listening_node()

        async def fail_when_cancelled():
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError

        async def run():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_when_cancelled)
                await trio.sleep_forever()

        node.environment.run = run
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            await trio.sleep(1.0)
            node.planned_stop.request()
        self.assertEqual(node.metrics.counters["internal-error"], 1)

    @on_mock_clock(io=True)
    async def test_exception_that_can_not_be_logged_does_not_end_it(self):
        """Guards against an end by the report, as memory is short for that as well."""
        node = make_listening_node()
        fail = mock.Mock(side_effect=MemoryError)
        with mock.patch("eliot._traceback._traceback_no_io.format_exception", fail):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.run)
                await trio.sleep(1.0)
                node.spawn(fail)
                await trio.sleep(1.0)
                self.assertEqual(fail.call_count, 2)
                node.planned_stop.request()
        self.assertEqual(node.metrics.counters["internal-error"], 1)

    @on_mock_clock
    async def test_task_that_has_run_for_long_is_started_again_at_once(self):
        node, starts, ends = make_listening_node(), [], []

        async def run():
            starts.append(trio.current_time())
            await trio.sleep(3600.0)
            ends.append(trio.current_time())
            raise ValueError

        with trio.move_on_after(8 * 3600.0):
            await node.supervise(run)
        delays = [start - end for end, start in zip(ends, starts[1:], strict=False)]
        self.assertEqual(len(delays), 7)
        self.assertLess(max(delays), 0.2)

    @params("calls", "peers")
    def test_address_in_use_is_waited_for(self, name):
        self.check_address_in_use(name)

    @on_mock_clock(io=True)
    async def check_address_in_use(self, name):
        with socket.create_server((HOST, 0)) as holder:
            port = holder.getsockname()[1]
            node = make_listening_node(**{name: f"{HOST}:{port}"})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.run)
                await trio.sleep(1.0)
                holder.close()
                await trio.sleep(1.0)
                await (await trio.open_tcp_stream(HOST, port)).aclose()
                node.planned_stop.request()

    @params("links", "peers")
    def test_many_connections_are_closed_within_few_turns_of_the_event_loop(self, kind):
        """Guards against a process that is killed, as it closes one peer at a time."""
        self.check_turns(kind)

    @on_mock_clock
    async def check_turns(self, kind):
        node, turns = make_listening_node(), 0
        for number in range(PEERS):
            frames = mock.Mock(close=trio.lowlevel.checkpoint)
            link = mock.Mock(get_connections=mock.Mock(return_value=[frames]))
            session = mock.Mock(frames=frames)
            session.closed.wait = trio.lowlevel.checkpoint
            if kind == "links":
                node.links.running_links.add(link)
            else:
                node.peer_server.sessions[number] = session

        async def count_turns():
            nonlocal turns
            while True:
                await trio.lowlevel.checkpoint()
                turns += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            await (node.close_links() if kind == "links" else node.close_peers())
            nursery.cancel_scope.cancel()
        self.assertLess(turns, 10)

    @params(
        "planned_stop.watch_signals",
        "planned_stop.log_held",
        "memory_watch.run",
        "environment.run",
        "planned_stop.finish_requests",
        "planned_stop.withdraw_late_attempts",
        "planned_stop.send_key_records",
        "links.close_connections",
    )
    def test_exception_in_one_of_its_tasks_does_not_end_it(self, path):
        self.check_exception(path)

    @params(1, 2, 3, 4, 5)
    def test_exception_at_a_log_line_of_a_stop_does_not_end_it(self, number):
        """Guards against answers that are cut as their callers take them."""
        self.check_log_line(number)

    @on_mock_clock(io=True)
    async def check_log_line(self, number):
        node = make_listening_node()
        stop, calls = node.planned_stop, []
        describe = stop.describe_step

        def fail_at_one():
            calls.append(trio.current_time())
            if len(calls) == number:
                raise ValueError
            return describe()

        with mock.patch.object(stop, "describe_step", fail_at_one):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.run)
                await trio.sleep(1.0)
                stop.request()
        self.assertGreater(len(calls), number)
        self.assertEqual(node.metrics.counters["internal-error"], 1)

    @on_mock_clock(io=True)
    async def check_exception(self, path):
        node = make_listening_node()
        part = node
        *parts, name = path.split(".")
        for item in parts:
            part = getattr(part, item)
        function = getattr(part, name)
        failures = [ValueError()]

        async def fail_once():
            if failures:
                raise failures.pop()
            await function()

        with mock.patch.object(part, name, fail_once):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node.run)
                await trio.sleep(1.0)
                requested_at = trio.current_time()
                node.planned_stop.request()
        self.assertEqual(failures, [])
        self.assertEqual(node.metrics.counters["internal-error"], 1)
        stopped_after_s = trio.current_time() - requested_at
        bounds = node.settings.bounds
        self.assertGreaterEqual(stopped_after_s, bounds.leave_notice)
        self.assertLess(stopped_after_s, bounds.stop_timeout)


def make_listening_node(**addresses):
    """Make a node that finds nothing of its platform.

    :param addresses: addresses by their names in the settings.
    """
    settings = parse_settings(GOOD)
    listen = msgspec.structs.replace(
        settings.listen, **{"calls": ANY_PORT, "peers": ANY_PORT, **addresses}
    )
    node = Node(dataclasses.replace(settings, listen=listen), NativeEnvironment())
    node.environment.run = trio.sleep_forever
    return node
