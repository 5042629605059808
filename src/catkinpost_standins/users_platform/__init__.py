"""Stand-ins for the users' platform: its store, its servers, and a small fleet."""
