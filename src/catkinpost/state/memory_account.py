"""Common bound on all that a node holds for callers, peers and backend servers."""

from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["MemoryAccount", "MemoryPart"]


class MemoryPart(Protocol):
    """Part of the memory of a node.

    :ivar used_bytes: bytes that it takes now.
    """

    used_bytes: int


@dataclass(eq=False)
class MemoryAccount:
    """Sum of all parts, which may not all be full at the same time.

    What can be refused asks for room here as well. An answer can't be refused before
    it is made, so its own bound is left free.

    :param max_bytes: bytes of all parts together, besides those of answers.
    :ivar parts: parts that are counted.
    """

    max_bytes: int
    parts: list[MemoryPart] = field(default_factory=list)

    @property
    def used_bytes(self) -> int:
        """Bytes of all parts."""
        return sum(part.used_bytes for part in self.parts)

    def has_room(self, size: int) -> bool:
        """Return whether some more bytes fit."""
        return self.used_bytes + size <= self.max_bytes
