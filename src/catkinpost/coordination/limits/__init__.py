"""Limits on the requests of workspaces over the whole fleet."""
