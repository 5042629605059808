"""Accepting of connections at one address, and its end."""

import errno
from collections.abc import Awaitable, Callable

import trio
from eliot import log_message

__all__ = ["END_TIMEOUT_S", "LISTEN_BACKLOG", "Acceptor"]

# While the accept queue is full, each caller waits seconds before it connects again.
LISTEN_BACKLOG = 1024
# A stop has a fixed end, and other tasks may run between two connections.
END_TIMEOUT_S = 0.1

SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE)
# Time in which the tasks of closed connections release their descriptors.
RELEASE_TIME_S = 0.01

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def keep_all() -> int:
    """Close no connection for a new one."""
    return 0


class SparingListener(trio.abc.Listener[trio.SocketStream]):
    """Listener that closes other connections when descriptors run out.

    Callers whose connections nobody accepts wait for as long as the shortage lasts.

    :param listener: listener with the queue of connections.
    :param make_room: closes connections and returns their number.
    """

    def __init__(
        self, listener: trio.SocketListener, make_room: Callable[[], int]
    ) -> None:
        self.listener = listener
        self.make_room = make_room

    async def accept(self) -> trio.SocketStream:
        """Accept a connection.

        :raises OSError: when no descriptor can be had.
        """
        while True:
            try:
                return await self.listener.accept()
            except OSError as error:
                closed = self.make_room() if error.errno in SHORTAGE_ERRORS else 0
                if not closed:
                    raise
                log_message("accept: closed others", count=closed, why=repr(error))
            await trio.sleep(RELEASE_TIME_S)

    async def aclose(self) -> None:
        """Close the listener."""
        await self.listener.aclose()


class Acceptor:
    """Accepts connections until it is stopped; open connections continue.

    The kernel resets the connections that wait to be accepted when their listener is
    closed, with the requests sent on them. They are accepted before.

    :param backlog: most connections that are accepted at the end, as callers may
        never stop coming.
    :ivar make_room: closes connections when descriptors run out, and returns their
        number.
    :ivar scope: cancelling it starts the end, as ``stop`` does.
    """

    def __init__(self, backlog: int = LISTEN_BACKLOG) -> None:
        self.backlog = backlog
        self.make_room: Callable[[], int] = keep_all
        self.scope = trio.CancelScope()
        self.is_running = False
        self.ended = trio.Event()

    async def run(
        self, serve: Serve, listeners: list[trio.SocketListener], nursery: trio.Nursery
    ) -> None:
        """Accept connections until stopped, and then those that wait.

        :param serve: serves one connection.
        :param listeners: open listeners, which are closed on return.
        :param nursery: nursery of the tasks that serve the connections.
        """
        self.is_running = True
        # The queue of a listener stays while one of its descriptors is open.
        queues = [trio.SocketListener(item.socket.dup()) for item in listeners]
        try:
            sparing = [SparingListener(item, self.make_room) for item in listeners]
            with self.scope:
                await trio.serve_listeners(serve, sparing, handler_nursery=nursery)
            for queue in queues:
                await self.accept_waiting(serve, queue, nursery)
        finally:
            for queue in queues:
                queue.socket.close()
        # The tasks of the last connections run their first step meanwhile.
        await trio.lowlevel.checkpoint()
        self.ended.set()

    async def accept_waiting(
        self, serve: Serve, queue: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        ends_at = trio.current_time() + END_TIMEOUT_S
        listener = SparingListener(queue, self.make_room)
        for _ in range(self.backlog):
            if not queue.socket.is_readable() or trio.current_time() >= ends_at:
                break
            try:
                stream = await listener.accept()
            except OSError as error:
                log_message("accept: connections left in the queue", why=repr(error))
                break
            nursery.start_soon(serve, stream)
        queue.socket.close()

    async def stop(self) -> None:
        """Stop accepting; the tasks of all accepted connections have begun then."""
        self.scope.cancel()
        if self.is_running:
            await self.ended.wait()
