"""Retry allowance of one request; it is split and given back, never refilled."""

__all__ = ["Allowance"]


class Allowance:
    """Retries that remain for a request and the calls that serve it.

    :param remaining: retries granted from above.
    """

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def consume_retry(self) -> bool:
        """Take one retry.

        :return: whether there was one left.
        """
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def reserve_for_attempt(self) -> int:
        """Take the part that travels with one attempt.

        The larger half stays here, so that a lost answer does not spend all.
        """
        part = self.remaining // 2
        self.remaining -= part
        return part

    def reserve_for_child(self) -> int:
        """Take the part of one child call; the larger half goes to the child."""
        part = (self.remaining + 1) // 2
        self.remaining -= part
        return part

    def release_unused(self, unused: int, *, reserved: int) -> None:
        """Return what an attempt did not use.

        :param unused: retries that the answer reports as unused.
        :param reserved: retries that had travelled with the attempt; the sender of
            the answer cannot return more.
        """
        self.remaining += max(0, min(unused, reserved))
