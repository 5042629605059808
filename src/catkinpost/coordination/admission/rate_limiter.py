"""Pace of the requests to a backend server that names a rate limit."""

import trio

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
    """

    def __init__(self) -> None:
        self.rate_limit: float | None = None
        self.bucket: TokenBucket | None = None

    def set_limit(self, rate_limit: float | None) -> None:
        """Apply the limit that the server names now.

        :param rate_limit: requests per second, ``None`` for no limit.
        """
        if rate_limit == self.rate_limit:
            return
        self.rate_limit = rate_limit
        if rate_limit is None:
            self.bucket = None
            return
        now = trio.current_time()
        rate = compute_pace(rate_limit)
        burst = max(1.0, rate * BURST_S)
        if self.bucket is None:
            self.bucket = TokenBucket(rate=rate, burst=burst, tokens=0.0)
        self.bucket.change_rate(rate=rate, burst=burst, now=now)

    def can_start(self) -> bool:
        """Return whether a request may start now."""
        return self.bucket is None or self.bucket.has_token(trio.current_time())

    def record_start(self) -> None:
        """Count a request that starts."""
        if self.bucket is not None:
            self.bucket.take(trio.current_time())

    def get_wait(self, waiters_ahead: int) -> float:
        """Return the seconds until a request may start.

        :param waiters_ahead: requests that start before it.
        """
        if self.bucket is None:
            return 0.0
        return self.bucket.get_wait(trio.current_time(), count=waiters_ahead + 1)
