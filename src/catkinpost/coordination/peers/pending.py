"""Requests whose response from a peer or the own backend server is pending."""

from collections.abc import Callable

from catkinpost.protocol.message import Answer, KeyReport, Refusal
from catkinpost.protocol.outcome import Failure

__all__ = ["PendingRequest", "PendingRequests", "Result", "do_nothing"]

Result = Answer | Refusal | KeyReport | Failure


class PendingRequest:
    """Request that awaits its response.

    :param on_result: called once, when the result is available.
    :param outlasts_silence: returns whether the response is awaited although the peer
        has gone silent, as the request can't be sent to another one; called only if
        the request fails otherwise.

    ``sent`` is true when the request may have reached its target, and ``is_being_sent``
    until all of it was written. ``withdraw`` asks the target to refuse the request if
    it does not run yet; the response is still awaited.
    """

    __slots__ = (
        "cancel",
        "is_being_sent",
        "on_result",
        "outlasts_silence",
        "result",
        "sent",
        "withdraw",
    )

    def __init__(
        self,
        on_result: Callable[[], None],
        *,
        outlasts_silence: Callable[[], bool] = lambda: False,
    ) -> None:
        self.on_result = on_result
        self.outlasts_silence = outlasts_silence
        self.cancel: Callable[[], None] = do_nothing
        self.withdraw: Callable[[], None] = do_nothing
        self.result: Result | None = None
        self.sent = False
        self.is_being_sent = False

    def resolve(self, result: Result) -> None:
        """Deliver the result; later ones are dropped."""
        if self.result is None:
            self.result = result
            self.on_result()


def do_nothing() -> None:
    """Cancel or withdraw a request that was not sent."""


class PendingRequests:
    """Pending requests of one connection by id."""

    def __init__(self) -> None:
        self.requests: dict[int, PendingRequest] = {}
        self.last_id = 0

    def add(self, request: PendingRequest) -> int:
        """Register a pending request.

        :return: the id that the message must carry.
        """
        self.last_id += 1
        self.requests[self.last_id] = request
        return self.last_id

    def remove(self, request_id: int) -> None:
        """Stop waiting for one response."""
        self.requests.pop(request_id, None)

    def resolve(self, request_id: int, result: Result) -> bool:
        """Deliver the result of one request.

        :return: whether the request was still pending.
        """
        pending = self.requests.pop(request_id, None)
        if pending is None:
            return False
        pending.resolve(result)
        return True

    def split_off(
        self, is_chosen: Callable[[PendingRequest], bool]
    ) -> "PendingRequests":
        """Move some of the requests to a new table."""
        chosen = PendingRequests()
        for request_id, pending in list(self.requests.items()):
            if is_chosen(pending):
                chosen.requests[request_id] = self.requests.pop(request_id)
        return chosen

    def resolve_all(self, failure: Failure) -> None:
        """Deliver one failure to all pending requests that were sent whole.

        For the others, their senders know whether they were.
        """
        sent = self.split_off(lambda pending: not pending.is_being_sent)
        for pending in sent.requests.values():
            pending.resolve(failure)
