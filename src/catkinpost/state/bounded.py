"""Dictionary with a bounded number of entries."""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import TypeVar

__all__ = ["BoundedDict"]

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class BoundedDict(OrderedDict[Key, Value]):
    """Dictionary that evicts the least recently used entry when it is full.

    :param max_entries: largest number of entries.
    """

    def __init__(self, max_entries: int) -> None:
        super().__init__()
        self.max_entries = max_entries

    def get_or_create(self, key: Key, create_value: Callable[[], Value]) -> Value:
        """Return the value of a key, created if there is none.

        :param key: the key, which becomes the most recently used.
        :param create_value: creates the value of a new entry.
        """
        if key in self:
            self.move_to_end(key)
            return self[key]
        value = self[key] = create_value()
        if len(self) > self.max_entries:
            self.popitem(last=False)
        return value
