"""Budget in bytes for cross-region calls."""

import math
from collections.abc import Callable

import trio

from catkinpost.protocol.policy import LinkSection, Mode
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.policy_store import PolicyStore

__all__ = ["RegionBudget"]

BURST_S = 1.0
CALL_OVERHEAD_BYTES = 400


class RegionBudget:
    """Token bucket with this node's share of its region's bytes to other regions.

    :param region: the node's region.
    :param store: policy in force.
    :param count_nodes: returns the number of nodes that share the region's budget.
    :param decisions: log of automatic decisions.
    """

    def __init__(
        self,
        *,
        region: str,
        store: PolicyStore,
        count_nodes: Callable[[], int],
        decisions: DecisionLog,
    ) -> None:
        self.region = region
        self.store = store
        self.count_nodes = count_nodes
        self.decisions = decisions
        self.available_bytes = math.inf
        self.refilled_at = 0.0

    @property
    def section(self) -> LinkSection | None:
        """Policy section of the region's link, ``None`` when it is missing or off."""
        section = self.store.policy.links.get(self.region)
        if section is None or section.mode is Mode.OFF:
            return None
        return section

    def refill(self, section: LinkSection) -> None:
        now = trio.current_time()
        bytes_per_s = section.bytes_per_second / max(1, self.count_nodes())
        capacity_bytes = bytes_per_s * BURST_S
        elapsed_s = now - self.refilled_at
        self.refilled_at = now
        self.available_bytes = min(
            capacity_bytes, self.available_bytes + elapsed_s * bytes_per_s
        )

    def can_leave_region(self) -> bool:
        """Return whether the budget allows a cross-region call now."""
        section = self.section
        if section is None:
            return True
        self.refill(section)
        if self.available_bytes > 0:
            return True
        self.decisions.add(
            "region-link",
            "refuse",
            self.region,
            reason="the budget for other regions is used up",
            mode=section.mode,
            bytes_per_second=section.bytes_per_second,
        )
        return section.mode is Mode.OBSERVE

    def charge(self, body_bytes: int) -> None:
        """Charge a request or response body, with a call's overhead, to the budget."""
        section = self.section
        if section is not None:
            self.refill(section)
            self.available_bytes -= body_bytes + CALL_OVERHEAD_BYTES
