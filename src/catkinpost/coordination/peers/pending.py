"""Answers that are awaited from peers or from the node's own backend server."""

from collections.abc import Callable

from catkinpost.protocol.message import Answer, KeyReport, Refusal
from catkinpost.protocol.outcome import Failure

__all__ = ["Pending", "PendingTable", "Result"]

Result = Answer | Refusal | KeyReport | Failure


class Pending:
    """One awaited answer.

    :param notify: called once when the answer is there.

    ``sent`` tells whether the request may have reached its target.
    """

    __slots__ = ("cancel", "notify", "result", "sent")

    def __init__(self, notify: Callable[[], None]) -> None:
        self.notify = notify
        self.cancel: Callable[[], None] = do_nothing
        self.result: Result | None = None
        self.sent = False

    def resolve(self, result: Result) -> None:
        """Deliver the answer; later ones are dropped."""
        if self.result is None:
            self.result = result
            self.notify()


def do_nothing() -> None:
    """Withdraw a request that nobody works on."""


class PendingTable:
    """Awaited answers of one connection by identity."""

    def __init__(self) -> None:
        self.entries: dict[int, Pending] = {}
        self.last_id = 0

    def add(self, pending: Pending) -> int:
        """Register an awaited answer.

        :return: the identity that its request must carry.
        """
        self.last_id += 1
        self.entries[self.last_id] = pending
        return self.last_id

    def drop(self, identity: int) -> None:
        """Stop waiting for one answer."""
        self.entries.pop(identity, None)

    def resolve(self, identity: int, result: Result) -> bool:
        """Deliver an answer.

        :return: whether somebody still waited for it.
        """
        pending = self.entries.pop(identity, None)
        if pending is None:
            return False
        pending.resolve(result)
        return True

    def resolve_all(self, failure: Failure) -> None:
        """Deliver one failure to everybody who waits."""
        entries, self.entries = self.entries, {}
        for pending in entries.values():
            pending.resolve(failure)
