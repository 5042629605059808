"""Transport layer: bytes, connections and HTTP messages."""
