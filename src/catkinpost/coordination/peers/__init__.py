"""Connections between nodes and what is told over them."""
