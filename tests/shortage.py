"""Shortage of descriptors in the process of a test."""

import contextlib
import os
import resource

__all__ = ["no_free_descriptors"]


@contextlib.contextmanager
def no_free_descriptors():
    """Lower the limit of this process to the descriptors that are open."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    lowest_free = os.dup(0)
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
