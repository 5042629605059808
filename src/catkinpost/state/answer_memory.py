"""Bound on the bytes of all answers that a node holds for its callers."""

from dataclasses import dataclass, field
from typing import Protocol

import trio

from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.decision_log import DecisionLog

__all__ = ["STALL_TIMEOUT_S", "AnswerMemory", "AnswerReader"]

# Larger answers are counted. The others of a reader are as soon as they exceed this
# together.
FREE_BYTES = 16 * 1024
# Readers that take nothing for this long make room for others.
STALL_TIMEOUT_S = 2.0


class AnswerReader(Protocol):
    """Receiver of answers, such as the connection of a caller.

    :ivar progressed_at: time at which it last took a part of an answer.
    """

    progressed_at: float

    def give_up(self) -> bool:
        """Drop all answers for this reader; return whether it does."""


@dataclass(slots=True)
class HeldAnswers:
    """Answers that one reader has not taken.

    :param large_bytes: bytes of large ones.
    :param small_bytes: bytes of the others.
    """

    large_bytes: int = 0
    small_bytes: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is none."""
        return not self.large_bytes and not self.small_bytes

    @property
    def counted_bytes(self) -> int:
        """Bytes that count towards the common bound."""
        small_bytes = self.small_bytes if self.small_bytes > FREE_BYTES else 0
        return self.large_bytes + small_bytes

    def add(self, size: int) -> int:
        """Add an answer, or remove one of a negative size.

        :return: by how much the bytes that count have changed.
        """
        counted_before = self.counted_bytes
        if abs(size) > FREE_BYTES:
            self.large_bytes += size
        else:
            self.small_bytes += size
        return self.counted_bytes - counted_before

    def count_more(self, size: int) -> int:
        """Return the bytes that would count in addition with one more answer."""
        return HeldAnswers(self.large_bytes, self.small_bytes).add(size)


NO_ANSWERS = HeldAnswers()


@dataclass(eq=False)
class AnswerMemory:
    """Memory for answers from their arrival until they are sent.

    An answer can't be refused before it is made, so lack of memory costs answers: first
    those that nobody takes, then the new one. A process that exceeds the memory of its
    machine would lose all of them. Each reader has some room for small answers.

    :param max_bytes: bytes of all answers together, without small ones that fit into
        the room of their readers. An answer above it is held while there is no other.
    :param decisions: log for dropped answers.
    :ivar used_bytes: bytes of the answers that are counted.
    :ivar held: answers of each reader that has any.
    """

    max_bytes: int
    decisions: DecisionLog
    used_bytes: int = 0
    held: dict[AnswerReader, HeldAnswers] = field(default_factory=dict)

    def hold(self, reader: AnswerReader, size: int) -> Failure | None:
        """Count a new answer.

        :param reader: receiver of the answer.
        :param size: bytes that it takes.
        :return: the failure if the answer must be dropped.
        """
        held = self.held.get(reader)
        more = NO_ANSWERS.count_more(size) if held is None else held.count_more(size)
        if more and not self.has_room(more):
            self.drop_stalled_readers(more)
            if not self.has_room(more):
                return self.drop_answer(size)
            # The reader itself may have been dropped.
            held = self.held.get(reader)
        if held is None:
            reader.progressed_at = trio.current_time()
            held = self.held[reader] = HeldAnswers()
        self.used_bytes += held.add(size)
        return None

    def has_room(self, size: int) -> bool:
        return not self.used_bytes or self.used_bytes + size <= self.max_bytes

    def release(self, reader: AnswerReader, size: int) -> None:
        """Stop counting an answer that its reader has taken.

        :param reader: reader as passed to :meth:`hold`; ignored once it has ended.
        :param size: size as passed to :meth:`hold`.
        """
        held = self.held.get(reader)
        if held is None or not size:
            return
        reader.progressed_at = trio.current_time()
        self.used_bytes += held.add(-size)
        if held.is_empty:
            del self.held[reader]

    def release_all(self, reader: AnswerReader) -> None:
        """Stop counting the answers for a reader that has ended."""
        held = self.held.pop(reader, None)
        if held is not None:
            self.used_bytes -= held.counted_bytes

    def drop_stalled_readers(self, size: int) -> None:
        """Drop the readers that have taken nothing for the longest time.

        :param size: bytes that are needed.
        """
        stalled_before = trio.current_time() - STALL_TIMEOUT_S
        counted = [item for item, held in self.held.items() if held.counted_bytes]
        for reader in sorted(counted, key=lambda item: item.progressed_at):
            if reader.progressed_at > stalled_before or self.has_room(size):
                return
            if not reader.give_up():
                continue
            self.decisions.add(
                "memory",
                "drop reader",
                "answers",
                reason=f"it took nothing for {STALL_TIMEOUT_S} s",
                reader_bytes=self.held[reader].counted_bytes,
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
