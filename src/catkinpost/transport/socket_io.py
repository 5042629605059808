"""Socket reads and writes that avoid unnecessary task scheduling."""

import errno
import fcntl
import math
import os
import struct
import sys
import termios
from collections.abc import Iterator

import trio
from eliot import log_message

__all__ = [
    "NothingWrittenError",
    "RELEASE_TIME_S",
    "SHORTAGE_ERRORS",
    "count_free_descriptors",
    "count_unread_bytes",
    "count_waiting_callers",
    "open_connection",
    "read_available",
    "read_queue_size",
    "read_waiting_time",
    "receive_some",
    "send_all",
    "set_receive_buffer",
    "split_bytes",
    "wait_for_input",
    "write_some",
]

QUEUE_SIZE = struct.Struct("i")
# Place of the milliseconds since the last data came, in the TCP information of Linux.
LAST_DATA = struct.Struct("52xI")
# Place of the length of a listener's accept queue there.
QUEUE_LENGTH = struct.Struct("24xI")
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE)
# Time in which the tasks of closed connections release their descriptors.
RELEASE_TIME_S = 0.01


class NothingWrittenError(trio.BrokenResourceError):
    """The connection was lost before the system took any byte of the data."""


def count_unread_bytes(stream: trio.abc.Stream) -> int:
    """Return the number of bytes that have arrived and were not read.

    :param stream: connection; the number is 0 if it is not an open socket.
    """
    socket = getattr(stream, "socket", None)
    if socket is None or socket.fileno() < 0:
        return 0
    return read_queue_size(socket, termios.FIONREAD)


def read_queue_size(socket: trio.socket.SocketType, request: int) -> int:
    """Return the size of a queue of an open socket, in bytes.

    :param request: ``FIONREAD`` or ``TIOCOUTQ`` of :mod:`termios`.
    :raises OSError: when the system does not tell it.
    """
    reply = fcntl.ioctl(socket.fileno(), request, bytes(QUEUE_SIZE.size))
    return QUEUE_SIZE.unpack(reply)[0]


def read_waiting_time(stream: trio.SocketStream) -> float:
    """Return the seconds since data came, or else since a connection was made.

    :return: the seconds, infinite when the system does not tell them.
    """
    if sys.platform != "linux":
        return math.inf
    data = stream.socket.getsockopt(
        trio.socket.IPPROTO_TCP, trio.socket.TCP_INFO, LAST_DATA.size
    )
    return LAST_DATA.unpack(data)[0] / 1000


def count_waiting_callers(listener: trio.socket.SocketType) -> int | None:
    """Return the number of connections that wait to be accepted.

    :return: the number, ``None`` when the system does not tell it.
    """
    if sys.platform != "linux":
        return None
    data = listener.getsockopt(
        trio.socket.IPPROTO_TCP, trio.socket.TCP_INFO, QUEUE_LENGTH.size
    )
    return QUEUE_LENGTH.unpack(data)[0]


def count_free_descriptors(descriptor: int, most: int) -> int:
    """Return how many descriptors this process can still open.

    :param descriptor: any open descriptor.
    :param most: number at which counting ends.
    """
    copies: list[int] = []
    try:
        while len(copies) < most:
            copies.append(fcntl.fcntl(descriptor, fcntl.F_DUPFD_CLOEXEC, 0))
    except OSError as error:
        if error.errno not in SHORTAGE_ERRORS:
            raise
    finally:
        for copy in copies:
            os.close(copy)
    return len(copies)


def set_receive_buffer(socket: trio.socket.SocketType, size: int) -> None:
    """Set the size of the receive buffer of a socket, which does not adapt any more.

    The system keeps about twice as many bytes, with its own overhead.

    :param socket: listener, whose connections inherit it, or connection.
    :param size: size in bytes.
    """
    if socket.fileno() < 0:
        return
    try:
        socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, size)
    except OSError as error:
        log_message("socket: receive buffer as it is", why=repr(error))


def split_bytes(data: bytes, size: int) -> Iterator[memoryview]:
    """Split bytes into pieces without copying them.

    :param size: largest size of a piece, in bytes.
    """
    view = memoryview(data)
    for start in range(0, len(view), size):
        yield view[start : start + size]


async def open_connection(
    host: str, port: int, *, timeout_s: float
) -> trio.SocketStream:
    """Open a connection within some time.

    One that the kernel has established counts, even if this process sees it late.

    :param host: IP address.
    :param port: TCP port.
    :param timeout_s: longest time in seconds.
    :raises OSError: when it can't be established.
    :raises trio.TooSlowError: when it was not established in time.
    """
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    connection = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await connection.connect((host, port))
    except BaseException:
        connection.close()
        raise
    return trio.SocketStream(connection)


def write_some(stream: trio.abc.Stream, data: bytes) -> int:
    """Write as many bytes as fit into the send buffer, without waiting.

    :param stream: connection; nothing is written if it is not a socket.
    :param data: bytes to write.
    :return: number of bytes written.
    :raises NothingWrittenError: when the connection is lost.
    :raises trio.ClosedResourceError: when this side has closed it.
    """
    socket = getattr(stream, "socket", None)
    if socket is None:
        return 0
    descriptor = socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError("the connection is closed")
    try:
        return os.write(descriptor, data)
    except BlockingIOError:
        return 0
    except OSError as error:
        # The system reports an error only if it took nothing, else the number of bytes.
        raise NothingWrittenError(str(error)) from error


async def send_all(stream: trio.abc.Stream, data: bytes) -> None:
    """Send bytes, waiting only if they do not fit into the send buffer.

    Most messages fit into the send buffer. Writing them directly avoids task
    scheduling, which costs more than the system call itself.

    :param stream: connection.
    :param data: bytes to send.
    :raises NothingWrittenError: when the first write shows that the connection is lost.
    :raises trio.BrokenResourceError: when it is lost later.
    """
    sent = write_some(stream, data)
    if sent < len(data):
        await stream.send_all(memoryview(data)[sent:])


async def receive_some(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    """Wait for bytes and read them with a single call.

    Streams try to read before they wait, which fails for most messages because they
    have not arrived yet.

    :param stream: connection.
    :param max_bytes: maximum number of bytes to return.
    :return: received bytes, empty at the end of the connection.
    :raises trio.BrokenResourceError: when the connection is lost.
    :raises trio.ClosedResourceError: when this side has closed it.
    """
    socket = getattr(stream, "socket", None)
    if socket is None:
        return await stream.receive_some(max_bytes)
    while True:
        await wait_for_input(stream)
        data = read_available(stream, max_bytes)
        if data is not None:
            return data


async def wait_for_input(stream: trio.SocketStream) -> None:
    """Wait until a connection can be read.

    :raises trio.ClosedResourceError: when this side has closed it.
    """
    # Another task may have closed it while this one did not wait for bytes.
    if stream.socket.fileno() < 0:
        raise trio.ClosedResourceError("the connection is closed")
    await trio.lowlevel.wait_readable(stream.socket)


def read_available(stream: trio.SocketStream, max_bytes: int) -> bytes | None:
    """Read what has arrived, without waiting.

    :param max_bytes: maximum number of bytes to return.
    :return: received bytes, empty at the end of the connection, ``None`` if nothing
        has arrived.
    :raises trio.BrokenResourceError: when the connection is lost.
    :raises trio.ClosedResourceError: when this side has closed it.
    """
    # After a close, the descriptor number may belong to another connection.
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError("the connection is closed")
    try:
        return os.read(descriptor, max_bytes)
    except BlockingIOError:
        return None
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
