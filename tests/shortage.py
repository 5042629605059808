"""Shortage of descriptors in the process of a test."""

import contextlib
import gc
import os
import resource

__all__ = ["descriptors_left", "no_free_descriptors"]


@contextlib.contextmanager
def descriptors_left(count):
    """Lower the limit of this process so that some descriptors can be opened."""
    # Sockets of earlier tests would be closed at any time.
    gc.collect()
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = 0
    while count or is_open(limit):
        count -= not is_open(limit)
        limit += 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)


def no_free_descriptors():
    """Lower the limit of this process to the descriptors that are open."""
    return descriptors_left(0)


def is_open(descriptor):
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
