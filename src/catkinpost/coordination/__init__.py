"""Coordination layer: decisions about calls, peers and policy."""
