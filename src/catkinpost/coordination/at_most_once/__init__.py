"""Requests that must not be repeated run at most once for each key."""
