"""Connections between nodes and the messages exchanged over them."""
