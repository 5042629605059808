"""Protocol layer: messages, headers, documents and their checks."""
