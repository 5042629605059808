"""Length-prefixed framing of peer messages on a stream."""

import struct

import trio

from catkinpost.protocol.message import Message, decode_message, encode_message
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.transport.socket_io import receive_some, write_some

__all__ = ["FrameStream"]

LENGTH_PREFIX = struct.Struct(">I")
READ_BYTES = 65536
SEND_TIMEOUT_S = 3.0


class FrameStream:
    """Peer messages sent and received on one connection.

    :param stream: connection to the peer.
    :param max_frame_bytes: maximum size of a received frame.
    """

    def __init__(self, stream: trio.abc.Stream, *, max_frame_bytes: int) -> None:
        self.stream = stream
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()
        self.send_lock = trio.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, message: Message) -> None:
        """Send one message; concurrent calls are serialized.

        :param message: message to send.
        :raises trio.BrokenResourceError: when the connection is lost.
        """
        data = encode_message(message)
        frame = LENGTH_PREFIX.pack(len(data)) + data
        self.sent_bytes += len(frame)
        is_lock_free = not self.send_lock.locked()
        if is_lock_free:
            frame = frame[write_some(self.stream, frame) :]
            if not frame:
                return
            self.send_lock.acquire_nowait()
        # A cancelled send would leave an incomplete frame on the stream, so the rest
        # is sent despite cancellation. The connection is closed when the peer does
        # not receive it within SEND_TIMEOUT_S.
        with trio.move_on_after(SEND_TIMEOUT_S, shield=True) as scope:
            if not is_lock_free:
                await self.send_lock.acquire()
            try:
                await self.stream.send_all(frame)
            finally:
                self.send_lock.release()
        if scope.cancelled_caught:
            await self.close()
            raise trio.BrokenResourceError("the peer takes no data")

    async def receive(self) -> Message | Failure | None:
        """Wait for the next message.

        :return: the message, a failure when the peer sends invalid data, or ``None`` at
            the end of the connection.
        :raises trio.BrokenResourceError: when the connection is lost.
        """
        while True:
            frame = self.extract_frame()
            if isinstance(frame, Failure):
                return frame
            if frame is not None:
                return decode_message(frame)
            data = await receive_some(self.stream, READ_BYTES)
            if not data:
                return None
            self.received_bytes += len(data)
            self.buffer += data

    def extract_frame(self) -> bytes | Failure | None:
        if len(self.buffer) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self.buffer)
        if length > self.max_frame_bytes:
            return Failure(
                reason=Reason.PEER_BAD_MESSAGE,
                detail=f"a frame of {length} bytes exceeds {self.max_frame_bytes}",
            )
        end = LENGTH_PREFIX.size + length
        if len(self.buffer) < end:
            return None
        frame = bytes(self.buffer[LENGTH_PREFIX.size : end])
        del self.buffer[:end]
        return frame

    async def close(self) -> None:
        """Close the connection without waiting for the peer."""
        await trio.aclose_forcefully(self.stream)
