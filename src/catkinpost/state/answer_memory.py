"""Bound on the bytes of all answers that a node holds for its callers."""

from dataclasses import dataclass, field
from typing import Protocol

import trio

from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.request_memory import SMALL_BODY_BYTES

__all__ = ["STALL_TIMEOUT_S", "AnswerMemory", "AnswerReader"]

# Readers that take nothing for this long make room for others.
STALL_TIMEOUT_S = 2.0


class AnswerReader(Protocol):
    """Receiver of answers, such as the connection of a caller.

    :ivar progressed_at: time at which it last took a part of an answer.
    """

    progressed_at: float

    def give_up(self) -> bool:
        """Drop all answers for this reader; return whether it does."""


@dataclass(eq=False)
class AnswerMemory:
    """Memory for the bodies of answers from their arrival until they are sent.

    An answer can't be refused before it is made, so lack of memory costs answers: first
    those that nobody takes, then the new one. A process that exceeds the memory of its
    machine would lose all of them.

    :param max_bytes: bytes of all bodies together, without those of small ones. A body
        above it is held while there is no other.
    :param decisions: log for dropped answers.
    :ivar used_bytes: bytes of the bodies that are held.
    """

    max_bytes: int
    decisions: DecisionLog
    used_bytes: int = 0
    sizes: dict[AnswerReader, int] = field(default_factory=dict)

    def hold(self, reader: AnswerReader, size: int) -> Failure | None:
        """Count a new answer.

        :param reader: receiver of the answer.
        :param size: bytes of its body.
        :return: the failure if the answer must be dropped.
        """
        if size <= SMALL_BODY_BYTES:
            return None
        if not self.has_room(size):
            self.drop_stalled_readers(size)
        if not self.has_room(size):
            return self.drop_answer(size)
        if reader not in self.sizes:
            reader.progressed_at = trio.current_time()
        self.sizes[reader] = self.sizes.get(reader, 0) + size
        self.used_bytes += size
        return None

    def has_room(self, size: int) -> bool:
        return not self.used_bytes or self.used_bytes + size <= self.max_bytes

    def release(self, reader: AnswerReader, size: int) -> None:
        """Stop counting an answer that its reader has taken.

        :param reader: reader as passed to :meth:`hold`; ignored once it has ended.
        :param size: size as passed to :meth:`hold`.
        """
        if size <= SMALL_BODY_BYTES or reader not in self.sizes:
            return
        reader.progressed_at = trio.current_time()
        self.used_bytes -= size
        self.sizes[reader] -= size
        if not self.sizes[reader]:
            del self.sizes[reader]

    def release_all(self, reader: AnswerReader) -> None:
        """Stop counting the answers for a reader that has ended."""
        self.used_bytes -= self.sizes.pop(reader, 0)

    def drop_stalled_readers(self, size: int) -> None:
        """Drop the readers that have taken nothing for the longest time.

        :param size: bytes that are needed.
        """
        stalled_before = trio.current_time() - STALL_TIMEOUT_S
        for reader in sorted(self.sizes, key=lambda item: item.progressed_at):
            if reader.progressed_at > stalled_before or self.has_room(size):
                return
            if not reader.give_up():
                continue
            self.decisions.add(
                "memory",
                "drop reader",
                "answers",
                reason=f"it took nothing for {STALL_TIMEOUT_S} s",
                reader_bytes=self.sizes[reader],
                used_bytes=self.used_bytes,
                max_bytes=self.max_bytes,
            )
            self.release_all(reader)

    def drop_answer(self, size: int) -> Failure:
        detail = "answers that other callers do not take use up the memory of the node"
        self.decisions.add(
            "memory",
            "drop answer",
            Reason.ANSWER_MEMORY_FULL,
            reason=detail,
            answer_bytes=size,
            used_bytes=self.used_bytes,
            max_bytes=self.max_bytes,
        )
        return Failure(
            reason=Reason.ANSWER_MEMORY_FULL, outcome=Outcome.UNKNOWN, detail=detail
        )
