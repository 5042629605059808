"""Planned stop of a node: order of its notifications and waits."""

import math
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import FrameType

import trio
from eliot import log_message

from catkinpost.coordination.admission.admission import RunWindow
from catkinpost.coordination.environment import NodeParts
from catkinpost.coordination.peers.link import PeerLink
from catkinpost.process import ProcessUsage
from catkinpost.protocol.message import KeyRecordCopy, KeyRecords
from catkinpost.protocol.outcome import Failure

__all__ = ["PlannedStop"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
IDLE_CHECK_INTERVAL_S = 0.05
FIRST_REQUEST_TIMEOUT_S = 0.05
# Runs must have ended this long before the process, so that their results and the
# refusals of other requests reach callers over two cross-region hops.
MAX_ANSWER_TIME_S = 0.3
ANSWER_TIME_SHARE = 0.05
# What is still held at this share of the time is logged: an end that hangs must show
# before the process is killed.
HELD_LOG_SHARE = 0.925


class PlannedStop:
    """Graceful shutdown of a node, from the signal to the end of the process.

    Callers are notified at the signal, because they react late. Peers react as soon
    as they are notified, so they are notified later and their calls are accepted
    until then: a backend server that keeps running is unreachable for no longer than
    a restart takes. After the notice periods the node answers the requests that it has
    read, and refuses those that still come. Then it closes its connections. Requests
    that can't be run in time are refused as soon as this is known, so that their
    callers can send them elsewhere.

    A signal that came while the process did not run is handled late, and its sender
    kills the process early. Whatever waits must have ended by the earliest such time;
    what runs may still end later.

    :param node: node to stop.
    :ivar signalled_at: earliest time at which the signal may have come.
    :ivar requested_at: time from which the stop counts.
    :ivar handled_at: time at which the interpreter handled the signal, before the event
        loop came to it, ``None`` until then.
    :ivar usage: what the process had used when the stop was requested, ``None`` until
        then.
    """

    def __init__(self, node: NodeParts) -> None:
        self.node = node
        self.requested = trio.Event()
        self.requested_at = 0.0
        self.signalled_at = 0.0
        self.handled_at: float | None = None
        self.usage: ProcessUsage | None = None

    @property
    def is_requested(self) -> bool:
        """Whether a stop of the node has been requested."""
        return self.requested.is_set()

    @property
    def ends_at(self) -> float:
        """Time by which the process ends."""
        return self.requested_at + self.node.settings.bounds.stop_timeout

    @property
    def waits_end_at(self) -> float:
        """Time by which requests that wait must have been run or refused."""
        stop_timeout = self.node.settings.bounds.stop_timeout
        return self.signalled_at + stop_timeout - self.answer_time_s

    @property
    def answer_time_s(self) -> float:
        """Seconds before the end that are kept for answers."""
        stop_timeout = self.node.settings.bounds.stop_timeout
        return min(MAX_ANSWER_TIME_S, ANSWER_TIME_SHARE * stop_timeout)

    @property
    def deliver_by(self) -> float:
        """Time by which callers must have taken their answers."""
        bounds = self.node.settings.bounds
        return self.signalled_at + bounds.stop_timeout + bounds.delivery_timeout

    @property
    def delivery_ends_at(self) -> float:
        """Time until which those that go on taking an answer have the rest of it."""
        return self.ends_at + self.node.settings.bounds.delivery_timeout

    def compute_close_time(self) -> float:
        """Return the time at which connections are closed, answered or not.

        It is later than the end where the process woke up late, or it would close
        connections before their tasks can send the answers.
        """
        return max(self.ends_at, trio.current_time() + self.answer_time_s / 2)

    def compute_step_end(self, *, steps_behind: int = 0) -> float:
        """Return the time at which a step that only concerns peers ends.

        Each has little time of its own where the answers to callers took all of it.

        :param steps_behind: number of such steps that follow.
        """
        step_s = self.answer_time_s / 4
        return max(self.ends_at - steps_behind * step_s, trio.current_time() + step_s)

    async def log_held(self) -> None:
        """Log what is still held shortly before the end of a stop."""
        await self.requested.wait()
        stop_timeout = self.node.settings.bounds.stop_timeout
        await trio.sleep_until(self.requested_at + HELD_LOG_SHARE * stop_timeout)
        log_message("node: still held", **self.describe_held())

    def describe_held(self) -> dict[str, object]:
        """Return what keeps the process from ending, by kind."""
        node = self.node
        sessions = node.peer_server.sessions.values()
        tasks = node.nursery.child_tasks if node.nursery is not None else ()
        return {
            "running": node.executor.active_calls,
            "queued": node.executor.admission.queued,
            "requests": node.dispatcher.active_requests,
            "peer_calls": {
                item.instance: len(item.calls) for item in sessions if item.calls
            },
            "lingers": len(node.http_server.lingers),
            **node.http_server.describe_open(),
            "links": node.links.describe_busy(),
            "tasks": Counter(task.name.rpartition(".")[2] for task in tasks),
        }

    async def watch_signals(self) -> None:
        """Request the stop at SIGTERM or SIGINT."""
        with (
            trio.open_signal_receiver(*STOP_SIGNALS) as signals,
            call_at_signals(self.note_signal),
        ):
            async for _ in signals:
                try:
                    self.request()
                except Exception:
                    # The signal is handled, and will not come again.
                    self.node.report_internal_error()
                # The receiver ends before the process, which the next signal would
                # end with a status of its own.
                signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    def note_signal(self) -> None:
        """Note when a signal is handled."""
        if self.handled_at is None:
            self.handled_at = trio.current_time()

    def request(self) -> None:
        """Start the stop: close caller connections after their next response."""
        if self.is_requested:
            return
        node = self.node
        now = trio.current_time()
        self.requested_at = now if self.handled_at is None else self.handled_at
        self.signalled_at = self.requested_at
        self.requested.set()
        self.signalled_at = node.pause_watch.find_earliest_signal(self.requested_at)
        window = RunWindow(ends_at=self.waits_end_at)
        node.http_server.leaving = True
        node.http_server.deliver_by = self.deliver_by
        node.executor.admission.set_window("stop", window)
        node.sender.ends_at = self.waits_end_at
        self.log_request()

    def log_request(self) -> None:
        """Log the request, with what tells a late signal from a late event loop."""
        watch = self.node.pause_watch
        log_message(
            "node: stop asked for",
            instance=self.node.identity.instance,
            late_by_at_most=round(self.requested_at - self.signalled_at, 3),
            handled_before_s=round(trio.current_time() - self.requested_at, 3),
            checks_late_s=round(watch.most_late_s, 3),
        )
        watch.most_late_s = 0.0
        self.usage = ProcessUsage.read()

    def describe_step(self) -> dict[str, float]:
        """Return when a step of the end has come."""
        since_s = trio.current_time() - self.signalled_at
        return {"since_signal_s": round(since_s, 3)}

    def log_end(self) -> None:
        """Log the end of the process, and what it has used since the request."""
        if self.usage is not None:
            log_message(
                "process: ends",
                checks_late_s=round(self.node.pause_watch.most_late_s, 3),
                **ProcessUsage.read().describe_since(self.usage),
            )

    async def run(self) -> None:
        """Wait for the stop request, then for the notice periods and running requests.

        The waits end at most ``stop_timeout`` seconds after the request, or as soon as
        answers are sent if the process slept past that time.
        """
        await self.requested.wait()
        await self.repeat(self.end_calls)
        await self.repeat(self.send_key_records)

    async def end_calls(self) -> None:
        """Finish the requests, while calls that wait for too long are withdrawn."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.node.supervise, self.withdraw_late_attempts)
            await self.finish_requests()
            nursery.cancel_scope.cancel()
        server = self.node.http_server
        log_message(
            "node: calls ended",
            closed_idle=server.closed_idle,
            refused=server.refused_requests,
            unbegun=server.unbegun_requests,
            **self.describe_step(),
        )

    async def repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step of the stop, again after an exception while there is time."""
        while True:
            try:
                await step()
                return
            except* Exception:
                self.node.report_internal_error()
            if trio.current_time() >= self.ends_at:
                return
            await trio.sleep(IDLE_CHECK_INTERVAL_S)

    async def withdraw_late_attempts(self) -> None:
        """Withdraw calls that wait at peers for too long, until cancelled."""
        while True:
            self.node.sender.withdraw_late_attempts()
            await trio.sleep(IDLE_CHECK_INTERVAL_S)

    async def finish_requests(self) -> None:
        """Wait for the running requests, and answer those that do not end in time."""
        answers_at = self.ends_at - self.answer_time_s / 2
        with trio.CancelScope(deadline=answers_at) as scope:
            await self.wait_notice_periods()
            self.node.http_server.refuse_requests()
            while self.is_working():
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
            await self.stop_reading()
            await self.wait_until_idle()
        if not scope.cancelled_caught:
            return
        self.node.http_server.refuse_requests()
        if trio.current_time() > answers_at + IDLE_CHECK_INTERVAL_S:
            # The process overslept: results that arrived meanwhile are delivered first.
            await trio.sleep(IDLE_CHECK_INTERVAL_S)
        self.log_cut_off()
        self.node.dispatcher.end_calls()
        # A call can't be ended while it is being sent, as that would cut its message.
        await self.node.links.close_stalled()
        with trio.CancelScope(deadline=self.compute_close_time()):
            # The other half is for the answers to what was read last.
            await self.stop_reading(trio.current_time() + self.answer_time_s / 4)
            await self.wait_until_idle()

    async def stop_reading(self, deadline: float = math.inf) -> None:
        """Accept no further connection, and then read no further request.

        :param deadline: time at which reading ends in any case.
        """
        with trio.CancelScope(deadline=deadline):
            await self.node.call_acceptor.stop()
            # Whoever has just connected is about to send a request.
            with trio.move_on_after(FIRST_REQUEST_TIMEOUT_S):
                while self.node.http_server.has_new_connection(FIRST_REQUEST_TIMEOUT_S):
                    await trio.sleep(FIRST_REQUEST_TIMEOUT_S / 10)
        self.node.http_server.stop_reading()

    async def wait_until_idle(self) -> None:
        while self.is_busy():
            await trio.sleep(IDLE_CHECK_INTERVAL_S)

    def log_cut_off(self) -> None:
        node = self.node
        node.decisions.add(
            "leaving",
            "cut off requests",
            "this node",
            reason="the requests were still running after stop_timeout",
            running=node.executor.active_calls,
            queued=node.executor.admission.queued,
            requests=node.dispatcher.active_requests,
            connections=len(node.http_server.connections),
        )

    async def wait_notice_periods(self) -> None:
        """Keep serving until callers and peers have reacted to the stop."""
        bounds = self.node.settings.bounds
        peer_notice = 0.0
        # If the backend server ended before its node, no call can be run any more.
        if await self.is_backend_reachable():
            peer_notice = min(bounds.peer_notice, bounds.leave_notice)
        await trio.sleep_until(min(self.requested_at + peer_notice, self.waits_end_at))
        self.node.start_leaving("a planned stop was asked for")
        await trio.sleep_until(
            min(self.requested_at + bounds.leave_notice, self.waits_end_at)
        )

    async def is_backend_reachable(self) -> bool:
        probe = await self.node.backend_client.connect()
        if isinstance(probe, Failure):
            return False
        await trio.aclose_forcefully(probe)
        return True

    def is_working(self) -> bool:
        """Return whether any request is in progress that the node has not refused."""
        node = self.node
        return bool(
            node.executor.active_calls
            or node.dispatcher.active_requests
            or node.peer_server.is_busy
            or node.http_server.is_handling
        )

    def is_busy(self) -> bool:
        """Return whether any request is in progress on this node."""
        return self.is_working() or self.node.http_server.is_busy

    async def wait_for_callers(self) -> None:
        """Wait for callers to read their answers and close, as they were told to.

        Nothing else is left to do, so that slow callers have the rest of the time.
        """
        server = self.node.http_server
        with trio.CancelScope(deadline=self.delivery_ends_at):
            while server.is_busy or server.awaits_callers:
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
        log_message(
            "node: callers left", **server.describe_open(), **self.describe_step()
        )

    async def send_key_records(self) -> None:
        """Send peers the results of the idempotency keys that this node holds.

        Each peer takes them at its own pace, for as long as that leaves time to close
        the connections of peers.
        """
        node = self.node
        copies = node.executor.once_guard.records.build_copies()
        ends = []
        for link in node.replicas.get_links() if copies else []:
            ends.append(trio.Event())
            node.spawn(send_copies, link, copies, ends[-1])
        with trio.CancelScope(deadline=self.compute_step_end(steps_behind=1)):
            for end in ends:
                await end.wait()
        log_message("node: keys handed over", count=len(copies), **self.describe_step())


@contextmanager
def call_at_signals(function: Callable[[], None]) -> Iterator[None]:
    """Call a function as soon as the interpreter handles a signal of a stop.

    The event loop may have other tasks to run before that of its signal receiver.

    :param function: called before the present handlers.
    """
    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}

    def handle(number: int, frame: FrameType | None) -> None:
        function()
        handlers[number](number, frame)

    for number in STOP_SIGNALS:
        signal.signal(number, handle)
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


async def send_copies(
    link: PeerLink, copies: list[KeyRecordCopy], ended: trio.Event
) -> None:
    """Send records to one peer while it is connected.

    :param ended: set at the end.
    """
    try:
        for copy in copies:
            if not await link.send_notification(KeyRecords([copy])):
                return
            # Many small messages in a row must not hold up all other tasks.
            await trio.lowlevel.checkpoint()
    finally:
        ended.set()
