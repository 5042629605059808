"""Which callers are served: keys of workspaces."""
