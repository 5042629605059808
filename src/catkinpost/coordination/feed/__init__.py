"""Sharing of what few nodes read from the platform with all others."""

from catkinpost.coordination.feed.relay import FeedRelay, FeedSettings, Source
from catkinpost.coordination.feed.selection import FeedSelector

__all__ = ["FeedRelay", "FeedSelector", "FeedSettings", "Source"]
