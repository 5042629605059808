"""Accepting of connections at one address, and its end."""

import contextlib
import errno
import resource
import socket
from collections.abc import Awaitable, Callable

import trio
from eliot import log_message

from catkinpost.log import log_exception
from catkinpost.protocol.settings import Address
from catkinpost.transport.socket_io import (
    RELEASE_TIME_S,
    SHORTAGE_ERRORS,
    count_free_descriptors,
    count_waiting_callers,
    read_waiting_time,
    set_receive_buffer,
)

__all__ = [
    "END_TIMEOUT_S",
    "LISTEN_BACKLOG",
    "MAX_OPEN_RETRY_S",
    "AcceptQueue",
    "Acceptor",
    "CallerGate",
    "accept_connection",
    "keep_all",
]

# While the accept queue is full, each caller waits seconds before it connects again.
LISTEN_BACKLOG = 1024
# A stop has a fixed end, and descriptors may be short until then.
END_TIMEOUT_S = 0.1
# Other tasks have their turns between batches of connections.
MAX_ACCEPTED_AT_ONCE = 64
# Errors of one connection that was lost while it waited; others wait behind it.
LOST_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
MAX_LOST_CONNECTIONS = 64

# Delays between tries double from the first to the second.
OPEN_RETRY_S, MAX_OPEN_RETRY_S = 0.05, 0.5
ACCEPT_RETRY_S, MAX_ACCEPT_RETRY_S = 0.1, 0.5

# Well below the second after which a caller takes its request to another node.
MAX_TURN_WAIT_S = 0.25
# With fewer connections than this share of the descriptors, it is not callers that
# use them up.
CALLERS_SHARE = 0.25
# Refusals use this share of the descriptors that are else left free.
REFUSALS_SHARE = 0.5
# So many callers are accepted whatever else takes the memory of the machine.
MIN_CONNECTIONS = 64

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def keep_all() -> int:
    """Close no connection for a new one."""
    return 0


def take_none() -> int:
    """Leave all connections to callers."""
    return 0


class CallerGate:
    """Bound on the connections of callers, below the limit of descriptors.

    The others are for what serves the callers. While callers wait, connections are to
    be closed behind their answers, so that all callers take turns. Those that would
    wait for too long are accepted with the others, and refused.

    :param count_connections: returns the number of callers' connections.
    :param make_room: closes connections on which nothing is due.
    :param reserved_descriptors: descriptors to leave free, 0 for no bound.
    :param max_connections: most connections at once, ``None`` for no such bound.
    :ivar count_taken: returns how many connections other uses of memory take the place
        of.
    :ivar is_short: whether callers wait.
    :ivar last_came_at: earliest time at which the first of those that wait has come.
    :ivar refused: accepted connections whose requests are to be refused.
    :ivar unserved: accepted connections that are not counted yet.
    """

    def __init__(
        self,
        *,
        count_connections: Callable[[], int],
        make_room: Callable[[], int],
        reserved_descriptors: int,
        max_connections: int | None = None,
    ) -> None:
        self.count_connections = count_connections
        self.make_room = make_room
        self.reserved_descriptors = reserved_descriptors
        self.max_connections = max_connections
        self.count_taken: Callable[[], int] = take_none
        self.is_short = False
        self.short_since = 0.0
        self.last_came_at = 0.0
        self.refused_connections = 0
        self.refused: set[trio.SocketStream] = set()
        self.unserved: set[trio.SocketStream] = set()

    def has_free(self, socket: trio.socket.SocketType, count: int) -> bool:
        """Return whether descriptors are free, or not used up by callers.

        :param socket: any open socket.
        """
        if not self.reserved_descriptors:
            return True
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        connections = self.count_connections() + len(self.unserved)
        if connections < CALLERS_SHARE * limit:
            return True
        return count_free_descriptors(socket.fileno(), count) >= count

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections as there may be."""
        if self.max_connections is None:
            return False
        least = min(MIN_CONNECTIONS, self.max_connections)
        most = max(least, self.max_connections - self.count_taken())
        return self.count_connections() + len(self.unserved) >= most

    def has_room(self, socket: trio.socket.SocketType) -> bool:
        """Return whether there may be one more connection."""
        if self.is_full:
            return False
        return self.has_free(socket, self.reserved_descriptors + 1)

    async def wait(self, socket: trio.socket.SocketType) -> bool:
        """Wait until a caller's connection may be accepted.

        :param socket: where callers wait.
        :return: whether the requests of the next connection are to be refused.
        """
        if self.is_short and not socket.is_readable():
            self.end_shortage()
        if self.has_room(socket):
            return False
        await trio.lowlevel.wait_readable(socket)
        while not self.has_room(socket):
            now = trio.current_time()
            if not self.is_short:
                self.is_short, self.short_since, self.last_came_at = True, now, now
            self.make_room()
            refusing = max(1, int(REFUSALS_SHARE * self.reserved_descriptors))
            is_late = now - self.last_came_at >= MAX_TURN_WAIT_S
            may_refuse = not self.is_full and self.has_free(socket, refusing)
            if is_late and may_refuse:
                return True
            await trio.sleep(RELEASE_TIME_S)
        return False

    def end_shortage(self) -> None:
        """Note that no caller waits any more."""
        log_message(
            "accept: callers waited for descriptors",
            seconds=round(trio.current_time() - self.short_since, 3),
            refused=self.refused_connections,
        )
        self.is_short = False
        self.refused_connections = 0

    def note_accepted(self, stream: trio.SocketStream, *, is_refused: bool) -> None:
        """Note a connection that was accepted.

        While callers wait, the next one has come after it.

        :param is_refused: whether its requests are to be refused.
        """
        self.unserved.add(stream)
        if not self.is_short:
            return
        came_at = trio.current_time() - read_waiting_time(stream)
        self.last_came_at = max(self.last_came_at, came_at)
        if is_refused:
            self.refused_connections += 1
            self.refused.add(stream)

    def is_refused(self, stream: trio.SocketStream) -> bool:
        """Return once whether the requests of a connection are to be refused."""
        if stream not in self.refused:
            return False
        self.refused.discard(stream)
        return True


class AcceptQueue:
    """Connections of a listener that wait to be accepted.

    :param listener: open listener; the queue needs no descriptor of its own.
    """

    def __init__(self, listener: trio.SocketListener) -> None:
        self.waiting = listener.socket
        self.socket = socket.socket(fileno=listener.socket.fileno())
        self.socket.setblocking(False)

    def accept(self) -> trio.SocketStream | None:
        """Accept a connection that waits, in the current step of the event loop.

        :return: the connection, ``None`` if none waits.
        :raises OSError: when none can be accepted now.
        """
        connection = self.accept_next()
        if connection is None:
            return None
        return trio.SocketStream(trio.socket.from_stdlib_socket(connection))

    def accept_next(self) -> socket.socket | None:
        """Accept the next connection that is not lost.

        :raises OSError: when none can be accepted now.
        """
        for _ in range(MAX_LOST_CONNECTIONS):
            try:
                return accept_connection(self.socket)
            except BlockingIOError:
                return None
            except OSError as error:
                if error.errno not in LOST_CONNECTION_ERRORS:
                    raise
        return None

    def close(self) -> None:
        """Leave the descriptor to the listener."""
        self.socket.detach()


class Acceptor:
    """Accepts connections until it is stopped; open connections continue.

    The kernel resets the connections that wait to be accepted when their listener is
    closed, with the requests sent on them. They are accepted before.

    :param backlog: most connections that wait to be accepted, and that are accepted at
        the end, as callers may never stop coming.
    :param receive_buffer_bytes: receive buffer of each connection, ``None`` for the
        default of the system, which lets it grow to megabytes.
    :ivar make_room: closes connections when descriptors run out, and returns their
        number.
    :ivar gate: bound on connections until the end, ``None`` for none.
    :ivar is_listening: whether connections can be made.
    """

    def __init__(
        self,
        backlog: int = LISTEN_BACKLOG,
        *,
        receive_buffer_bytes: int | None = None,
    ) -> None:
        self.backlog = backlog
        self.receive_buffer_bytes = receive_buffer_bytes
        self.make_room: Callable[[], int] = keep_all
        self.gate: CallerGate | None = None
        self.open_scope = trio.CancelScope()
        self.scope = trio.CancelScope()
        self.is_running = False
        self.is_listening = False
        self.ended = trio.Event()

    async def listen(
        self,
        address: Address,
        serve: Serve,
        nursery: trio.Nursery,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Open an address, as soon as it can be had, and accept connections there.

        It may still belong to a process that ends, or be the local port of a
        connection to elsewhere.

        :param address: where to listen.
        :param serve: serves one connection.
        :param nursery: nursery of the tasks that serve the connections.
        :param task_status: is told when the address was tried once.
        """
        listeners: list[trio.SocketListener] = []
        with self.open_scope:
            listeners = await self.open(address)
            self.is_running = True
            task_status.started()
            delay_s = OPEN_RETRY_S
            while not listeners:
                await trio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_OPEN_RETRY_S)
                listeners = await self.open(address)
                if listeners:
                    log_message("listen: address opened", address=str(address))
        await self.run(serve, listeners, nursery)

    async def open(self, address: Address) -> list[trio.SocketListener]:
        """Open an address, from which connections inherit their receive buffers.

        :return: open listeners, none if the address can't be had now.
        """
        listeners = await try_to_open(address, self.backlog)
        if self.receive_buffer_bytes is not None:
            for listener in listeners:
                set_receive_buffer(listener.socket, self.receive_buffer_bytes)
        return listeners

    async def run(
        self, serve: Serve, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Accept connections until stopped, and then those that wait.

        :param serve: serves one connection.
        :param listeners: open listeners, which are closed on return.
        :param nursery: nursery of the tasks that serve the connections.
        """
        self.is_running = True
        self.is_listening = bool(listeners)
        try:
            with self.scope:
                await self.accept(serve, listeners, nursery)
            for listener in listeners:
                try:
                    await self.accept_waiting(serve, listener, nursery)
                except Exception:
                    # The nursery has the requests in progress.
                    log_exception()
            # The tasks of the last connections run their first step meanwhile.
            await trio.lowlevel.checkpoint()
        finally:
            self.is_listening = False
            for listener in listeners:
                listener.socket.close()
            self.ended.set()

    async def accept(
        self, serve: Serve, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Accept connections until cancelled, whatever fails meanwhile."""
        delay_s = ACCEPT_RETRY_S
        while True:
            try:
                async with trio.open_nursery() as loops:
                    for listener in listeners:
                        loops.start_soon(self.accept_from, serve, listener, nursery)
            except* Exception:
                log_exception()
            await trio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_ACCEPT_RETRY_S)

    async def accept_from(
        self, serve: Serve, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections of one listener until cancelled.

        All that wait are accepted in one step: a step for each would let them wait for
        as many turns of the event loop, each of which is long in a busy process.
        """
        with contextlib.closing(AcceptQueue(listener)) as queue:
            while True:
                is_refused = self.gate is not None and await self.gate.wait(
                    queue.waiting
                )
                await trio.lowlevel.wait_readable(queue.waiting)
                try:
                    self.accept_batch(queue, serve, nursery, is_refused)
                except OSError as error:
                    has_room = self.make_room_after(error)
                    await trio.sleep(RELEASE_TIME_S if has_room else ACCEPT_RETRY_S)

    def accept_batch(
        self, queue: AcceptQueue, serve: Serve, nursery: trio.Nursery, is_refused: bool
    ) -> None:
        """Accept the connections that wait and for which there is room.

        :param is_refused: whether the requests of the first one are to be refused, for
            which there is no room.
        :raises OSError: when no descriptor can be had.
        """
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            stream = queue.accept()
            if stream is None:
                return
            nursery.start_soon(self.serve_and_close, serve, stream)
            if self.gate is not None:
                self.gate.note_accepted(stream, is_refused=is_refused)
                if is_refused or not self.gate.has_room(queue.waiting):
                    return

    async def serve_and_close(self, serve: Serve, stream: trio.SocketStream) -> None:
        """Serve one connection, and close it whatever happens."""
        if self.gate is not None:
            self.gate.unserved.discard(stream)
        try:
            try:
                await serve(stream)
            finally:
                await trio.aclose_forcefully(stream)
        except* Exception:
            # The nursery has all other connections.
            log_exception()

    def make_room_after(self, error: OSError) -> bool:
        """Close connections if no descriptor is left, and return whether any was."""
        closed = self.make_room() if error.errno in SHORTAGE_ERRORS else 0
        if closed:
            log_message("accept: closed others", count=closed, why=repr(error))
        else:
            log_message("accept: failed", why=repr(error))
        return closed > 0

    async def accept_waiting(
        self, serve: Serve, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept the connections that wait, and close the listener.

        No other task runs between two of them: a busy process would have no time for
        the rest.
        """
        ends_at = trio.current_time() + END_TIMEOUT_S
        waiting, accepted = count_waiting_callers(listener.socket), 0
        with contextlib.closing(AcceptQueue(listener)) as queue:
            while accepted < self.backlog:
                try:
                    stream = queue.accept()
                except OSError as error:
                    is_over = trio.current_time() >= ends_at
                    if is_over or not self.make_room_after(error):
                        break
                    await trio.sleep(RELEASE_TIME_S)
                    continue
                if stream is None:
                    break
                nursery.start_soon(self.serve_and_close, serve, stream)
                accepted += 1
            log_message(
                "accept: ended",
                port=listener.socket.getsockname()[1],
                waiting=waiting,
                accepted=accepted,
                left=count_waiting_callers(listener.socket),
            )
            listener.socket.close()

    def start_end(self) -> None:
        """Let accepting end, without waiting for that."""
        self.open_scope.cancel()
        self.scope.cancel()

    async def stop(self) -> None:
        """Stop accepting; the tasks of all accepted connections have begun then."""
        self.start_end()
        if self.is_running:
            await self.ended.wait()


def accept_connection(listener: socket.socket) -> socket.socket:
    """Accept one connection of a listener that does not block.

    :raises OSError: when none waits, it was lost, or none can be accepted.
    """
    connection, _ = listener.accept()
    return connection


async def try_to_open(address: Address, backlog: int) -> list[trio.SocketListener]:
    """Open an address.

    :param address: where to listen.
    :param backlog: most connections that wait to be accepted.
    :return: open listeners, none if the address can't be had now.
    """
    try:
        return await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=backlog
        )
    except OSError as error:
        log_message("listen: address not open", address=str(address), why=repr(error))
        return []
