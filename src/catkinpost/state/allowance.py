"""Retry allowance of one request, which is split and released but never refilled."""

__all__ = ["Allowance"]


class Allowance:
    """Retries that remain for a request and its child calls.

    :param remaining: retries granted by the parent call or the caller.
    """

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def consume_retry(self) -> bool:
        """Consume one retry.

        :return: whether one was left.
        """
        if self.remaining < 1:
            return False
        self.remaining -= 1
        return True

    def reserve_for_attempt(self) -> int:
        """Reserve the part that is sent with one attempt.

        The larger half stays here, so that a lost response does not consume all
        retries.
        """
        part = self.remaining // 2
        self.remaining -= part
        return part

    def reserve_for_child(self) -> int:
        """Reserve the part of one child call; the larger half goes to the child."""
        part = (self.remaining + 1) // 2
        self.remaining -= part
        return part

    def release_unused(self, unused: int, *, reserved: int) -> None:
        """Release the retries that an attempt did not use.

        :param unused: retries that the response reports as unused.
        :param reserved: retries that were sent with the attempt; the response
            cannot release more.
        """
        self.remaining += max(0, min(unused, reserved))
