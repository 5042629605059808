"""Tests of the limits of workspaces."""
