"""Crash counts of request fingerprints."""

from catkinpost.state.bounded import BoundedDict

__all__ = ["CrashSuspects"]

MAX_SUSPECTS = 4096


class CrashSuspects:
    """Requests that were running when a backend server crashed.

    Counts are stored for each reporting node, so that a repeated or reordered
    notification has no effect.
    """

    def __init__(self) -> None:
        self.counts: BoundedDict[bytes, dict[str, int]] = BoundedDict(MAX_SUSPECTS)

    def set_count(self, fingerprint: bytes, origin: str, crashes: int) -> bool:
        """Record the crash count that one node reports.

        :param fingerprint: digest of the request.
        :param origin: instance that counted the crashes.
        :param crashes: its count; 0 clears the request's counts of all nodes.
        :return: whether a count changed.
        """
        if crashes == 0:
            return self.counts.pop(fingerprint, None) is not None
        counts = self.counts.get_or_create(fingerprint, dict)
        if counts.get(origin, 0) >= crashes:
            return False
        counts[origin] = crashes
        return True

    def list_counts(self) -> list[tuple[bytes, str, int]]:
        """Return the fingerprint, origin and crash count of every entry."""
        return [
            (fingerprint, origin, crashes)
            for fingerprint, counts in self.counts.items()
            for origin, crashes in counts.items()
        ]

    def get_crash_count(self, fingerprint: bytes) -> int:
        """Return the sum of the counts that have reached this node."""
        return sum(self.counts.get(fingerprint, {}).values())

    def get_crash_count_at(self, fingerprint: bytes, origin: str) -> int:
        """Return the crash count of one node."""
        return self.counts.get(fingerprint, {}).get(origin, 0)
