"""Event that one task waits for again and again."""

import trio

__all__ = ["AutoResetEvent"]


class AutoResetEvent:
    """Event that resets itself whenever a wait for it ends."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        self.event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task."""
        self.event.set()

    async def wait(self, timeout: float | None) -> None:
        """Wait for the next :meth:`set`.

        :param timeout: longest wait in seconds, ``None`` for no limit.
        """
        if timeout is None:
            await self.event.wait()
        elif not self.event.is_set():
            with trio.move_on_after(timeout):
                await self.event.wait()
        if self.event.is_set():
            self.event = trio.Event()
