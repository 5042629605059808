"""Learned service times by request class and by path within a class."""

import math

from catkinpost.state.bounded import BoundedDict

__all__ = ["DurationModel", "QuantileEstimate"]

MIN_AVERAGE_WEIGHT = 0.1
MIN_SAMPLES = 5
LONG_FACTOR = 2.5
MAX_GROUPS = 512


class MovingAverage:
    """Exponentially weighted moving average that starts as a plain mean."""

    __slots__ = ("count", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, sample: float) -> None:
        """Add one sample."""
        self.count += 1
        weight = max(MIN_AVERAGE_WEIGHT, 1 / self.count)
        self.value += weight * (sample - self.value)


class QuantileEstimate:
    """Running estimate of one quantile of positive samples.

    :param quantile: quantile to estimate, between 0 and 1.
    """

    STEP = 0.1

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.log_value: float | None = None
        self.count = 0

    @property
    def value(self) -> float | None:
        """The estimate, ``None`` until enough samples are recorded."""
        if self.log_value is None or self.count < MIN_SAMPLES:
            return None
        return math.exp(self.log_value)

    def add(self, sample: float) -> None:
        """Add one sample."""
        log_sample = math.log(max(sample, 1e-6))
        self.count += 1
        if self.log_value is None:
            self.log_value = log_sample
        elif log_sample > self.log_value:
            self.log_value += self.STEP * self.quantile
        else:
            self.log_value -= self.STEP * (1 - self.quantile)


class DurationModel:
    """Service times of one service's requests.

    A group is a request class, or a request class and a path.
    """

    def __init__(self) -> None:
        self.groups: BoundedDict[tuple[str, str], MovingAverage] = BoundedDict(
            MAX_GROUPS
        )
        self.log_average = MovingAverage()
        self.average = MovingAverage()

    def record_duration(self, call_class: str, path: str, seconds: float) -> None:
        """Record the service time of one finished request.

        :param call_class: request class.
        :param path: path of the request without its query.
        :param seconds: service time.
        """
        self.get_or_create_group((call_class, "")).add(seconds)
        self.get_or_create_group((call_class, path)).add(seconds)
        self.log_average.add(math.log(max(seconds, 1e-6)))
        self.average.add(seconds)

    @property
    def mean_s(self) -> float | None:
        """Mean of all service times in seconds, at which slots become free."""
        if self.average.count < MIN_SAMPLES:
            return None
        return self.average.value

    def get_or_create_group(self, key: tuple[str, str]) -> MovingAverage:
        return self.groups.get_or_create(key, MovingAverage)

    def get_expected_duration(self, call_class: str, path: str) -> float | None:
        """Return the expected service time of a request in seconds.

        :return: the average of the most specific group with enough samples,
            ``None`` when there is none.
        """
        for key in ((call_class, path), (call_class, "")):
            group = self.groups.get(key)
            if group is not None and group.count >= MIN_SAMPLES:
                return group.value
        return None

    @property
    def geometric_mean_s(self) -> float | None:
        """Geometric mean of all service times in seconds."""
        if self.log_average.count < MIN_SAMPLES:
            return None
        return math.exp(self.log_average.value)

    def is_long(self, call_class: str, path: str) -> bool:
        """Return whether a request is expected to run much longer than most."""
        expected = self.get_expected_duration(call_class, path)
        geometric_mean_s = self.geometric_mean_s
        if expected is None or geometric_mean_s is None:
            return False
        return expected > LONG_FACTOR * geometric_mean_s
