"""Answers that are awaited from peers or from the node's own backend server."""

from collections.abc import Callable

from catkinpost.protocol.message import Answer, KeyReport, Refusal
from catkinpost.protocol.outcome import Failure

__all__ = ["PendingRequest", "PendingRequests", "Result"]

Result = Answer | Refusal | KeyReport | Failure


class PendingRequest:
    """One awaited answer.

    :param on_result: called once when the answer is there.

    ``sent`` tells whether the request may have reached its target.
    """

    __slots__ = ("cancel", "on_result", "result", "sent")

    def __init__(self, on_result: Callable[[], None]) -> None:
        self.on_result = on_result
        self.cancel: Callable[[], None] = do_nothing
        self.result: Result | None = None
        self.sent = False

    def resolve(self, result: Result) -> None:
        """Deliver the answer; later ones are dropped."""
        if self.result is None:
            self.result = result
            self.on_result()


def do_nothing() -> None:
    """Withdraw a request that nobody works on."""


class PendingRequests:
    """Awaited answers of one connection by identity."""

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.last_id = 0

    def add(self, request: PendingRequest) -> int:
        """Register an awaited answer.

        :return: the identity that its request must carry.
        """
        self.last_id += 1
        self.requests[self.last_id] = request
        return self.last_id

    def remove(self, request_id: int) -> None:
        """Stop waiting for one answer."""
        self.requests.pop(request_id, None)

    def resolve(self, request_id: int, result: Result) -> bool:
        """Deliver an answer.

        :return: whether somebody still waited for it.
        """
        pending = self.requests.pop(request_id, None)
        if pending is None:
            return False
        pending.resolve(result)
        return True

    def resolve_all(self, failure: Failure) -> None:
        """Deliver one failure to everybody who waits."""
        requests, self.requests = self.requests, {}
        for pending in requests.values():
            pending.resolve(failure)
