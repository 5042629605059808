"""Delay and budget of hedged requests."""

from catkinpost.state.bounded import BoundedDict
from catkinpost.state.duration import QuantileEstimate

__all__ = ["Hedging"]

HEDGE_QUANTILE = 0.95
MIN_DELAY_S = 0.002
MAX_DELAY_FACTOR = 3.0
TOKENS_PER_CALL = 0.1
MAX_TOKENS = 10.0
MAX_CLASSES = 512


class Hedging:
    """Hedge delay per class, and a token bucket that bounds the share of hedges."""

    def __init__(self) -> None:
        self.quantiles: BoundedDict[str, QuantileEstimate] = BoundedDict(MAX_CLASSES)
        self.tokens = MAX_TOKENS

    def record_response_time(self, call_class: str, duration_s: float) -> None:
        """Record the response time of one call and refill the token bucket."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_CALL)
        quantile = self.quantiles.get_or_create(
            call_class, lambda: QuantileEstimate(HEDGE_QUANTILE)
        )
        quantile.add(duration_s)

    def get_delay(self, call_class: str, typical_s: float) -> float | None:
        """Return the seconds after which to send a hedge, ``None`` without samples.

        When many calls are slow the quantile rises with them, so a multiple of the
        typical time is its upper bound.

        :param call_class: request class.
        :param typical_s: typical response time of the class in seconds.
        """
        quantile = self.quantiles.get(call_class)
        if quantile is None or quantile.value is None:
            return None
        return max(MIN_DELAY_S, min(quantile.value, MAX_DELAY_FACTOR * typical_s))

    def acquire_token(self) -> bool:
        """Acquire the token for one hedge.

        :return: whether a token was left.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
