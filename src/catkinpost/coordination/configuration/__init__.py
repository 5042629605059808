"""Watches of the policy, the list of instances and the backend server."""
