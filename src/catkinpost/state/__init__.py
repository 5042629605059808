"""State layer: soft state of a node, held in memory only."""
