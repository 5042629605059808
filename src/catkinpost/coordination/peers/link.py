"""Connection from this node to one peer, reconnected until it is stopped."""

import math
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import trio
from eliot import log_message

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity, generate_nonce
from catkinpost.coordination.peers.pending import (
    PendingRequest,
    PendingRequests,
    do_nothing,
)
from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.log import log_exception
from catkinpost.protocol.message import (
    PROTOCOL_VERSION,
    Answer,
    Call,
    Cancel,
    Challenge,
    FeedPage,
    KeyFence,
    KeyReport,
    Message,
    Ping,
    Pong,
    Refusal,
    Welcome,
)
from catkinpost.protocol.outcome import (
    Failure,
    Outcome,
    Reason,
    build_leaving_failure,
)
from catkinpost.protocol.settings import Address
from catkinpost.state.peer_clock import PeerClock
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.frame import FrameStream

Spawn = Callable[..., None]

__all__ = ["LinkEvents", "LinkSettings", "PeerLink"]

LIVENESS_CHECK_INTERVAL_S = 0.5
IDLE_PING_S = 10.0
# Time in which a bound on the clock of a peer gets worse by 0.03 s.
CLOCK_LIFETIME_S = 30.0
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MIN_BACKOFF_SHARE = 0.5
# While the link is asked for, as all nodes may ask for the same peer at once.
MAX_REQUESTED_BACKOFF_S = 0.4
FRAME_OVERHEAD_BYTES = 64 * 1024
# A new connection is opened at once.
UNSENT_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, kw_only=True)
class LinkSettings:
    """Bounds of a link.

    :param ping_timeout_s: seconds without a response to a ping after which the
        connection is closed.
    :param max_frame_bytes: largest message.
    """

    ping_timeout_s: float = 3.0
    max_frame_bytes: int = 1024 * 1024 + FRAME_OVERHEAD_BYTES


class LinkEvents(Protocol):
    """Receiver of link events."""

    def on_link_up(self, link: "PeerLink", welcome: Welcome) -> None:
        """Handle a completed handshake."""

    def on_link_down(self, link: "PeerLink", failure: Failure) -> None:
        """Handle the loss of a connection or a failed connect."""

    def on_link_silent(self, link: "PeerLink") -> None:
        """Handle a ping timeout; the connection is closed afterwards."""

    async def on_peer_message(self, sender: "PeerLink", message: Message) -> None:
        """Handle a message that is no response to a request."""


class PeerLink:
    """Requests to one peer over one connection.

    :param instance: name of the peer's instance.
    :param address: address at which the peer accepts nodes.
    :param identity: identity of this node.
    :param store: policy in force, whose version the handshake sends to the peer.
    :param events: receiver of the link's events.
    :param pause: detection of pauses of this process.
    :param settings: bounds of the link.
    :param spawn: starts a background task.
    :ivar clock: clock of the process at the other end.
    """

    def __init__(
        self,
        instance: str,
        address: Address,
        *,
        identity: Identity,
        store: PolicyStore,
        events: LinkEvents,
        pause: PauseWatch,
        settings: LinkSettings,
        spawn: Spawn,
    ) -> None:
        self.instance = instance
        self.address = address
        self.identity = identity
        self.store = store
        self.events = events
        self.pause = pause
        self.settings = settings
        self.spawn = spawn
        self.pending = PendingRequests()
        self.clock = PeerClock()
        self.frames: FrameStream | None = None
        self.welcome: Welcome | None = None
        self.state_changed = trio.Event()
        self.connect_requested = trio.Event()
        self.cancel_scope = trio.CancelScope()
        self.last_received_at = 0.0
        self.round_trip_s: float | None = None
        self.ping_sequence = 0
        self.ping_sent_at = 0.0
        self.ping_due = False
        self.ping_unanswered = False
        self.failed_connects = 0
        self.ups = 0
        self.is_retired = False
        self.replaced_connections: set[ReplacedConnection] = set()

    @property
    def is_up(self) -> bool:
        """Whether the connection to the peer is established and takes messages."""
        return self.frames is not None and not self.frames.sending_ended.is_set()

    @property
    def is_sending(self) -> bool:
        """Whether a message waits for the peer to take it."""
        return any(item.send_lock.locked() for item in self.get_connections())

    def is_repeated(self, failure: Failure) -> bool:
        """Return whether a failure is a further failed connect of one outage."""
        is_connect = failure.reason is Reason.PEER_UNREACHABLE
        return is_connect and self.failed_connects > 1

    @property
    def is_unreachable(self) -> bool:
        """Whether the latest attempt to connect failed."""
        return self.frames is None and self.failed_connects > 0

    def get_connections(self) -> list[FrameStream]:
        """Return the connection of the link and those that are set aside."""
        connections = [item.frames for item in self.replaced_connections]
        if self.frames is not None and self.frames not in connections:
            connections.append(self.frames)
        return connections

    async def run(self) -> None:
        """Connect, and reconnect with backoff, until :meth:`retire` is called."""
        with self.cancel_scope:
            backoff = MIN_BACKOFF_S
            while True:
                ups = self.ups
                failure = await self.run_connection()
                if self.is_retired:
                    log_message(
                        "link: lost after its retirement",
                        peer=self.instance,
                        reason=failure.reason,
                        why=failure.detail,
                    )
                    break
                if self.ups == ups:
                    # Whatever ended it, no request can be sent.
                    self.failed_connects += 1
                    backoff = min(MAX_BACKOFF_S, backoff * 2)
                else:
                    backoff = MIN_BACKOFF_S
                self.notify_waiters()
                self.events.on_link_down(self, failure)
                await self.wait_before_connect(backoff)
        self.failed_connects += 1
        self.notify_waiters()
        self.pending.resolve_all(build_connection_failure("the link was given up"))

    async def wait_before_connect(self, backoff_s: float) -> None:
        """Wait for the backoff, or for less while the link is asked for.

        :param backoff_s: longest wait in seconds.
        """
        requested_s = min(backoff_s, MAX_REQUESTED_BACKOFF_S)
        requested_s *= random.uniform(MIN_BACKOFF_SHARE, 1.0)
        await trio.sleep(requested_s)
        with trio.move_on_after(backoff_s - requested_s):
            await self.connect_requested.wait()

    def retire(self) -> None:
        """Close the link for good once no request is pending.

        A peer that has left the list still answers the requests that it runs. If the
        connection is lost meanwhile, it is not opened again.
        """
        self.is_retired = True
        self.stop_if_retired()

    def stop_if_retired(self) -> None:
        if self.is_retired and not self.pending.requests:
            self.cancel_scope.cancel()

    def notify_waiters(self) -> None:
        self.state_changed.set()
        self.state_changed = trio.Event()

    async def run_connection(self) -> Failure:
        """Connect, perform the handshake and serve the link until it is lost."""
        failure = build_handshake_failure(None)
        self.connect_requested = trio.Event()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except (OSError, trio.TooSlowError) as error:
            return Failure(reason=Reason.PEER_UNREACHABLE, detail=repr(error))
        frames = FrameStream(stream, max_frame_bytes=self.settings.max_frame_bytes)
        try:
            with self.pause.watch_input(frames):
                welcome = await self.perform_handshake(frames)
                if isinstance(welcome, Failure):
                    return welcome
                failure = build_connection_failure("the connection was closed")
                self.mark_up(frames, welcome)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.monitor_liveness, frames, nursery)
                    nursery.start_soon(self.watch_sending, frames, nursery)
                    failure = await self.read_messages(frames)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception:
            # The link must be opened again, or its peer stays unreachable.
            log_exception()
        finally:
            self.frames = None
            if frames.sending_ended.is_set():
                failure = build_connection_failure("a message is incomplete")
                self.set_aside(frames, self.split_off_sent(frames))
            self.pending.resolve_all(failure)
            if frames not in self.get_connections():
                with trio.CancelScope(shield=True):
                    await frames.close()
        return failure

    async def perform_handshake(self, frames: FrameStream) -> Welcome | Failure:
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            challenge = await frames.receive()
            if not isinstance(challenge, Challenge):
                return build_handshake_failure(challenge)
            nonce = generate_nonce()
            asked_at = trio.current_time()
            await frames.send(
                self.identity.build_hello(
                    challenge, self.store.version, self.store.digest, nonce
                )
            )
            welcome = self.check_welcome(await frames.receive(), nonce)
            if isinstance(welcome, Welcome):
                # Another process may answer than before, with another clock.
                self.clock = PeerClock()
                self.record_clock(asked_at, welcome.clock_us)
            return welcome
        return Failure(reason=Reason.PEER_SILENT, detail="no introduction in time")

    def check_welcome(
        self, welcome: Message | Failure | None, nonce: bytes
    ) -> Welcome | Failure:
        if not isinstance(welcome, Welcome):
            return build_handshake_failure(welcome)
        if welcome.version != PROTOCOL_VERSION:
            return Failure(
                reason=Reason.PEER_VERSION,
                detail=f"{self.instance} speaks version {welcome.version}",
            )
        if not self.identity.is_valid_proof(welcome.proof, nonce, b"welcome", welcome):
            return Failure(
                reason=Reason.PEER_BAD_MESSAGE, detail="the proof does not verify"
            )
        if welcome.instance != self.instance:
            return Failure(
                reason=Reason.PEER_UNREACHABLE,
                detail=f"{welcome.instance} answers at the address",
            )
        return welcome

    def mark_up(self, frames: FrameStream, welcome: Welcome) -> None:
        self.frames = frames
        self.welcome = welcome
        self.last_received_at = trio.current_time()
        self.ping_unanswered = False
        self.ups += 1
        if self.failed_connects:
            log_message(
                "link: connected again",
                peer=self.instance,
                failed_connects=self.failed_connects,
            )
        self.failed_connects = 0
        self.notify_waiters()
        self.events.on_link_up(self, welcome)

    async def read_messages(self, frames: FrameStream) -> Failure:
        while True:
            message = await frames.receive()
            self.pause.check_for_pause()
            if message is None:
                return build_connection_failure("the peer closed the connection")
            if isinstance(message, Failure):
                log_message("link: bad message", peer=self.instance, why=message.detail)
                return Failure(
                    reason=message.reason,
                    outcome=Outcome.UNKNOWN,
                    detail=message.detail,
                )
            self.last_received_at = trio.current_time()
            self.ping_unanswered = False
            if isinstance(message, (Answer, Refusal, KeyReport)):
                self.deliver_response(message, is_old=frames.is_old)
                continue
            if isinstance(message, FeedPage) and frames.is_old:
                # Its age counts from its sending; the next page shows the gap.
                continue
            if isinstance(message, Pong):
                self.record_round_trip(message)
            if self.is_retired:
                # Another instance may have the name by now.
                continue
            await self.events.on_peer_message(self, message)

    def deliver_response(
        self, response: Answer | Refusal | KeyReport, *, is_old: bool
    ) -> None:
        """Deliver a response, unless the promise that it makes may have expired."""
        self.pending.resolve(response.id, check_age(response, is_old=is_old))
        self.stop_if_retired()

    def record_round_trip(self, pong: Pong) -> None:
        if pong.sequence == self.ping_sequence:
            self.round_trip_s = trio.current_time() - self.ping_sent_at
            self.record_clock(self.ping_sent_at, pong.clock_us)

    def record_clock(self, asked_at: float, clock_us: int | None) -> None:
        if clock_us is not None:
            self.clock.record(asked_at, clock_us / 1e6)

    async def monitor_liveness(
        self, frames: FrameStream, nursery: trio.Nursery
    ) -> None:
        """Send pings and give the connection up after a ping timeout.

        Pings are frequent while requests are pending, and rare otherwise.

        :param nursery: nursery of the tasks of the connection.
        """
        while True:
            self.pause.check_for_pause()
            now = trio.current_time()
            if self.ping_unanswered:
                # A ping is answered after what both sides sent before it.
                expected_after = max(self.ping_sent_at, frames.progressed_at)
                if frames.is_silent(expected_after, self.settings.ping_timeout_s):
                    log_message("link: silent peer", peer=self.instance)
                    # A call that is sent before this task has ended would end with it.
                    self.frames = None
                    self.events.on_link_silent(self)
                    # Its peer may only be late. The others can be sent again.
                    lasting = self.pending.split_off(
                        lambda item: item.outlasts_silence()
                    )
                    self.set_aside(frames, lasting)
                    nursery.cancel_scope.cancel()
                    return
            elif self.is_ping_needed(frames, now):
                await self.send_ping(frames, now)
            await sleep_until_next_tick(LIVENESS_CHECK_INTERVAL_S)

    async def watch_sending(self, frames: FrameStream, nursery: trio.Nursery) -> None:
        """End the use of a connection on which no message can be sent any more.

        :param nursery: nursery of the tasks of the connection.
        """
        await frames.sending_ended.wait()
        log_message(
            "link: message left incomplete",
            peer=self.instance,
            awaited=len(self.pending.requests),
        )
        nursery.cancel_scope.cancel()

    def split_off_sent(self, frames: FrameStream) -> PendingRequests:
        """Return the requests that are awaited on a connection whose sending ended.

        A peer that takes nothing counts as silent.
        """
        return self.pending.split_off(
            lambda pending: (
                not pending.is_being_sent
                and (not frames.has_stalled or pending.outlasts_silence())
            )
        )

    def set_aside(self, frames: FrameStream, waiting: PendingRequests) -> None:
        """Keep a connection that is replaced, for the requests that await a response.

        The peer still answers them, and would break them off if the connection were
        closed.

        :param waiting: these requests.
        """
        if not waiting.requests:
            return
        connection = ReplacedConnection(
            frames, waiting, self.spawn, withdrawals=self.welcome.withdrawals
        )
        self.replaced_connections.add(connection)
        self.spawn(self.finish_replaced, connection)
        # The others end here, but the open connection would keep their runs.
        for request_id in self.pending.requests:
            self.spawn(connection.send, Cancel(request_id))

    async def finish_replaced(self, connection: "ReplacedConnection") -> None:
        """Read the late responses of a connection, and close it afterwards."""
        try:
            with self.pause.watch_input(connection.frames):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.send_signs_of_life)
                    await connection.read_responses(self.pause)
                    nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.replaced_connections.discard(connection)
            connection.ended.set()
            connection.waiting.resolve_all(
                build_connection_failure("the replaced connection was closed")
            )
            with trio.CancelScope(shield=True):
                await connection.frames.close()

    async def wait_for_replaced(self) -> None:
        """Wait until every connection that was set aside has ended."""
        for connection in list(self.replaced_connections):
            await connection.ended.wait()

    def is_ping_needed(self, frames: FrameStream, now: float) -> bool:
        """Return whether either side may take the other for silent without a ping.

        A peer that only sends, such as the pages of a feed, hears nothing else. The
        bound on the clock of the peer needs pings on busy connections too.
        """
        is_idle = now - frames.sent_at >= IDLE_PING_S
        # Earlier releases never tell their clock.
        is_clock_old = CLOCK_LIFETIME_S <= now - self.clock.asked_at < math.inf
        is_quiet = now - self.last_received_at >= self.get_ping_interval()
        return is_idle or is_clock_old or is_quiet

    def get_ping_interval(self) -> float:
        busy = self.pending.requests or self.ping_due
        return LIVENESS_CHECK_INTERVAL_S if busy else IDLE_PING_S

    async def send_ping(self, frames: FrameStream, now: float) -> None:
        self.ping_sequence += 1
        self.ping_sent_at = now
        self.ping_unanswered = True
        self.ping_due = False
        # The task that reads the connection notices its loss, after what has arrived.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await frames.send(Ping(self.ping_sequence))

    async def wait_until_up(self, timeout: float) -> bool:
        """Wait until the link is up.

        :param timeout: seconds to wait at most.
        :return: whether it is up; ``False`` at once when a connect fails.
        """
        failed_before = self.failed_connects
        self.connect_requested.set()
        with trio.move_on_after(timeout):
            while not self.is_up:
                if self.failed_connects != failed_before:
                    return False
                await self.state_changed.wait()
        return self.is_up

    async def send_request(
        self, request: Call | KeyFence, pending: PendingRequest
    ) -> None:
        """Send a request; ``pending`` receives the response or the failure.

        :param request: request; this method sets its id.
        :param pending: receiver of the response.
        """
        if not self.is_up:
            asked_at = trio.current_time()
            failure = await self.wait_for_request(request, pending)
            if failure is not None:
                pending.resolve(failure)
                return
            if isinstance(request, Call):
                deduct_wait(request, trio.current_time() - asked_at)
        request_id = self.pending.add(pending)
        pending.cancel = lambda: self.cancel_request(request_id)
        pending.withdraw = lambda: self.withdraw_request(request_id)
        pending.sent = pending.is_being_sent = True
        request = assign_request_id(request, request_id)
        frames = self.frames
        failure = build_connection_failure("the connection was lost meanwhile")
        try:
            await frames.send(request)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            # The peer never acts on it, as a part was not written.
            pending.sent = False
            failure = Failure(
                reason=Reason.PEER_UNREACHABLE,
                detail=f"the request was not sent whole: {error}",
                retry_after=UNSENT_RETRY_AFTER_S,
            )
            self.remove_request(request_id)
        finally:
            pending.is_being_sent = False
        if not self.is_awaited(request_id, frames):
            self.pending.remove(request_id)
            pending.resolve(failure)

    def is_awaited(self, request_id: int, frames: FrameStream) -> bool:
        """Return whether the response to a request is still read from its connection.

        :param frames: connection on which the request was sent.
        """
        if frames is self.frames:
            return request_id in self.pending.requests
        return any(
            request_id in item.waiting.requests for item in self.replaced_connections
        )

    def remove_request(self, request_id: int) -> None:
        """Stop waiting for the response to a request that was not sent whole."""
        self.pending.remove(request_id)
        for connection in list(self.replaced_connections):
            connection.remove_request(request_id)

    async def wait_for_request(
        self, request: Call | KeyFence, pending: PendingRequest
    ) -> Failure | None:
        """Wait until the link is up for a request that may be withdrawn meanwhile.

        :return: why the request must not be sent, ``None`` if it may be.
        """
        is_up = False
        with trio.CancelScope() as scope:
            pending.withdraw = scope.cancel
            is_up = await self.wait_until_up(CONNECT_TIMEOUT_S)
        pending.withdraw = do_nothing
        if scope.cancel_called:
            return build_leaving_failure("the call was withdrawn before it was sent")
        if not is_up:
            return Failure(
                reason=Reason.PEER_UNREACHABLE,
                detail=f"no connection to {self.instance}",
                retry_after=MAX_BACKOFF_S,
            )
        # Later loads of the peer may differ, but this welcome has just arrived.
        if isinstance(request, Call) and self.welcome.load.leaving:
            return build_leaving_failure(f"{self.instance} is leaving")
        return None

    def cancel_request(self, request_id: int) -> None:
        if request_id in self.pending.requests:
            self.pending.remove(request_id)
            self.spawn(self.send_cancel, request_id)

    def withdraw_request(self, request_id: int) -> None:
        """Ask the peer to refuse a request that it does not run yet.

        A peer of an older release would break off a request that it runs.
        """
        if request_id not in self.pending.requests or self.welcome is None:
            return
        if self.welcome.withdrawals:
            cancel = Cancel(request_id, only_waiting=True)
            self.spawn(self.send_notification, cancel)

    async def send_cancel(self, request_id: int) -> None:
        """Notify the peer that the response is no longer awaited."""
        await self.send_notification(Cancel(request_id))
        self.stop_if_retired()

    async def send_notification(self, message: Message) -> bool:
        """Send a message that has no response.

        :return: whether it was written to a connection.
        """
        frames = self.frames
        if frames is None:
            return False
        try:
            await frames.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True


class ReplacedConnection:
    """Connection that takes no new request, with those that await their response.

    Its peer has gone silent, or a message on it is incomplete.

    :param frames: the connection.
    :param waiting: its requests without a response.
    :param spawn: starts a background task.
    :param withdrawals: whether the peer understands withdrawals; one of an older
        release would break off a request that it runs.
    """

    def __init__(
        self,
        frames: FrameStream,
        waiting: PendingRequests,
        spawn: Spawn,
        *,
        withdrawals: bool,
    ) -> None:
        self.frames = frames
        self.waiting = waiting
        self.spawn = spawn
        self.ended = trio.Event()
        for request_id, pending in waiting.requests.items():
            pending.cancel = partial(self.cancel_request, request_id)
            pending.withdraw = do_nothing
            if withdrawals:
                cancel = Cancel(request_id, only_waiting=True)
                pending.withdraw = partial(spawn, self.send, cancel)

    async def read_responses(self, pause: PauseWatch) -> None:
        """Deliver responses until all requests have one or the connection is lost."""
        while self.waiting.requests:
            message = await self.frames.receive()
            pause.check_for_pause()
            if message is None or isinstance(message, Failure):
                return
            if isinstance(message, (Answer, Refusal, KeyReport)):
                response = check_age(message, is_old=self.frames.is_old)
                self.waiting.resolve(message.id, response)

    async def send_signs_of_life(self) -> None:
        """Keep the peer from closing a connection that no message can be sent on."""
        while True:
            await trio.sleep(IDLE_PING_S)
            try:
                self.frames.send_sign_of_life()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # The task that reads the connection notices the loss.
                return

    def remove_request(self, request_id: int) -> None:
        """Stop waiting for the response to a request, if it is one of these."""
        self.waiting.remove(request_id)
        self.spawn(self.close_if_unused)

    def cancel_request(self, request_id: int) -> None:
        self.waiting.remove(request_id)
        self.spawn(self.send, Cancel(request_id))

    async def send(self, message: Cancel) -> None:
        """Send a message, and close the connection if nothing is awaited any more."""
        # The task that reads the connection notices its loss. If only the sending side
        # has ended, the peer runs the call until the connection is closed.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self.frames.send(message)
        await self.close_if_unused()

    async def close_if_unused(self) -> None:
        """Close the connection if nothing is awaited any more."""
        if not self.waiting.requests:
            await self.frames.close()


def check_age(
    response: Answer | Refusal | KeyReport, *, is_old: bool
) -> Answer | Refusal | KeyReport | Failure:
    """Return a response, or a failure if the promise that it makes may have expired."""
    if is_old and isinstance(response, KeyReport):
        return build_connection_failure("this process was paused")
    return response


def assign_request_id(request: Call | KeyFence, request_id: int) -> Call | KeyFence:
    if isinstance(request, Call):
        request.id = request_id
        return request
    return KeyFence(request_id, request.key, request.holder)


def deduct_wait(call: Call, waited_s: float) -> None:
    """Shorten the times that a call grants by a wait since they were computed.

    :param waited_s: the wait in seconds.
    """
    waited_us = math.ceil(waited_s * 1e6)
    call.budget_us = max(1, call.budget_us - waited_us)
    if call.useful_us:
        call.useful_us = max(1, call.useful_us - waited_us)


def build_connection_failure(detail: str) -> Failure:
    return Failure(
        reason=Reason.PEER_CONNECTION_LOST, outcome=Outcome.UNKNOWN, detail=detail
    )


def build_handshake_failure(message: Message | Failure | None) -> Failure:
    if isinstance(message, Failure):
        return message
    if message is None:
        return Failure(
            reason=Reason.PEER_UNREACHABLE, detail="closed during introduction"
        )
    return Failure(
        reason=Reason.PEER_BAD_MESSAGE,
        detail=f"unexpected {type(message).__name__} during introduction",
    )
