"""Connections that peers open to this node."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio
from eliot import log_message

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity, generate_nonce
from catkinpost.coordination.peers.link import (
    HANDSHAKE_TIMEOUT_S,
    IDLE_PING_S,
    LinkSettings,
)
from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.protocol.header import MAX_RETRY_ALLOWANCE
from catkinpost.protocol.http import compute_head_bytes
from catkinpost.protocol.message import (
    PROTOCOL_VERSION,
    Answer,
    Call,
    Cancel,
    Challenge,
    Hello,
    Load,
    Message,
    Ping,
    Pong,
    Refusal,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.answer_memory import AnswerMemory
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.request_memory import RequestMemory, Reservation
from catkinpost.transport.frame import FrameStream, SkippedCall

__all__ = ["PeerServer", "PeerSession"]

LIVENESS_CHECK_INTERVAL_S = 0.5
MEMORY_RETRY_AFTER_S = 0.5
DELIVERY_CHECK_INTERVAL_S = 0.05
# A stranger must not make the node hold a frame of the largest size.
MAX_INTRODUCTION_BYTES = 4096
# A peer that is about to take the rest of a response takes some of it within this.
MAX_DELIVERY_STALL_S = 0.25

CallHandler = Callable[[Call], Awaitable[Answer | Refusal]]


@dataclass(eq=False, slots=True)
class PeerCall:
    """Call of a peer in progress, until its response is sent."""

    call: Call
    reservation: Reservation | None = None
    is_old: bool = False
    has_begun: bool = False
    is_withdrawn: bool = False
    answer_bytes: int = 0
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


def ignore_withdrawal(call: Call) -> None:
    """Let a call run to its end."""


class PeerSession:
    """One accepted connection after its handshake."""

    def __init__(self, frames: FrameStream, hello: Hello) -> None:
        self.frames = frames
        self.hello = hello
        self.calls: dict[int, PeerCall] = {}
        self.scope = trio.CancelScope()
        self.closed = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.progressed_at = 0.0

    def give_up(self) -> bool:
        """Keep them: a link that takes nothing is closed by its own timeout."""
        return False

    @property
    def instance(self) -> str:
        """Name of the peer's instance."""
        return self.hello.instance

    @property
    def is_up(self) -> bool:
        """Whether the connection takes messages."""
        return not self.closed.is_set() and not self.frames.sending_ended.is_set()

    def spawn(self, function: Callable[..., Awaitable[object]], *args) -> None:
        """Start a task that ends with the connection."""
        self.nursery.start_soon(function, *args)

    async def send_notification(self, message: Message) -> bool:
        """Send a message that has no response.

        :return: whether it was written to the connection.
        """
        try:
            await self.frames.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            if self.frames.sending_ended.is_set():
                # The peer gets nothing more here, and must notice it.
                await self.frames.close()
            return False
        return True


class PeerServer:
    """Accepts peers, runs their calls and responds to their pings.

    :param identity: identity of this node.
    :param store: policy in force.
    :param run_call: runs one call for a peer.
    :param withdraw_call: makes ``run_call`` refuse a call that does not run yet.
    :param events: receiver of new sessions and of messages that are no calls.
    :param get_load: returns the current load.
    :param pause: detection of pauses of this process.
    :param settings: bounds of a connection.
    :param memory: memory for the calls of all peers, ``None`` for no common bound.
    :param answer_memory: memory for the responses to them, ``None`` for no bound.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        store: PolicyStore,
        run_call: CallHandler,
        events,
        get_load: Callable[[], Load],
        pause: PauseWatch,
        settings: LinkSettings,
        withdraw_call: Callable[[Call], None] = ignore_withdrawal,
        memory: RequestMemory | None = None,
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        self.identity = identity
        self.store = store
        self.run_call = run_call
        self.withdraw_call = withdraw_call
        self.events = events
        self.get_load = get_load
        self.pause = pause
        self.settings = settings
        self.memory = memory
        self.answer_memory = answer_memory
        self.sessions: dict[int, PeerSession] = {}

    @property
    def is_busy(self) -> bool:
        """Whether any peer's call is in progress, or its response being sent."""
        return any(session.calls for session in self.sessions.values())

    @property
    def max_silence_s(self) -> float:
        """Seconds without a sign of life after which a connection is closed."""
        return IDLE_PING_S + 2 * self.settings.ping_timeout_s

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one peer until either side closes the connection.

        :param stream: accepted connection; closed on return.
        """
        frames = FrameStream(
            stream,
            max_frame_bytes=min(MAX_INTRODUCTION_BYTES, self.settings.max_frame_bytes),
            memory=self.memory,
            # The peer may be held for as long as this, and has only this connection
            # for the answers to all of its calls.
            send_timeout_s=self.max_silence_s,
        )
        key = id(frames)
        session = None
        try:
            with self.pause.watch_input(frames):
                session = await self.perform_handshake(frames)
                if isinstance(session, Failure):
                    log_message(
                        "peer: refused", reason=session.reason, why=session.detail
                    )
                    return
                frames.max_frame_bytes = self.settings.max_frame_bytes
                self.sessions[key] = session
                await self.events.on_session_up(session)
                with session.scope:
                    async with trio.open_nursery() as nursery:
                        await self.read_messages(session, nursery)
                        nursery.cancel_scope.cancel()
            if session.scope.cancel_called:
                await frames.deliver()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # The connection is lost; the nursery has cancelled the peer's calls.
            pass
        finally:
            self.sessions.pop(key, None)
            with trio.CancelScope(shield=True):
                await frames.close()
            if isinstance(session, PeerSession):
                session.closed.set()

    async def perform_handshake(self, frames: FrameStream) -> PeerSession | Failure:
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            challenge = Challenge(PROTOCOL_VERSION, generate_nonce())
            await frames.send(challenge)
            hello = await frames.receive()
            if not isinstance(hello, Hello):
                detail = getattr(hello, "detail", type(hello).__name__)
                return Failure(reason=Reason.PEER_BAD_MESSAGE, detail=detail)
            proven = self.identity.is_valid_proof(
                hello.proof, challenge.nonce, b"hello", hello
            )
            if not proven:
                return Failure(
                    reason=Reason.PEER_BAD_MESSAGE, detail="the proof does not verify"
                )
            await frames.send(
                self.identity.build_welcome(
                    hello,
                    self.store.version,
                    self.store.digest,
                    self.get_load(),
                    read_clock_us(),
                )
            )
            if hello.version != PROTOCOL_VERSION:
                return Failure(
                    reason=Reason.PEER_VERSION,
                    detail=f"{hello.instance} speaks version {hello.version}",
                )
            return PeerSession(frames, hello)
        return Failure(reason=Reason.PEER_SILENT, detail="no introduction in time")

    async def read_messages(self, session: PeerSession, nursery: trio.Nursery) -> None:
        session.nursery = nursery
        nursery.start_soon(self.monitor_liveness, session)
        while True:
            message = await session.frames.receive()
            self.pause.check_for_pause()
            if message is None:
                return
            if isinstance(message, Failure):
                log_message(
                    "peer: bad message", peer=session.instance, why=message.detail
                )
                return
            if isinstance(message, Call):
                # A Cancel may follow before the task of the call has begun.
                frames = session.frames
                reservation = frames.take_reservation()
                peer_call = PeerCall(message, reservation, frames.is_old)
                session.calls[message.id] = peer_call
                nursery.start_soon(self.handle_call, session, peer_call)
                # The body of a call must not be kept until the next message.
                del peer_call
            elif isinstance(message, SkippedCall):
                refusal = self.build_memory_refusal(message)
                nursery.start_soon(session.send_notification, refusal)
            elif isinstance(message, Cancel):
                self.cancel_call(session, message)
            elif isinstance(message, Ping):
                nursery.start_soon(session.send_notification, self.build_pong(message))
            else:
                await self.events.on_peer_message(session, message)
            del message

    async def monitor_liveness(self, session: PeerSession) -> None:
        """Close the connection once nothing has arrived for too long."""
        while True:
            self.pause.check_for_pause()
            if session.frames.is_silent(-math.inf, self.max_silence_s):
                break
            await sleep_until_next_tick(LIVENESS_CHECK_INTERVAL_S)
        log_message("peer: silent", peer=session.instance)
        await session.frames.close()

    def build_pong(self, ping: Ping) -> Pong:
        return Pong(
            ping.sequence,
            self.get_load(),
            self.store.version,
            self.store.digest,
            read_clock_us(),
        )

    def build_memory_refusal(self, call: SkippedCall) -> Refusal:
        """Refuse a call that was not kept.

        Older releases know no reason for the lack of memory.
        """
        return Refusal(
            call.id,
            Reason.QUEUE_FULL,
            Outcome.NOT_RUN,
            "other requests use up the memory of the instance's node",
            MEMORY_RETRY_AFTER_S,
            MAX_RETRY_ALLOWANCE,
            self.get_load(),
        )

    def cancel_call(self, session: PeerSession, cancel: Cancel) -> None:
        """End a call, or withdraw it if it does not run yet."""
        peer_call = session.calls.get(cancel.id)
        if peer_call is None:
            return
        if not cancel.only_waiting:
            peer_call.scope.cancel()
        elif peer_call.has_begun:
            self.withdraw_call(peer_call.call)
        else:
            peer_call.is_withdrawn = True

    async def handle_call(self, session: PeerSession, peer_call: PeerCall) -> None:
        try:
            with peer_call.scope:
                if peer_call.scope.cancel_called:
                    return
                response = self.hold_response(
                    session, peer_call, await self.run_or_refuse(peer_call)
                )
                # Nobody else can deliver it. Its peer may still cancel the call.
                peer_call.scope.shield = True
                await session.send_notification(response)
        finally:
            session.calls.pop(peer_call.call.id, None)
            if self.answer_memory is not None:
                self.answer_memory.release(session, peer_call.answer_bytes)
            if peer_call.reservation is not None:
                peer_call.reservation.release()

    async def run_or_refuse(self, peer_call: PeerCall) -> Answer | Refusal:
        """Run a call unless it is old, or was withdrawn before its task began."""
        peer_call.has_begun = True
        if peer_call.is_withdrawn:
            return self.build_refusal(
                peer_call.call, "the call was withdrawn before it ran"
            )
        if peer_call.is_old:
            # Its times count from its sending.
            return self.build_refusal(
                peer_call.call, "the call may be older than it says"
            )
        return await self.run_call(peer_call.call)

    def hold_response(
        self, session: PeerSession, peer_call: PeerCall, response: Answer | Refusal
    ) -> Answer | Refusal:
        """Count a response until it is sent, or replace one that can't be held.

        Older releases know no reason for the lack of memory.
        """
        if self.answer_memory is None or isinstance(response, Refusal):
            return response
        size = compute_head_bytes(response.headers) + len(response.body)
        failure = self.answer_memory.hold(session, size)
        if failure is None:
            peer_call.answer_bytes = size
            return response
        return Refusal(
            response.id,
            Reason.BACKEND_BAD_ANSWER,
            failure.outcome,
            failure.detail,
            None,
            response.allowance,
            response.load,
        )

    def build_refusal(self, call: Call, detail: str) -> Refusal:
        return Refusal(
            call.id,
            Reason.LEAVING,
            Outcome.NOT_RUN,
            detail,
            None,
            call.allowance,
            self.get_load(),
        )

    async def close_connections(
        self, ends_at: float = -math.inf, deliver_by: float = -math.inf
    ) -> None:
        """Read no further messages, and close each connection once all is delivered.

        :param ends_at: time at which the rest is closed, also while a message is
            being sent.
        :param deliver_by: later time until which peers that go on taking a message
            have the rest of it.
        """
        sessions = list(self.sessions.values())
        for session in sessions:
            session.scope.cancel()
        async with trio.open_nursery() as nursery:
            for session in sessions:
                nursery.start_soon(finish_session, session, ends_at, deliver_by)

    async def broadcast(self, message: Message) -> None:
        """Send a notification to every connected peer."""
        async with trio.open_nursery() as nursery:
            for session in list(self.sessions.values()):
                nursery.start_soon(session.send_notification, message)


async def finish_session(
    session: PeerSession, ends_at: float, deliver_by: float
) -> None:
    """Wait until a connection has ended, and close it if it does not end in time.

    :param ends_at: time at which it is closed if the peer takes nothing.
    :param deliver_by: time at which it is closed if the peer takes something.
    """
    taken_at = -math.inf
    unsent = session.frames.describe_unsent()
    while (now := trio.current_time()) < ends_at or (
        now < deliver_by and now - taken_at < MAX_DELIVERY_STALL_S
    ):
        bound = ends_at if now < ends_at else deliver_by
        with trio.move_on_at(min(now + DELIVERY_CHECK_INTERVAL_S, bound)):
            await session.closed.wait()
            return
        previous, unsent = unsent, session.frames.describe_unsent()
        if unsent != previous:
            taken_at = trio.current_time()
    if session.calls:
        log_message(
            "peer: closed with answers undelivered",
            peer=session.instance,
            calls=len(session.calls),
        )
    await session.frames.close()


def read_clock_us() -> int:
    """Return the time on the node's clock, for a peer that has asked for it."""
    return int(trio.current_time() * 1e6)
