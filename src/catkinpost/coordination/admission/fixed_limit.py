"""Fixed in-flight limits that teams set for tenants and classes."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from catkinpost.protocol.message import Call
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import LimitSection, Policy
from catkinpost.state.decision_log import DecisionLog

__all__ = ["FixedLimits"]

RETRY_AFTER_S = 0.5


class FixedLimits:
    """Counters of requests in flight for the ``[limit]`` sections.

    :param decisions: log for refusals.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        self.decisions = decisions
        self.in_flight: Counter[str] = Counter()

    def get_matching_limits(
        self, policy: Policy, call: Call
    ) -> list[tuple[str, LimitSection]]:
        """Return the limits that apply to a call."""
        return [
            (name, section)
            for name, section in policy.limits.items()
            if section.service == call.service
            and section.tenant in (None, call.tenant)
            and section.request_class in (None, call.call_class)
        ]

    @contextmanager
    def count_in_flight(self, policy: Policy, call: Call) -> Iterator[Failure | None]:
        """Count a call as in flight while it waits and runs.

        :param policy: policy in force.
        :param call: call to count.
        :return: context manager that yields the failure if a limit is reached,
            otherwise ``None``.
        """
        limits = self.get_matching_limits(policy, call)
        for name, section in limits:
            if self.in_flight[name] >= section.in_flight:
                yield self.refuse(name, section)
                return
        names = [name for name, _ in limits]
        self.in_flight.update(names)
        try:
            yield None
        finally:
            self.in_flight.subtract(names)

    def refuse(self, name: str, section: LimitSection) -> Failure:
        detail = f"limit {name} of {section.owner} allows {section.in_flight} in flight"
        self.decisions.add("limit", "refuse", name, reason=detail)
        return Failure(
            reason=Reason.LIMIT_REACHED, detail=detail, retry_after=RETRY_AFTER_S
        )
