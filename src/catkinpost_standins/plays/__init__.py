"""Scripted plays of planned work on real nodes, which share no code with them."""
