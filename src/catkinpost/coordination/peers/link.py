"""Connection from this node to one peer, kept up while it is wanted."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio
from eliot import log_message

from catkinpost.coordination.pause import PauseWatch
from catkinpost.coordination.peers.identity import Identity, new_nonce
from catkinpost.coordination.peers.pending import Pending, PendingTable
from catkinpost.coordination.tick import sleep_to_tick
from catkinpost.protocol.message import (
    PROTOCOL_VERSION,
    Answer,
    Call,
    Cancel,
    Challenge,
    KeyFence,
    KeyReport,
    Message,
    Ping,
    Pong,
    Refusal,
    Welcome,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.policy_store import PolicyStore
from catkinpost.transport.frame import FrameStream

Spawn = Callable[..., None]

__all__ = ["LinkEvents", "LinkSettings", "PeerLink"]

CHECK_INTERVAL_S = 0.5
IDLE_PING_S = 10.0
CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
FRAME_OVERHEAD_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class LinkSettings:
    """Bounds of a link.

    :param silence: seconds for which a ping may stay unanswered.
    :param max_frame_bytes: largest message.
    """

    silence: float = 3.0
    max_frame_bytes: int = 1024 * 1024 + FRAME_OVERHEAD_BYTES


class LinkEvents(Protocol):
    """Receiver of what happens on links."""

    def link_up(self, link: "PeerLink", welcome: Welcome) -> None:
        """The peer has introduced itself."""

    def link_down(self, link: "PeerLink", failure: Failure) -> None:
        """The connection is lost."""

    def link_silent(self, link: "PeerLink") -> None:
        """A ping stayed unanswered; the connection is about to be dropped."""

    async def peer_message(self, sender: "PeerLink", message: Message) -> None:
        """The peer sent a message that answers no request."""


class PeerLink:
    """Requests to one peer over one connection.

    :param instance: name of the peer's instance.
    :param address: where the peer accepts nodes.
    :param identity: identity of this node.
    :param store: policy in force, whose version is told to the peer.
    :param events: receiver of what happens on the link.
    :param pause: detection of pauses of this process.
    :param settings: bounds of the link.
    :param spawn: starts a background task.
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
        self.pending = PendingTable()
        self.frames: FrameStream | None = None
        self.welcome: Welcome | None = None
        self.changed = trio.Event()
        self.wanted = trio.Event()
        self.scope = trio.CancelScope()
        self.last_heard = 0.0
        self.round_trip: float | None = None
        self.ping_sequence = 0
        self.ping_sent_at = 0.0
        self.probe_due = False
        self.ping_unanswered = False
        self.epoch = 0
        self.failed_connects = 0

    @property
    def up(self) -> bool:
        """Whether the peer can be reached now."""
        return self.frames is not None

    @property
    def unreachable(self) -> bool:
        """Whether the latest try to connect has failed."""
        return self.frames is None and self.failed_connects > 0

    async def run(self) -> None:
        """Keep the link up until :meth:`stop` is called."""
        with self.scope:
            backoff = MIN_BACKOFF_S
            while True:
                failure = await self.run_once()
                if failure.reason is Reason.PEER_UNREACHABLE:
                    self.failed_connects += 1
                    backoff = min(MAX_BACKOFF_S, backoff * 2)
                else:
                    backoff = MIN_BACKOFF_S
                self.notify()
                self.events.link_down(self, failure)
                await trio.sleep(MIN_BACKOFF_S)
                with trio.move_on_after(backoff - MIN_BACKOFF_S):
                    await self.wanted.wait()
        self.pending.resolve_all(lost("the link was given up"))

    def stop(self) -> None:
        """Give the link up."""
        self.scope.cancel()

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def run_once(self) -> Failure:
        """Connect, introduce this node and serve the link until it is lost."""
        failure = lost("the connection was closed")
        self.wanted = trio.Event()
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except (OSError, trio.TooSlowError) as error:
            return Failure(reason=Reason.PEER_UNREACHABLE, detail=repr(error))
        frames = FrameStream(stream, max_frame_bytes=self.settings.max_frame_bytes)
        try:
            welcome = await self.introduce(frames)
            if isinstance(welcome, Failure):
                return welcome
            self.open(frames, welcome)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch, frames)
                failure = await self.read(frames)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.frames = None
            self.pending.resolve_all(failure)
            with trio.CancelScope(shield=True):
                await frames.close()
        return failure

    async def introduce(self, frames: FrameStream) -> Welcome | Failure:
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            challenge = await frames.receive()
            if not isinstance(challenge, Challenge):
                return bad_handshake(challenge)
            nonce = new_nonce()
            await frames.send(
                self.identity.hello(
                    challenge, self.store.version, self.store.digest, nonce
                )
            )
            welcome = await frames.receive()
            return self.check_welcome(welcome, nonce)
        return Failure(reason=Reason.PEER_SILENT, detail="no introduction in time")

    def check_welcome(
        self, welcome: Message | Failure | None, nonce: bytes
    ) -> Welcome | Failure:
        if not isinstance(welcome, Welcome):
            return bad_handshake(welcome)
        if welcome.version != PROTOCOL_VERSION:
            return Failure(
                reason=Reason.PEER_VERSION,
                detail=f"{self.instance} speaks version {welcome.version}",
            )
        if not self.identity.verify(welcome.proof, nonce, b"welcome", welcome):
            return Failure(
                reason=Reason.PEER_BAD_MESSAGE, detail="the proof does not verify"
            )
        if welcome.instance != self.instance:
            return Failure(
                reason=Reason.PEER_UNREACHABLE,
                detail=f"{welcome.instance} answers at the address",
            )
        return welcome

    def open(self, frames: FrameStream, welcome: Welcome) -> None:
        self.frames = frames
        self.epoch = self.pause.observe()
        self.welcome = welcome
        self.last_heard = trio.current_time()
        self.ping_unanswered = False
        self.failed_connects = 0
        self.notify()
        self.events.link_up(self, welcome)

    async def read(self, frames: FrameStream) -> Failure:
        while True:
            message = await frames.receive()
            if self.pause.observe() != self.epoch:
                return lost("this process was paused")
            if message is None:
                return lost("the peer closed the connection")
            if isinstance(message, Failure):
                log_message("link: bad message", peer=self.instance, why=message.detail)
                return Failure(
                    reason=message.reason,
                    outcome=Outcome.UNKNOWN,
                    detail=message.detail,
                )
            self.last_heard = trio.current_time()
            self.ping_unanswered = False
            if isinstance(message, (Answer, Refusal, KeyReport)):
                self.pending.resolve(message.id, message)
                continue
            if isinstance(message, Pong):
                self.note_round_trip(message)
            await self.events.peer_message(self, message)

    def note_round_trip(self, pong: Pong) -> None:
        if pong.sequence == self.ping_sequence:
            self.round_trip = trio.current_time() - self.ping_sent_at

    async def watch(self, frames: FrameStream) -> None:
        """Ask for signs of life and drop the connection when none comes.

        Pings are sent often while answers are awaited, and rarely otherwise.
        """
        while True:
            now = trio.current_time()
            if self.ping_unanswered:
                if now - self.ping_sent_at >= self.settings.silence:
                    log_message("link: silent peer", peer=self.instance)
                    self.events.link_silent(self)
                    await frames.close()
                    return
            elif now - self.last_heard >= self.ping_interval():
                await self.ping(frames, now)
            await sleep_to_tick(CHECK_INTERVAL_S)

    def ping_interval(self) -> float:
        busy = self.pending.entries or self.probe_due
        return CHECK_INTERVAL_S if busy else IDLE_PING_S

    async def ping(self, frames: FrameStream, now: float) -> None:
        self.ping_sequence += 1
        self.ping_sent_at = now
        self.ping_unanswered = True
        self.probe_due = False
        await frames.send(Ping(self.ping_sequence))

    async def wait_up(self, timeout: float) -> bool:
        """Wait for the link to be up.

        :param timeout: seconds to wait at most.
        :return: whether it is up; at once ``False`` when a connect fails.
        """
        failed = self.failed_connects
        self.wanted.set()
        with trio.move_on_after(timeout):
            while not self.up:
                if self.failed_connects != failed:
                    return False
                await self.changed.wait()
        return self.up

    async def start(self, request: Call | KeyFence, pending: Pending) -> None:
        """Send a request; its answer, or its loss, goes to ``pending``.

        :param request: request; its identity is set here.
        :param pending: receiver of the answer.
        """
        if not self.up and not await self.wait_up(CONNECT_TIMEOUT_S):
            pending.resolve(
                Failure(
                    reason=Reason.PEER_UNREACHABLE,
                    detail=f"no connection to {self.instance}",
                    retry_after=MAX_BACKOFF_S,
                )
            )
            return
        identity = self.pending.add(pending)
        pending.cancel = lambda: self.withdraw(identity)
        pending.sent = True
        request = with_id(request, identity)
        try:
            await self.frames.send(request)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.pending.resolve(identity, lost("the connection broke while sending"))

    def withdraw(self, identity: int) -> None:
        if identity in self.pending.entries:
            self.pending.drop(identity)
            self.cancel_queue(identity)

    def cancel_queue(self, identity: int) -> None:
        """Tell the peer that nobody waits for the answer."""
        self.spawn(self.notice, Cancel(identity))

    async def notice(self, message: Message) -> bool:
        """Send a message that has no answer.

        :return: whether it was handed to a connection.
        """
        frames = self.frames
        if frames is None:
            return False
        try:
            await frames.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True


def with_id(request: Call | KeyFence, identity: int) -> Call | KeyFence:
    if isinstance(request, Call):
        request.id = identity
        return request
    return KeyFence(identity, request.key, request.holder)


def lost(detail: str) -> Failure:
    return Failure(
        reason=Reason.PEER_CONNECTION_LOST, outcome=Outcome.UNKNOWN, detail=detail
    )


def bad_handshake(message: Message | Failure | None) -> Failure:
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
