"""Outcomes of a call and the typed failures that report them."""

import enum
from dataclasses import dataclass

__all__ = [
    "INTERNAL_FAILURE",
    "STATUS_BY_REASON",
    "Failure",
    "Outcome",
    "Reason",
    "build_leaving_failure",
    "merge_outcomes",
]


class Outcome(enum.StrEnum):
    """Knowledge about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Machine-readable cause of a failure."""

    MALFORMED_REQUEST = "malformed-request"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    REQUEST_MEMORY_FULL = "request-memory-full"
    ANSWER_MEMORY_FULL = "answer-memory-full"
    SLOW_SENDER = "slow-sender"
    INVALID_HEADER = "invalid-header"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_CLASS = "unknown-class"
    UNAUTHENTICATED = "unauthenticated"
    KEYS_OUTDATED = "keys-outdated"
    WORKSPACE_LIMIT = "workspace-limit"
    WORKSPACE_LIMIT_UNKNOWN = "workspace-limit-unknown"
    NO_INSTANCE = "no-instance"
    NO_POLICY = "no-policy"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    PREEMPTED = "preempted"
    LIMIT_REACHED = "limit-reached"
    LEAVING = "leaving"
    BACKEND_SHED = "backend-shed"
    BACKEND_REPLACED = "backend-replaced"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_CONNECTION_LOST = "backend-connection-lost"
    BACKEND_BAD_ANSWER = "backend-bad-answer"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_CONNECTION_LOST = "peer-connection-lost"
    PEER_SILENT = "peer-silent"
    PEER_BAD_MESSAGE = "peer-bad-message"
    PEER_VERSION = "peer-version"
    CALLER_GONE = "caller-gone"
    ALREADY_SENT = "already-sent"
    KEY_CONFLICT = "key-conflict"
    RETRY_BOUND = "retry-bound"
    REGION_LINK_BUDGET = "region-link-budget"
    CRASH_SUSPECT = "crash-suspect"
    DOWNSTREAM_OVERLOADED = "downstream-overloaded"
    THROTTLED = "throttled"
    PLATFORM_UNREACHABLE = "platform-unreachable"
    PLATFORM_BAD_DOCUMENT = "platform-bad-document"
    PLATFORM_HISTORY_GONE = "platform-history-gone"
    BAD_SETTINGS = "bad-settings"
    INTERNAL_ERROR = "internal-error"


STATUS_BY_REASON = {
    Reason.MALFORMED_REQUEST: 400,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.SLOW_SENDER: 408,
    Reason.INVALID_HEADER: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_CLASS: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.LIMIT_REACHED: 429,
    Reason.WORKSPACE_LIMIT: 429,
    Reason.ANSWER_MEMORY_FULL: 502,
    Reason.BACKEND_CONNECTION_LOST: 502,
    Reason.BACKEND_BAD_ANSWER: 502,
    Reason.PEER_CONNECTION_LOST: 502,
    Reason.PEER_SILENT: 502,
    Reason.PEER_BAD_MESSAGE: 502,
    Reason.ALREADY_SENT: 409,
    Reason.KEY_CONFLICT: 422,
    Reason.INTERNAL_ERROR: 500,
}
DEFAULT_FAILURE_STATUS = 503
# Another node can take the request at once.
LEAVING_RETRY_AFTER_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """Error value returned in place of a result.

    :param reason: machine-readable cause.
    :param outcome: whether the request ran, according to the sender.
    :param detail: human-readable text, with the necessary correction where possible.
    :param retry_after: seconds to wait before another attempt, or ``None``.
    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """HTTP status that reports this failure to a caller."""
        return STATUS_BY_REASON.get(self.reason, DEFAULT_FAILURE_STATUS)


INTERNAL_FAILURE = Failure(
    reason=Reason.INTERNAL_ERROR,
    outcome=Outcome.UNKNOWN,
    detail="the node failed; see its log",
)


def build_leaving_failure(detail: str) -> Failure:
    """Build the failure of a request that did not run, as an instance leaves."""
    return Failure(
        reason=Reason.LEAVING, detail=detail, retry_after=LEAVING_RETRY_AFTER_S
    )


def merge_outcomes(earlier: Outcome, latest: Outcome) -> Outcome:
    """Combine the outcomes of two attempts of one request.

    A refusal of a later attempt does not rule out that an earlier attempt ran.

    :param earlier: outcome of all attempts so far.
    :param latest: outcome of the newest attempt.
    :return: the strongest outcome that holds for all attempts together.
    """
    if Outcome.DONE in (earlier, latest):
        return Outcome.DONE
    if Outcome.UNKNOWN in (earlier, latest):
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
