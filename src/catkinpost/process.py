"""Start and end of a node process, shared by all environments."""

import ctypes
import gc
import os
import resource
import time
import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import NoReturn

import trio
from eliot import log_message

from catkinpost.coordination.memory_watch import read_peak_memory
from catkinpost.coordination.pause import SuspendAwareClock
from catkinpost.protocol.settings import BoundsSection
from catkinpost.transport.moderation import PollModerator

__all__ = ["ProcessUsage", "end_process", "log_failure", "log_start", "run_process"]

# Most objects of a call are short-lived; full collections only add to its tail
# latency.
GC_THRESHOLD_ALLOCATIONS = 20_000
# Options of the GNU C library, from its header `malloc.h`.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 128 * 1024
# Free memory that is kept for small blocks. With the default, which is not adapted any
# more, each buffer of a read would be returned and fetched again.
KEPT_FREE_BYTES = 4 * 1024 * 1024
# A group of exceptions has a part for each task that failed.
MAX_WHY_CHARACTERS, MAX_TRACEBACK_CHARACTERS = 1024, 16 * 1024


@dataclass(frozen=True, kw_only=True)
class ProcessUsage:
    """What the process had used at a moment.

    :param read_at: the moment, in seconds of the monotonic clock.
    :param processor_s: processor time in seconds.
    :param switches: how often it has waited for something.
    :param preemptions: how often it had to leave its processor to others.
    """

    read_at: float
    processor_s: float
    switches: int
    preemptions: int

    @classmethod
    def read(cls) -> "ProcessUsage":
        """Return the usage up to now."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return cls(
            read_at=time.monotonic(),
            processor_s=usage.ru_utime + usage.ru_stime,
            switches=usage.ru_nvcsw,
            preemptions=usage.ru_nivcsw,
        )

    def describe_since(self, earlier: "ProcessUsage") -> dict[str, float]:
        """Return what was used since an earlier moment, and the peak memory."""
        return {
            "seconds": round(self.read_at - earlier.read_at, 3),
            "processor_s": round(self.processor_s - earlier.processor_s, 3),
            "switches": self.switches - earlier.switches,
            "preemptions": self.preemptions - earlier.preemptions,
            "peak_bytes": read_peak_memory(),
        }


def log_start(bounds: BoundsSection) -> None:
    """Log the limits under which the process starts.

    :param bounds: bounds of the node.
    """
    log_message(
        "process: starts",
        pid=os.getpid(),
        machine_memory_bytes=bounds.machine_memory_bytes,
        address_space_bytes=read_limit(resource.RLIMIT_AS),
        descriptors=read_limit(resource.RLIMIT_NOFILE),
        held_memory_bytes=bounds.held_memory_bytes,
        request_memory_bytes=bounds.request_memory_bytes,
        head_memory_bytes=bounds.head_memory_bytes,
        answer_memory_bytes=bounds.answer_memory_bytes,
    )


def read_limit(kind: int) -> int | None:
    """Return a limit of the process that is in force.

    :param kind: one of the ``RLIMIT`` constants of :mod:`resource`.
    :return: the limit, ``None`` for none or when the system does not tell it.
    """
    try:
        limit = resource.getrlimit(kind)[0]
    except OSError:
        return None
    return None if limit == resource.RLIM_INFINITY else limit


@contextmanager
def log_failure() -> Iterator[None]:
    """Log the exception that ends the process, and raise it again.

    A log without it, and without a planned stop, is that of a killed process.
    """
    try:
        yield
    except BaseException as error:
        text = "".join(traceback.format_exception(error))
        log_message(
            "process: failed",
            why=repr(error)[:MAX_WHY_CHARACTERS],
            traceback=text[-MAX_TRACEBACK_CHARACTERS:],
        )
        raise


def run_process(start: Callable[[], Awaitable[None]], *, poll_interval: float) -> None:
    """Run the event loop of a node until the node ends.

    :param start: main task of the node.
    :param poll_interval: longest time between two polls under load, in seconds.
    """
    return_large_blocks()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 50, 50)
    instruments = [PollModerator(poll_interval)] if poll_interval else []
    trio.run(start, clock=SuspendAwareClock(), instruments=instruments)


def return_large_blocks() -> None:
    """Let the allocator of the C library return each large block that is freed.

    It raises the size from which it does so with the blocks that it sees, and keeps
    bodies of 30 MB among small objects then.
    """
    try:
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, KEPT_FREE_BYTES)
    except (OSError, AttributeError) as error:
        # Another C library has no such option.
        log_message("process: allocator as it is", why=repr(error))


def end_process() -> NoReturn:
    """End the process with status 0, without the end of the interpreter.

    That only frees what the system frees anyway, and a crowded machine may not give it
    the time before the process is killed. The log is written without buffers of the
    interpreter, and nothing is registered to be done at the exit.
    """
    os._exit(0)
