"""Child calls of each request class, learned from its runs."""

from collections import OrderedDict

__all__ = ["Dependencies"]

MIN_AVERAGE_WEIGHT = 0.05
REQUIRED_SHARE = 0.9
MIN_RUNS = 20
MAX_CLASSES = 256
MAX_CHILDREN = 32


class Dependencies:
    """Share of a class's runs that call each child service.

    The share is a moving average that starts as a plain mean.
    """

    def __init__(self) -> None:
        self.runs: OrderedDict[str, int] = OrderedDict()
        self.shares: dict[str, dict[str, float]] = {}

    def record_run(self, call_class: str, children: set[str]) -> None:
        """Record one completed run.

        :param call_class: class of the run.
        :param children: services that the run called.
        """
        self.runs[call_class] = self.runs.get(call_class, 0) + 1
        self.runs.move_to_end(call_class)
        shares = self.shares.setdefault(call_class, {})
        for child in children:
            if child not in shares and len(shares) < MAX_CHILDREN:
                shares[child] = 0.0
        weight = max(MIN_AVERAGE_WEIGHT, 1 / self.runs[call_class])
        for child, share in shares.items():
            shares[child] = share + weight * ((child in children) - share)
        if len(self.runs) > MAX_CLASSES:
            evicted, _ = self.runs.popitem(last=False)
            del self.shares[evicted]

    def get_required_services(self, call_class: str) -> list[str]:
        """Return the services that nearly every completed run of a class calls.

        The result is empty until enough runs are recorded.
        """
        if self.runs.get(call_class, 0) < MIN_RUNS:
            return []
        return [
            child
            for child, share in self.shares[call_class].items()
            if share >= REQUIRED_SHARE
        ]
