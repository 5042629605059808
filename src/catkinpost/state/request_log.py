"""Log lines of single requests, bounded in number."""

import math

import trio
from eliot import log_message

from catkinpost.protocol.http import MIN_SERVER_ERROR_STATUS
from catkinpost.protocol.message import Answer, Refusal
from catkinpost.protocol.outcome import Failure, Outcome

__all__ = ["RequestLog", "describe_failure"]

# A node answers up to some hundred requests a second; when most of them fail, some
# tens of lines still show why, at a few parts in a thousand of the processor.
LINES_PER_S = 20.0
# The first seconds of a trouble are logged in full.
BURST_LINES = 200.0


class RequestLog:
    """Lines of requests that were refused, failed or answered late.

    Each line holds everything that was decided about its request at this node, so
    that a line is either whole or absent. Those left out are counted in the next.

    :param lines_per_s: lines that are written in the long run.
    :param burst_lines: lines that may come at once.
    """

    def __init__(
        self, *, lines_per_s: float = LINES_PER_S, burst_lines: float = BURST_LINES
    ) -> None:
        self.lines_per_s = lines_per_s
        self.burst_lines = burst_lines
        self.tokens = burst_lines
        self.refilled_at = -math.inf
        self.left_out = 0

    def acquire_line(self) -> bool:
        """Tell whether a line may be written now; one that may not is counted."""
        now = trio.current_time()
        gained = (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(self.burst_lines, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True

    def add(self, kind: str, request: str, **fields) -> None:
        """Write a line.

        :param kind: part and event, such as ``entry: refused``.
        :param request: identity of the request.
        :param fields: what was decided, and on what.
        """
        left_out, self.left_out = self.left_out, 0
        log_message(kind, request=request, left_out=left_out, **fields)


def describe_failure(result: Answer | Refusal | Failure) -> tuple[str, str] | None:
    """Tell a bad end and what is known of it.

    :return: "refused" or "failed", and the detail; ``None`` for a good end.
    """
    if not isinstance(result, Answer):
        refused = result.outcome is Outcome.NOT_RUN
        kind = "refused" if refused else "failed"
        return kind, f"{result.reason.value}: {result.detail}"
    if result.status >= MIN_SERVER_ERROR_STATUS:
        return "failed", f"the backend server answered {result.status}"
    return None
