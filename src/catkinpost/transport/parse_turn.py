"""Turns in which the rest of unfinished messages is read and parsed."""

import trio

from catkinpost.transport.http_parser import MessageCollector

__all__ = [
    "FIRST_READ_BYTES",
    "ParseTurns",
    "compute_read_bytes",
    "has_few_lines",
    "rate_work",
]

# Ordinary heads fit, and no bytes take more than some 1,000 callbacks (0.5 ms).
FIRST_READ_BYTES = 4096
# Ordinary header lines, and lines of text in a body, have 16 bytes or more.
MAX_FIRST_LINES = FIRST_READ_BYTES // 16
# Callbacks that the bytes of one turn are expected to take.
TURN_CALLBACKS = 512
# Callbacks for parts of this size, and those for an ordinary head, don't count as work.
ORDINARY_PART_BYTES = 1024
WORK_UNIT_CALLBACKS = 128
# A connection that waits takes some 20 KiB, also if its caller has closed it.
MAX_WAITING = 512


class ParseTurns:
    """Turns at parsing unfinished messages, about one in each step of the event loop.

    The load that they answer is a crowd of clients whose messages take a callback of
    the parser for every few bytes, such as chunks of one byte or very short lines. The
    event loop runs each readable connection in each step, so a step would take as long
    as all of them together, and an ordinary request needs several steps.

    Turns are given in the order of the work that the messages have caused so far, and
    in the order of arrival for equal work. A turn is for what its owner does without
    waiting. It lasts until the owner takes another one, or until ``release`` if the
    owner needs none. Whoever wants one meanwhile waits for the next step.

    :ivar latest: owner of the latest turn, ``None`` if it was released.
    :ivar is_granted: whether the turn of the next step is given already.
    :ivar waiting: work of the message of each waiter, in the order of arrival.
    """

    def __init__(self) -> None:
        self.latest: object | None = None
        self.is_granted = False
        self.waiting: dict[trio.Event, int] = {}

    @property
    def is_full(self) -> bool:
        """Whether no costly message should wait besides those that do."""
        return len(self.waiting) >= MAX_WAITING

    def try_take(self, owner: object) -> bool:
        """Take the turn of this step if it is free.

        :param owner: who takes it, in a later step than its last turn.
        :return: whether it was taken.
        """
        if self.is_granted or self.latest not in (None, owner):
            return False
        self.latest = owner
        return True

    async def wait(self, owner: object, work: int) -> None:
        """Wait for the turn of a later step.

        :param owner: who takes it.
        :param work: work that its message has caused, see :func:`rate_work`.
        """
        event = trio.Event()
        self.waiting[event] = work
        if not self.is_granted:
            self.grant_next()
        try:
            await event.wait()
            self.latest = owner
        finally:
            if event.is_set():
                # Whoever is woken now runs in the next step.
                self.grant_next()
            else:
                del self.waiting[event]

    def grant_next(self) -> None:
        """Give the turn of the next step to who waits with the least work."""
        self.is_granted = bool(self.waiting)
        if self.is_granted:
            event = min(self.waiting, key=self.waiting.__getitem__)
            del self.waiting[event]
            event.set()

    def release(self, owner: object) -> None:
        """End the latest turn if an owner has had it."""
        if self.latest is owner:
            self.latest = None


def has_few_lines(data: bytes) -> bool:
    """Return whether the first bytes of a message take few callbacks.

    Each header and each chunk has a line of its own.

    :param data: ``FIRST_READ_BYTES`` bytes that are not parsed yet.
    """
    return data.count(b"\n") <= MAX_FIRST_LINES


def rate_work(parser: MessageCollector) -> int:
    """Return the work that an unfinished message has caused beyond ordinary ones.

    Messages of ordinary heads and of bodies in large parts are equal, at 0.
    """
    message_bytes = parser.head_bytes + parser.body_bytes
    ordinary_callbacks = message_bytes // ORDINARY_PART_BYTES
    return max(0, parser.callbacks - ordinary_callbacks) // WORK_UNIT_CALLBACKS


def compute_read_bytes(parser: MessageCollector, least: int, most: int) -> int:
    """Return the number of bytes to read of an unfinished message in one turn.

    The more callbacks its bytes have taken so far, the fewer are read.

    :param least: least number of bytes.
    :param most: largest number of bytes.
    """
    # A body whose length is known has no framing.
    wanted_bytes = parser.count_missing_body_bytes()
    if not wanted_bytes:
        message_bytes = parser.head_bytes + parser.body_bytes
        wanted_bytes = TURN_CALLBACKS * message_bytes // max(1, parser.callbacks)
    return min(most, max(least, wanted_bytes))
