"""Tests of which callers are served."""
