"""Counters and latency histograms for each class and tenant."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from catkinpost.protocol.outcome import Failure, Outcome

__all__ = ["LatencySummary", "Metrics", "SeriesKey"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 256
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class SeriesKey:
    """Labels of one series."""

    service: str
    call_class: str
    tenant: str


OTHER_SERIES = SeriesKey("other", "other", "other")


@dataclass(frozen=True, kw_only=True)
class LatencySummary:
    """Percentiles of one latency histogram in milliseconds."""

    key: SeriesKey
    count: int
    mean_ms: float
    max_ms: float
    percentiles_ms: dict[str, float]


@dataclass
class Series:
    """Latency histogram and outcome counts of one class and tenant."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    outcomes: Counter = field(default_factory=Counter)


class Metrics:
    """All series of one node, bounded in number."""

    def __init__(self) -> None:
        self.series: dict[SeriesKey, Series] = {}
        self.counters: Counter = Counter()

    def get_or_create_series(
        self, service: str, call_class: str, tenant: str
    ) -> Series:
        """Return the series of a class and tenant.

        Beyond the largest number of series, further ones share a single series.
        """
        key = SeriesKey(service, call_class, tenant)
        series = self.series.get(key)
        if series is None:
            if len(self.series) >= MAX_SERIES:
                key = OTHER_SERIES
            series = self.series.setdefault(key, Series())
        return series

    def record_call(
        self,
        service: str,
        call_class: str,
        tenant: str,
        *,
        seconds: float,
        failure: Failure | None,
    ) -> None:
        """Count one finished call.

        :param service: service that was called.
        :param call_class: request class.
        :param tenant: tenant.
        :param seconds: time from the request to its response.
        :param failure: failure of the call, ``None`` when it succeeded.
        """
        series = self.get_or_create_series(service, call_class, tenant)
        if failure is None:
            series.histogram.record_value(max(1, int(seconds * 1e6)))
            series.outcomes[(Outcome.DONE.value, "")] += 1
        else:
            series.outcomes[(failure.outcome.value, failure.reason.value)] += 1

    def build_summaries(self) -> list[LatencySummary]:
        """Summarize every histogram that has values."""
        found = []
        for key, series in self.series.items():
            histogram = series.histogram
            if not histogram.total_count:
                continue
            found.append(
                LatencySummary(
                    key=key,
                    count=histogram.total_count,
                    mean_ms=histogram.get_mean_value() / 1000,
                    max_ms=histogram.get_max_value() / 1000,
                    percentiles_ms={
                        f"p{percentile:g}": histogram.get_value_at_percentile(
                            percentile
                        )
                        / 1000
                        for percentile in PERCENTILES
                    },
                )
            )
        return found
