"""Bound on the bytes of all requests that a node holds together."""

from collections import deque
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.memory_account import MemoryAccount

__all__ = ["LARGE_BODY_BYTES", "SMALL_BODY_BYTES", "RequestMemory", "Reservation"]

# Bodies up to this size are not counted: large ones never hold them up.
SMALL_BODY_BYTES = 8 * 1024
# Bodies above this size leave a share of the memory to the others.
LARGE_BODY_BYTES = 256 * 1024
SHARE_WITHOUT_LARGE = 1 / 8
# A caller can send a refused request to another node while its deadline lasts.
MAX_WAIT_S = 1.0
RETRY_AFTER_S = 0.5


@dataclass(eq=False, slots=True)
class Reservation:
    """Bytes reserved for one request until they are released.

    :param memory: memory that the bytes are taken from.
    :param size: reserved bytes.
    """

    memory: "RequestMemory"
    size: int

    def grow(self, size: int) -> bool:
        """Reserve more bytes for a body of unknown length, without waiting.

        :param size: bytes that the body needs in total.
        :return: whether they are reserved.
        """
        if not self.memory.has_room(size, held=self.size):
            return False
        self.memory.used_bytes += size - self.size
        self.size = size
        return True

    def release(self) -> None:
        """Return the bytes; later calls have no effect."""
        size, self.size = self.size, 0
        self.memory.return_bytes(size)


@dataclass(eq=False, slots=True)
class Waiter:
    """Request that waits for memory."""

    size: int
    granted: trio.Event = field(default_factory=trio.Event)
    reservation: Reservation | None = None


class RequestMemory:
    """Memory for the bodies of requests that are being received or held.

    :param max_bytes: bytes of all bodies together, without those of small ones.
    :param decisions: log for refusals.
    :param account: common bound with other memory, ``None`` for none.
    :param largest_bytes: size of the largest request that is allowed, with its head.
        Large bodies leave less than their share to the others where it needs more.
    """

    def __init__(
        self,
        max_bytes: int,
        decisions: DecisionLog,
        *,
        account: MemoryAccount | None = None,
        largest_bytes: int = 0,
    ) -> None:
        self.max_bytes = max_bytes
        share_bytes = max_bytes - int(max_bytes * SHARE_WITHOUT_LARGE)
        self.max_large_bytes = min(max_bytes, max(share_bytes, largest_bytes))
        self.decisions = decisions
        self.account = account
        self.used_bytes = 0
        self.waiters: deque[Waiter] = deque()

    def has_room(self, size: int, *, held: int = 0) -> bool:
        """Return whether a body fits.

        :param size: bytes that the body needs in total.
        :param held: bytes that are reserved for it already.
        """
        is_large = size > LARGE_BODY_BYTES
        bound = self.max_large_bytes if is_large else self.max_bytes
        if self.used_bytes - held + size > bound:
            return False
        return self.account is None or self.account.has_room(size - held)

    def reserve_now(self, size: int) -> Reservation | None:
        """Reserve bytes, or return ``None`` when a wait would be necessary.

        Large bodies are served in the order of their arrival, the others at once.
        """
        has_turn = size <= LARGE_BODY_BYTES or not self.waiters
        if not has_turn or not self.has_room(size):
            return None
        self.used_bytes += size
        return Reservation(self, size)

    async def reserve(self, size: int) -> Reservation | Failure:
        """Reserve bytes, and wait for a bounded time until they are free.

        Whoever waits must hold no other reservation.

        :param size: bytes to reserve.
        """
        if size > self.max_large_bytes:
            # A node with more memory may hold it.
            return self.refuse(
                f"the node holds bodies of up to {self.max_large_bytes} bytes",
                retry_after=None,
            )
        reservation = self.reserve_now(size)
        if reservation is not None:
            return reservation
        waiter = Waiter(size)
        self.waiters.append(waiter)
        try:
            with trio.move_on_after(MAX_WAIT_S):
                await waiter.granted.wait()
        except trio.Cancelled:
            if waiter.reservation is not None:
                waiter.reservation.release()
            raise
        finally:
            if waiter.reservation is None:
                self.waiters.remove(waiter)
                self.serve_waiters()
        return waiter.reservation or self.refuse()

    def refuse(
        self,
        detail: str = "other requests use up the memory of the node",
        retry_after: float | None = RETRY_AFTER_S,
    ) -> Failure:
        """Log a refusal and return its failure.

        :param detail: reason of the refusal.
        :param retry_after: seconds after which the caller may try this node again.
        """
        self.decisions.add(
            "memory",
            "refuse",
            Reason.REQUEST_MEMORY_FULL,
            reason=detail,
            used_bytes=self.used_bytes,
            max_bytes=self.max_bytes,
        )
        return Failure(
            reason=Reason.REQUEST_MEMORY_FULL,
            detail=detail,
            retry_after=retry_after,
        )

    def return_bytes(self, size: int) -> None:
        """Return reserved bytes and serve the requests that wait for them."""
        self.used_bytes -= size
        if self.waiters:
            self.serve_waiters()

    def serve_waiters(self) -> None:
        """Grant what fits; a large body that does not fit yet keeps its turn."""
        is_turn_kept = False
        for waiter in list(self.waiters):
            is_large = waiter.size > LARGE_BODY_BYTES
            if is_large and is_turn_kept:
                continue
            if self.has_room(waiter.size):
                self.used_bytes += waiter.size
                waiter.reservation = Reservation(self, waiter.size)
                self.waiters.remove(waiter)
                waiter.granted.set()
            elif is_large:
                is_turn_kept = True
