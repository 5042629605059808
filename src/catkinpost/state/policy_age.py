"""Age of what a node knows of the policy, or of the list of instances."""

import math

__all__ = ["PolicyAge"]


class PolicyAge:
    """Time up to which the node knows of every version of the policy or of the list.

    Each version that the platform had acknowledged by then is in force here, or a newer
    one is. The time is never too late, whatever the way of the confirmation: it is that
    at which the platform was asked, or before it.

    :ivar confirmed_at: this time on the node's clock.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf

    def confirm(self, at: float) -> None:
        """Record that the policy in force was the newest one at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def get_age(self, now: float) -> float:
        """Return the seconds since the last confirmation, infinite without any."""
        return now - self.confirmed_at
