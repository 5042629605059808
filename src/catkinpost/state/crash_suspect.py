"""Crash counts of request fingerprints."""

from catkinpost.state.bounded import BoundedDict

__all__ = ["CrashSuspects"]

MAX_SUSPECTS = 4096


class CrashSuspects:
    """Requests that ran when a backend server crashed.

    Counts from several nodes are kept apart by origin, so that a repeated or
    reordered notice changes nothing.
    """

    def __init__(self) -> None:
        self.counts: BoundedDict[bytes, dict[str, int]] = BoundedDict(MAX_SUSPECTS)

    def set_count(self, fingerprint: bytes, origin: str, crashes: int) -> bool:
        """Record the crashes that one node has seen.

        :param fingerprint: digest of the request.
        :param origin: instance that saw the crashes.
        :param crashes: its count; 0 releases the request everywhere.
        :return: whether anything changed.
        """
        if crashes == 0:
            return self.counts.pop(fingerprint, None) is not None
        counts = self.counts.get_or_create(fingerprint, dict)
        if counts.get(origin, 0) >= crashes:
            return False
        counts[origin] = crashes
        return True

    def list_counts(self) -> list[tuple[bytes, str, int]]:
        """Return fingerprint, origin and crashes of all that is known."""
        return [
            (fingerprint, origin, crashes)
            for fingerprint, counts in self.counts.items()
            for origin, crashes in counts.items()
        ]

    def get_crash_count(self, fingerprint: bytes) -> int:
        """Return the crashes over the whole fleet, as far as known here."""
        return sum(self.counts.get(fingerprint, {}).values())

    def get_crash_count_at(self, fingerprint: bytes, origin: str) -> int:
        """Return the crashes that one node has seen."""
        return self.counts.get(fingerprint, {}).get(origin, 0)
