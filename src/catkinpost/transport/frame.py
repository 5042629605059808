"""Length-prefixed framing of peer messages on a stream."""

import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

import trio

from catkinpost.protocol.http import compute_head_bytes
from catkinpost.protocol.message import (
    CALL_HEAD_BYTES,
    Call,
    FeedPage,
    Message,
    decode_call_id,
    decode_message,
    encode_message,
    encode_message_parts,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.request_memory import (
    SMALL_BODY_BYTES,
    RequestMemory,
    Reservation,
)
from catkinpost.transport.linger import Linger, count_unacknowledged_bytes
from catkinpost.transport.socket_io import (
    count_unread_bytes,
    receive_some,
    split_bytes,
    write_some,
)

__all__ = ["FrameStream", "SkippedCall", "close_all"]

LENGTH_PREFIX = struct.Struct(">I")
READ_BYTES = 65536
LARGE_READ_BYTES = 256 * 1024
SENT_PIECE_BYTES = 256 * 1024
SEND_TIMEOUT_S = 3.0
# Unsent bytes that are kept of an incomplete message, as later signs of life.
KEPT_UNSENT_BYTES = 64
# Their times count from their sending.
TIMED_MESSAGES = (Call, FeedPage)
# Larger bodies are written without a copy.
MAX_COPIED_BODY_BYTES = 65536


@dataclass(frozen=True, slots=True)
class SkippedCall:
    """Call that was not kept, because the memory for requests is used up.

    :param id: id of the call.
    """

    id: int


class FrameStream:
    """Peer messages sent and received on one connection.

    :param stream: connection to the peer.
    :param max_frame_bytes: maximum size of a received frame.
    :param memory: memory for received calls, ``None`` for no common bound.
    :param send_timeout_s: seconds in which the peer must take a part of a message.

    ``reservation`` belongs to the frame that is being received and, after that, to the
    call that was received last. ``progressed_at`` is the last time at which the peer
    took a part of a message that it could not take at once. ``sent_at`` is the time at
    which the latest message was to be sent, and ``received_at`` the last time at which
    any bytes arrived. ``message_start`` is the position of the latest
    message in all input. ``resumed_at`` is the end of the latest pause of this process.
    ``sending_ended`` is set once a message was left incomplete, so that no other can
    follow; received messages can still be read. ``has_stalled`` is true if the peer
    took nothing of that message in time, while this process ran.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        max_frame_bytes: int,
        memory: RequestMemory | None = None,
        send_timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self.stream = stream
        self.max_frame_bytes = max_frame_bytes
        self.memory = memory
        self.send_timeout_s = send_timeout_s
        self.buffer = bytearray()
        self.send_lock = trio.Lock()
        self.sending_ended = trio.Event()
        self.has_stalled = False
        self.unsent = b""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.progressed_at = -math.inf
        self.sent_at = -math.inf
        self.received_at = -math.inf
        self.message_start = 0
        self.old_bytes = 0
        self.old_until = -math.inf
        self.pauses = 0
        self.resumed_at = -math.inf
        self.reservation: Reservation | None = None
        self.skipped_call: SkippedCall | None = None
        self.skip_bytes = 0

    @property
    def is_old(self) -> bool:
        """Whether the latest message may have been sent long before it was received."""
        return (
            self.message_start < self.old_bytes or trio.current_time() < self.old_until
        )

    def distrust(self, seconds: float) -> None:
        """Count input as old that has arrived, or arrives within some seconds.

        What is being sent is as old; a message with a time of its own is not completed.
        """
        self.pauses += 1
        self.old_bytes = self.received_bytes + count_unread_bytes(self.stream)
        self.resumed_at = trio.current_time()
        self.old_until = self.resumed_at + seconds

    def is_silent(self, since: float, seconds: float) -> bool:
        """Return whether the peer has shown no sign of life for some time.

        A process that did not run has waited for none, and may not have read it yet.

        :param since: time before which no sign was expected.
        :param seconds: longest silence.
        """
        alive_at = max(since, self.received_at, self.resumed_at)
        is_overdue = trio.current_time() - alive_at >= seconds
        return is_overdue and not count_unread_bytes(self.stream)

    def describe_unsent(self) -> tuple[float, int]:
        """Return values that change when the peer takes a part of what is sent."""
        socket = getattr(self.stream, "socket", None)
        queued_bytes = 0 if socket is None else count_unacknowledged_bytes(socket) or 0
        return self.progressed_at, queued_bytes

    async def send(self, message: Message) -> None:
        """Send one message; concurrent calls are serialized.

        A message whose sending raises an error is incomplete at the peer, if any of it
        arrives: the peer never acts on it.

        :param message: message to send.
        :raises trio.BrokenResourceError: when the connection is lost, its sending side
            has ended, or the message is too old to be sent.
        """
        self.check_sending()
        parts = encode_frame(message)
        self.sent_at = trio.current_time()
        pauses = self.pauses
        self.sent_bytes += sum(map(len, parts))
        has_begun = not self.send_lock.locked()
        if has_begun:
            parts = write_parts(self.stream, parts)
            if not parts:
                return
            self.send_lock.acquire_nowait()
        else:
            await self.send_lock.acquire()
        # A cancelled send would leave an incomplete frame on the stream, so the rest
        # is sent despite cancellation, while the peer takes a part of it in time.
        is_old = False
        pieces = split_parts(parts)
        with trio.CancelScope(shield=True) as scope:
            try:
                self.check_sending()
                for piece in pieces:
                    if self.pauses != pauses and isinstance(message, TIMED_MESSAGES):
                        is_old = True
                        break
                    scope.deadline = trio.current_time() + self.send_timeout_s
                    has_begun = True
                    await self.stream.send_all(piece)
                    self.progressed_at = trio.current_time()
            finally:
                self.send_lock.release()
        if not scope.cancelled_caught and not is_old:
            return
        if has_begun:
            self.sending_ended.set()
            if is_old:
                self.unsent = join_start(chain([piece], pieces), KEPT_UNSENT_BYTES)
            else:
                # A pause of this process may be found in the same step.
                await trio.lowlevel.cancel_shielded_checkpoint()
                self.has_stalled = self.pauses == pauses
        raise trio.BrokenResourceError(
            "the message is too old" if is_old else "the peer takes no data in time"
        )

    def check_sending(self) -> None:
        """Raise an error if no message can be sent any more.

        :raises trio.BrokenResourceError: when an earlier message is incomplete.
        """
        if self.sending_ended.is_set():
            raise trio.BrokenResourceError("an earlier message is incomplete")

    def send_sign_of_life(self) -> None:
        """Send one byte more of the incomplete message, but never its last one.

        :raises trio.BrokenResourceError: when the connection is lost.
        :raises trio.ClosedResourceError: when this side has closed it.
        """
        if len(self.unsent) > 1:
            written = write_some(self.stream, self.unsent[:1])
            self.unsent = self.unsent[written:]

    async def receive(self) -> Message | SkippedCall | Failure | None:
        """Wait for the next message.

        :return: the message, the id of a call that was not kept, a failure when the
            peer sends invalid data, or ``None`` at the end of the connection.
        :raises trio.BrokenResourceError: when the connection is lost.
        """
        while True:
            self.message_start = self.received_bytes - len(self.buffer)
            message = self.extract_message()
            if message is not None:
                return message
            in_large_call = self.reservation is not None or self.skip_bytes
            max_bytes = LARGE_READ_BYTES if in_large_call else READ_BYTES
            data = await receive_some(self.stream, max_bytes)
            if not data:
                return None
            self.received_at = trio.current_time()
            self.received_bytes += len(data)
            self.buffer += data

    def extract_message(self) -> Message | SkippedCall | Failure | None:
        if self.skipped_call is not None:
            return self.skip_received()
        if len(self.buffer) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
        if length > self.max_frame_bytes:
            return Failure(
                reason=Reason.PEER_BAD_MESSAGE,
                detail=f"a frame of {length} bytes exceeds {self.max_frame_bytes}",
            )
        if length > SMALL_BODY_BYTES and self.memory is not None:
            if len(self.buffer) < LENGTH_PREFIX.size + CALL_HEAD_BYTES:
                return None
            if not self.reserve_memory(length):
                return self.skip_received()
        end = LENGTH_PREFIX.size + length
        if len(self.buffer) < end:
            return None
        with memoryview(self.buffer) as view, view[LENGTH_PREFIX.size : end] as frame:
            message = decode_message(frame)
        del self.buffer[:end]
        if isinstance(message, Call) and not self.reserve_head(message, length):
            return SkippedCall(message.id)
        return message

    def reserve_head(self, call: Call, length: int) -> bool:
        """Reserve memory for the head of a call, which takes more than its frame.

        :param length: size of its frame, which is reserved already if it is large.
        :return: whether the call is to be kept.
        """
        head_bytes = compute_head_bytes(call.headers)
        if head_bytes <= SMALL_BODY_BYTES or self.memory is None:
            return True
        if self.reservation is None:
            self.reservation = self.memory.reserve_now(head_bytes)
            is_kept = self.reservation is not None
        else:
            is_kept = self.reservation.grow(length + head_bytes)
        if not is_kept:
            self.memory.refuse()
            if reservation := self.take_reservation():
                reservation.release()
        return is_kept

    def reserve_memory(self, length: int) -> bool:
        """Reserve memory for a frame if it is a call.

        The connection carries many calls, so it must not wait for memory.

        :return: whether the frame is to be kept.
        """
        if self.reservation is not None:
            return True
        start = LENGTH_PREFIX.size
        call_id = decode_call_id(bytes(self.buffer[start : start + CALL_HEAD_BYTES]))
        if call_id is None:
            return True
        self.reservation = self.memory.reserve_now(length)
        if self.reservation is None:
            self.memory.refuse()
            self.skipped_call = SkippedCall(call_id)
            self.skip_bytes = start + length
        return self.reservation is not None

    def skip_received(self) -> SkippedCall | None:
        """Drop received bytes of a call; return the call at its end."""
        dropped_bytes = min(self.skip_bytes, len(self.buffer))
        del self.buffer[:dropped_bytes]
        self.skip_bytes -= dropped_bytes
        if self.skip_bytes:
            return None
        call, self.skipped_call = self.skipped_call, None
        return call

    def take_reservation(self) -> Reservation | None:
        """Hand over the reservation of the call that was received last."""
        reservation, self.reservation = self.reservation, None
        return reservation

    async def deliver(self) -> None:
        """Send no further message, and wait until the peer has received the others.

        A close with unread input would reset the connection and destroy them.

        :raises trio.BrokenResourceError: when the connection is lost.
        """
        # Other streams than sockets keep what was sent.
        if hasattr(self.stream, "socket"):
            async with self.send_lock:
                await Linger(self.stream).deliver()

    async def close(self) -> None:
        """Close the connection without waiting for the peer."""
        if self.reservation is not None:
            self.reservation.release()
        await trio.aclose_forcefully(self.stream)


async def close_all(connections: Iterable[FrameStream]) -> None:
    """Close connections without waiting for the peers.

    One after the other, each would take a turn of the event loop.
    """
    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(connection.close)


def encode_frame(message: Message) -> list[bytes]:
    """Return the parts of the frame of a message."""
    if len(getattr(message, "body", b"")) <= MAX_COPIED_BODY_BYTES:
        data = encode_message(message)
        return [LENGTH_PREFIX.pack(len(data)) + data]
    head, *others = encode_message_parts(message)
    length = len(head) + sum(map(len, others))
    return [LENGTH_PREFIX.pack(length) + head, *others]


def split_parts(parts: list[bytes]) -> Iterator[memoryview]:
    """Split parts into pieces, so that progress is seen while they are sent."""
    for part in parts:
        yield from split_bytes(part, SENT_PIECE_BYTES)


def join_start(pieces: Iterable[memoryview], size: int) -> bytes:
    """Return the first bytes of consecutive pieces.

    :param size: largest number of bytes.
    """
    start = bytearray()
    for piece in pieces:
        start += piece[: size - len(start)]
        if len(start) == size:
            break
    return bytes(start)


def write_parts(stream: trio.abc.Stream, parts: list[bytes]) -> list[bytes]:
    """Write what fits into the send buffer, and return what is left."""
    for index, part in enumerate(parts):
        written = write_some(stream, part)
        if written < len(part):
            return [memoryview(part)[written:], *parts[index + 1 :]]
    return []
