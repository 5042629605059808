"""Planned stop of a node: who learns of it when, and what is waited for."""

import signal
from typing import TYPE_CHECKING

import trio
from eliot import log_message

from catkinpost.protocol.message import KeyRecords
from catkinpost.protocol.outcome import Failure

if TYPE_CHECKING:
    from catkinpost.node import Node

__all__ = ["PlannedStop"]

IDLE_CHECK_INTERVAL_S = 0.05


class PlannedStop:
    """Steps from the signal to the end of the process.

    Callers are told at once, as they learn of it late. Peers learn of it at once
    when they are told: their calls are taken for a while yet, so that a backend
    server that runs on is out of reach for no longer than a restart takes. After the
    notice nothing more is read, and what has been read is answered.

    :param node: node that stops.
    """

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.requested = trio.Event()

    @property
    def is_requested(self) -> bool:
        """Whether the node has been told to stop."""
        return self.requested.is_set()

    async def watch_signals(self) -> None:
        """Begin to stop at the first signal."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.request()

    def request(self) -> None:
        """Begin to stop."""
        log_message("node: stop asked for", instance=self.node.identity.instance)
        self.node.http_server.leaving = True
        self.requested.set()

    async def run(self) -> None:
        """Wait for the signal, and then for everything that must end before the node.

        Returns ``stop_timeout`` after the signal at the latest.
        """
        node = self.node
        await self.requested.wait()
        with trio.move_on_after(node.settings.bounds.stop_timeout) as scope:
            await self.wait_notice_periods()
            # A request that is read later could not be answered in time any more.
            node.accept_calls_scope.cancel()
            node.http_server.stop_reading()
            while self.is_busy():
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
        if scope.cancelled_caught:
            node.decisions.add(
                "leaving",
                "cut off requests",
                "this node",
                reason="they did not end within stop_timeout",
                running=node.executor.active_calls,
            )
        await self.send_key_records()

    async def wait_notice_periods(self) -> None:
        """Serve on until callers and peers have learned of the stop."""
        bounds = self.node.settings.bounds
        peer_notice = 0.0
        # Where the backend server has ended before its node there is nothing to take.
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
        """Tell whether any request is in progress here."""
        node = self.node
        return bool(
            node.executor.active_calls
            or node.dispatcher.active
            or node.http_server.is_busy
        )

    async def send_key_records(self) -> None:
        """Tell peers the results of the idempotency keys that this node holds."""
        node = self.node
        copies = node.executor.once_guard.records.build_copies()
        for copy in copies:
            message = KeyRecords([copy])
            for link in node.replicas.get_links():
                if link.up:
                    await link.notice(message)
        log_message("node: keys handed over", count=len(copies))
