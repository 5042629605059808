"""Pace of the requests to a backend server that names a rate limit."""

import trio

from catkinpost.protocol.policy import Mode, ServiceSection, get_weakest_mode
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.server_notice import compute_pace
from catkinpost.state.token_bucket import TokenBucket

__all__ = ["RateLimiter"]

# Seconds whose requests may start at once after an idle time.
BURST_S = 0.25


class RateLimiter:
    """Token bucket at the rate that a backend server takes from all nodes together.

    Load pattern: a backend server in need answers as fast as before, so that neither
    service times nor its queue show how little it takes. Requests come from every node
    of the fleet, and only the node beside the server sees their sum. The bucket starts
    empty, so that restarts of the node do not add bursts.

    :param section: section of the service.
    :param decisions: log for decisions.
    """

    def __init__(self, section: ServiceSection, decisions: DecisionLog) -> None:
        self.section = section
        self.decisions = decisions
        self.rate_limit: float | None = None
        self.bucket: TokenBucket | None = None

    @property
    def mode(self) -> Mode:
        """Mode of the limit, which cannot exceed that of admission."""
        return get_weakest_mode(self.section.admission, self.section.rate_limiting)

    def set_limit(self, rate_limit: float | None, **evidence: int) -> bool:
        """Apply the limit that the server names now.

        :param rate_limit: requests per second, ``None`` for no limit.
        :param evidence: figures of the node for the log.
        :return: whether it differs from the one before.
        """
        previous = self.rate_limit
        if rate_limit == previous:
            return False
        self.rate_limit = rate_limit
        self.change_bucket()
        self.decisions.add(
            "rate-limit",
            "stop pacing" if rate_limit is None else "pace",
            f"{previous} to {rate_limit} a second",
            reason="the backend server names what it takes from all nodes",
            mode=self.mode,
            **evidence,
        )
        return True

    def change_bucket(self) -> None:
        if self.rate_limit is None:
            self.bucket = None
            return
        rate = compute_pace(self.rate_limit)
        burst = max(1.0, rate * BURST_S)
        if self.bucket is None:
            self.bucket = TokenBucket(rate=rate, burst=burst, tokens=0.0)
        self.bucket.change_rate(rate=rate, burst=burst, now=trio.current_time())

    def has_token(self) -> bool:
        """Return whether a request now is within the limit."""
        return self.bucket is None or self.bucket.has_token(trio.current_time())

    def can_start(self) -> bool:
        """Return whether a request may start now."""
        return self.has_token() or self.mode is not Mode.ON

    def record_start(self, **evidence: int) -> None:
        """Count a request that starts, and log an excess that is only observed.

        :param evidence: figures of the node for the log.
        """
        if self.bucket is None:
            return
        if not self.has_token() and self.mode is Mode.OBSERVE:
            self.decisions.add(
                "rate-limit",
                "hold back",
                f"{self.rate_limit} a second",
                reason="the rate that the backend server names is used up",
                mode=Mode.OBSERVE,
                **evidence,
            )
        self.bucket.take(trio.current_time())

    def get_wait(self, waiters_ahead: int) -> float:
        """Return the seconds until a request may start.

        :param waiters_ahead: requests that start before it.
        """
        if self.bucket is None or self.mode is not Mode.ON:
            return 0.0
        return self.bucket.get_wait(trio.current_time(), count=waiters_ahead + 1)
