"""Bound on what the requests of callers make a node hold besides large bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.memory_account import MemoryAccount

__all__ = ["FREE_BYTES", "HeadMemory", "RequestHolder"]

# Room that each connection has in any case: some ordinary requests, or one with a small
# body. The number of connections is bounded by the descriptors.
FREE_BYTES = 16 * 1024
RETRY_AFTER_S = 0.5


class RequestHolder(Protocol):
    """Holder of requests, such as the connection of a caller.

    :ivar is_unread: whether it holds nothing but an incomplete request, which has not
        run and can be dropped.
    """

    is_unread: bool

    def drop_unread(self, failure: Failure) -> None:
        """Drop the incomplete request and close the connection.

        :param failure: what its caller is told.
        """


@dataclass(eq=False)
class HeadMemory:
    """Memory for heads as parsed, small bodies and the state of requests.

    A header line of 4 bytes takes some fifty times as many once it is parsed, so heads
    are counted by what they take. Each connection has some room of its own. Beyond
    that, the one that holds most and has sent no complete request makes room, or else
    the new request is refused.

    :param max_bytes: bytes of all connections together that hold more than their own
        room. A single one may hold more.
    :param decisions: log for refusals.
    :param account: common bound with other memory, ``None`` for none.
    :ivar used_bytes: bytes of these connections.
    """

    max_bytes: int
    decisions: DecisionLog
    account: MemoryAccount | None = None
    used_bytes: int = 0
    sizes: dict[RequestHolder, int] = field(default_factory=dict)

    def update(self, holder: RequestHolder, size: int) -> Failure | None:
        """Set what a holder holds.

        :param holder: connection of a caller.
        :param size: all bytes that it holds.
        :return: the failure if they can't be held; the count is as before then.
        """
        counted_before = self.sizes.get(holder, 0)
        if size <= FREE_BYTES:
            if counted_before:
                self.remove(holder)
            return None
        if size > counted_before and not self.make_room(holder, size):
            return self.refuse(size)
        self.sizes[holder] = size
        self.used_bytes += size - counted_before
        return None

    def remove(self, holder: RequestHolder) -> None:
        """Stop counting a holder; later calls have no effect."""
        self.used_bytes -= self.sizes.pop(holder, 0)

    def make_room(self, holder: RequestHolder, size: int) -> bool:
        """Drop requests until some bytes fit, and return whether they do.

        :param holder: connection that is to hold them.
        :param size: all bytes that it is to hold.
        """
        while not self.has_room(holder, size):
            larger = (item for item, held in self.sizes.items() if held > size)
            victim = self.find_largest_unread(larger)
            if victim is None or victim is holder:
                return False
            failure = self.refuse(self.sizes[victim])
            self.remove(victim)
            victim.drop_unread(failure)
        return True

    def has_room(self, holder: RequestHolder, size: int) -> bool:
        held = self.sizes.get(holder, 0)
        others = self.used_bytes - held
        if not others:
            return True
        if others + size > self.max_bytes:
            return False
        return self.account is None or self.account.has_room(size - held)

    def find_largest_unread(
        self, holders: Iterable[RequestHolder]
    ) -> RequestHolder | None:
        unread = (item for item in holders if item.is_unread)
        return max(unread, key=self.sizes.__getitem__, default=None)

    def refuse(self, size: int) -> Failure:
        """Log a refusal and return its failure.

        :param size: bytes that the refused request would take.
        """
        detail = "the heads of other requests use up the memory of the node"
        self.decisions.add(
            "memory",
            "refuse head",
            Reason.REQUEST_MEMORY_FULL,
            reason=detail,
            request_bytes=size,
            used_bytes=self.used_bytes,
            max_bytes=self.max_bytes,
        )
        return Failure(
            reason=Reason.REQUEST_MEMORY_FULL,
            detail=detail,
            retry_after=RETRY_AFTER_S,
        )
