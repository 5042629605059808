"""Capture of log messages in tests."""

from eliot import add_destinations, remove_destination

__all__ = ["CapturedLog"]


class CapturedLog:
    """Messages that are logged within a ``with`` block."""

    def __enter__(self):
        self.messages = []
        add_destinations(self.messages.append)
        # The first destination of a process also gets the messages logged before it.
        self.messages.clear()
        return self.messages

    def __exit__(self, *error):
        remove_destination(self.messages.append)
