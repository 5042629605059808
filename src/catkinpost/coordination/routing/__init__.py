"""How a request is understood, where it goes and whether it goes again."""
