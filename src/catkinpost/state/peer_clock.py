"""Clock of a peer in terms of the clock of this node."""

import math

__all__ = ["PeerClock"]

# Bound on the difference of the rates of two clocks.
MAX_DRIFT = 0.001


class PeerClock:
    """Bound on how early a time of the peer's clock was on the clock of this node.

    A message may arrive long after it was written: its sender was paused, or the
    network held it up and repeated it. The age that it tells counts from its writing,
    and the time of that follows from the clock that the sender read then.

    :ivar asked_at: time of the last answer from the peer's clock, as it was asked for.
    """

    def __init__(self) -> None:
        self.offset_s = -math.inf
        self.recorded_at = -math.inf
        self.asked_at = -math.inf

    def record(self, asked_at: float, peer_time: float) -> None:
        """Record what the peer's clock showed after it was asked.

        :param asked_at: time at which this node asked.
        :param peer_time: time on the peer's clock.
        """
        self.asked_at = asked_at
        offset_s = asked_at - peer_time
        if offset_s >= self.get_offset(asked_at):
            self.offset_s, self.recorded_at = offset_s, asked_at

    def get_offset(self, now: float) -> float:
        """Return the least seconds by which this node's clock is ahead."""
        if self.offset_s == -math.inf:
            return -math.inf
        return self.offset_s - MAX_DRIFT * max(0.0, now - self.recorded_at)

    def convert(self, peer_time: float, now: float) -> float:
        """Return the earliest time that a time of the peer's clock may have been here.

        :return: time on this node's clock, minus infinity while nothing is known.
        """
        return peer_time + self.get_offset(now)
