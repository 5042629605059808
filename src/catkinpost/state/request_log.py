"""Log lines of single requests, bounded in number."""

import math

import trio
from eliot import log_message

from catkinpost.protocol.http import MIN_SERVER_ERROR_STATUS
from catkinpost.protocol.message import Answer, Refusal
from catkinpost.protocol.outcome import Failure, Outcome

__all__ = ["RequestLog", "describe_failure"]

# A node serves up to some hundred requests a second. When most of them fail, some tens
# of lines a second still show the reasons, for a few thousandths of the processor.
LINES_PER_S = 20.0
# Allows full logging during the first seconds of an incident.
BURST_LINES = 200.0


class RequestLog:
    """Lines of requests that were refused, failed or answered late.

    Each line contains every decision of this node about its request, so that a line
    is either complete or absent. The next line counts the lines left out before it.

    :param lines_per_s: refill rate of the token bucket that bounds the lines.
    :param burst_lines: size of the token bucket.
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
        """Take a token for one line, or count the line as left out.

        :return: whether the line may be written.
        """
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

        :param kind: component and event, such as ``entry: refused``.
        :param request: id of the request.
        :param fields: decisions and the figures behind them.
        """
        left_out, self.left_out = self.left_out, 0
        log_message(kind, request=request, left_out=left_out, **fields)


def describe_failure(result: Answer | Refusal | Failure) -> tuple[str, str] | None:
    """Describe a refused or failed request.

    :return: "refused" or "failed", and the detail; ``None`` for a success.
    """
    if not isinstance(result, Answer):
        refused = result.outcome is Outcome.NOT_RUN
        kind = "refused" if refused else "failed"
        return kind, f"{result.reason.value}: {result.detail}"
    if result.status >= MIN_SERVER_ERROR_STATUS:
        return "failed", f"the backend server answered {result.status}"
    return None
