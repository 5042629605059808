"""Planned stop of a node: order of its notifications and waits."""

import signal

import trio
from eliot import log_message

from catkinpost.coordination.environment import NodeParts
from catkinpost.protocol.message import KeyRecords
from catkinpost.protocol.outcome import Failure

__all__ = ["PlannedStop"]

IDLE_CHECK_INTERVAL_S = 0.05


class PlannedStop:
    """Graceful shutdown of a node, from the signal to the end of the process.

    Callers are notified at the signal, because they react late. Peers react as soon
    as they are notified, so they are notified later and their calls are accepted
    until then: a backend server that keeps running is unreachable for no longer than
    a restart takes. After the notice periods the node reads no more requests, and
    answers those that it has read.

    :param node: node to stop.
    """

    def __init__(self, node: NodeParts) -> None:
        self.node = node
        self.requested = trio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether a stop of the node has been requested."""
        return self.requested.is_set()

    async def watch_signals(self) -> None:
        """Request the stop at SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request()

    def request(self) -> None:
        """Start the stop: close caller connections after their next response."""
        log_message("node: stop asked for", instance=self.node.identity.instance)
        self.node.http_server.leaving = True
        self.requested.set()

    async def run(self) -> None:
        """Wait for the stop request, then for the notice periods and running requests.

        The waits end at most ``stop_timeout`` seconds after the request.
        """
        node = self.node
        await self.requested.wait()
        with trio.move_on_after(node.settings.bounds.stop_timeout) as scope:
            await self.wait_notice_periods()
            # A request that is read from now on could not be answered in time.
            node.accept_calls_scope.cancel()
            node.http_server.stop_reading()
            while self.is_busy():
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
        if scope.cancelled_caught:
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
        await self.send_key_records()

    async def wait_notice_periods(self) -> None:
        """Keep serving until callers and peers have reacted to the stop."""
        bounds = self.node.settings.bounds
        peer_notice = 0.0
        # If the backend server ended before its node, no call can be run any more.
        if await self.is_backend_reachable():
            peer_notice = min(bounds.peer_notice, bounds.leave_notice)
        await trio.sleep(peer_notice)
        self.node.start_leaving("a planned stop was asked for")
        await trio.sleep(bounds.leave_notice - peer_notice)

    async def is_backend_reachable(self) -> bool:
        probe = await self.node.backend_client.connect()
        if isinstance(probe, Failure):
            return False
        await trio.aclose_forcefully(probe)
        return True

    def is_busy(self) -> bool:
        """Return whether any request is in progress on this node."""
        node = self.node
        return bool(
            node.executor.active_calls
            or node.dispatcher.active_requests
            or node.http_server.is_busy
        )

    async def send_key_records(self) -> None:
        """Send peers the results of the idempotency keys that this node holds."""
        node = self.node
        copies = node.executor.once_guard.records.build_copies()
        for copy in copies:
            message = KeyRecords([copy])
            for link in node.replicas.get_links():
                if link.is_up:
                    await link.send_notification(message)
        log_message("node: keys handed over", count=len(copies))
