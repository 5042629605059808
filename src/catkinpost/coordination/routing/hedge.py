"""Second attempts for repeatable requests that take unusually long."""

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
    """Learns when to hedge and keeps hedges to a small share of all calls."""

    def __init__(self) -> None:
        self.quantiles: BoundedDict[str, QuantileEstimate] = BoundedDict(MAX_CLASSES)
        self.tokens = MAX_TOKENS

    def record_response_time(self, call_class: str, duration_s: float) -> None:
        """Learn from one answered call."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_CALL)
        quantile = self.quantiles.get_or_create(
            call_class, lambda: QuantileEstimate(HEDGE_QUANTILE)
        )
        quantile.add(duration_s)

    def get_delay(self, call_class: str, typical_s: float) -> float | None:
        """Return the seconds after which a call counts as unusually long.

        While many calls are slow the quantile is slow too: a multiple of the
        typical time bounds it.

        :param call_class: request class.
        :param typical_s: typical answer time of the class in seconds.
        """
        quantile = self.quantiles.get(call_class)
        if quantile is None or quantile.value is None:
            return None
        return max(MIN_DELAY_S, min(quantile.value, MAX_DELAY_FACTOR * typical_s))

    def acquire_token(self) -> bool:
        """Take the right to one hedge."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
