"""Second attempts for repeatable requests that take unusually long."""

from catkinpost.state.bounded import BoundedDict
from catkinpost.state.duration import QuantileEstimate

__all__ = ["Hedging"]

HEDGE_QUANTILE = 0.95
MIN_DELAY_S = 0.002
TOKENS_PER_CALL = 0.05
MAX_TOKENS = 5.0
MAX_CLASSES = 512


class Hedging:
    """Learns when to hedge and keeps hedges to a small share of all calls."""

    def __init__(self) -> None:
        self.quantiles: BoundedDict[str, QuantileEstimate] = BoundedDict(MAX_CLASSES)
        self.tokens = MAX_TOKENS

    def add(self, call_class: str, seconds: float) -> None:
        """Learn from one answered call."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_CALL)
        quantile = self.quantiles.find_or_add(
            call_class, lambda: QuantileEstimate(HEDGE_QUANTILE)
        )
        quantile.add(seconds)

    def delay(self, call_class: str) -> float | None:
        """Return the seconds after which a call counts as unusually long."""
        quantile = self.quantiles.get(call_class)
        if quantile is None or quantile.value is None:
            return None
        return max(MIN_DELAY_S, quantile.value)

    def spend(self) -> bool:
        """Take the right to one hedge."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
