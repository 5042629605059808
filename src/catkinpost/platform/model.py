"""Base of the models of the platform's documents."""

import msgspec

__all__ = ["PlatformModel"]


class PlatformModel(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """Part of a document with fields in kebab case; unknown fields are ignored."""
