"""How policy, list of instances and backend server are followed."""
