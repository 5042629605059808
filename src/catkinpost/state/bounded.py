"""Dictionary with a bounded number of entries."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import TypeVar

__all__ = ["BoundedDict"]

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class BoundedDict(OrderedDict[Key, Value]):
    """Dictionary that forgets the entry that was not used for longest.

    :param limit: largest number of entries.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self.limit = limit

    def find_or_add(self, key: Key, make: Callable[[], Value]) -> Value:
        """Return the entry of a key, and make it when there is none.

        :param key: the key, which counts as used.
        :param make: makes the value of a new entry.
        """
        if key in self:
            self.move_to_end(key)
            return self[key]
        value = self[key] = make()
        if len(self) > self.limit:
            self.popitem(last=False)
        return value
