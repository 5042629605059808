"""Token bucket: bound on a rate that allows short bursts."""

import math

__all__ = ["TokenBucket"]

# Rounding of times must not make a bucket wait once more for an almost whole token.
ROUNDING_TOKENS = 1e-6


class TokenBucket:
    """Bucket that gains tokens at a steady rate, up to a bound.

    :param rate: tokens gained per second.
    :param burst: largest number of tokens.
    :param tokens: tokens at the start.
    """

    def __init__(self, *, rate: float, burst: float, tokens: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.refilled_at = -math.inf

    def refill(self, now: float) -> None:
        """Add the tokens gained since the last refill."""
        if self.refilled_at > -math.inf:
            gained = (now - self.refilled_at) * self.rate
            self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at = now

    def change_rate(self, *, rate: float, burst: float, now: float) -> None:
        """Change rate and bound; tokens above the new bound are lost."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, self.tokens)

    def has_token(self, now: float) -> bool:
        """Return whether a whole token is left."""
        self.refill(now)
        return self.tokens >= 1 - ROUNDING_TOKENS

    def take(self, now: float) -> None:
        """Take a token, or what is left of one."""
        self.refill(now)
        self.tokens = max(0.0, self.tokens - 1)

    def get_wait(self, now: float, *, count: int = 1) -> float:
        """Return the seconds until a number of tokens have been gained."""
        if self.has_token(now) and count == 1:
            return 0.0
        return max(0.0, (count - self.tokens) / self.rate)
