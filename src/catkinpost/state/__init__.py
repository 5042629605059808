"""State layer: what a node remembers; all of it is soft."""
