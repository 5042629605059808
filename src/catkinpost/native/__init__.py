"""The product's own sources of policy and instances, and its operators' interface."""

from catkinpost.native.environment import NativeEnvironment

__all__ = ["NativeEnvironment"]
