"""Load and experiment tool over the stand-ins."""
