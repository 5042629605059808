"""Log of a process's memory on its way to the limit of its machine."""

import os
import re
import resource
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import trio
from eliot import log_message

from catkinpost.coordination.environment import NodeParts
from catkinpost.coordination.tick import sleep_until_next_tick

__all__ = ["MemoryReader", "MemoryWatch", "PassedShares", "read_peak_memory"]

CHECK_INTERVAL_S = 0.25
SHARES = (0.5, 0.75, 0.9)
# A share that was passed is logged again once the memory was this much below it.
REARM_SHARE = 0.05
MIN_LINE_INTERVAL_S = 1.0
STATM_PATH = "/proc/self/statm"
STATUS_PATH = "/proc/self/status"
PEAK_PATTERN = re.compile(rb"^VmHWM:\s*(\d+) kB", re.MULTILINE)
STATM_BYTES = 256
# The usual receive window of a connection whose input is not read.
MAX_UNREAD_BYTES = 64 * 1024
# Counting takes a system call for each connection.
UNREAD_INTERVAL_S = 1.0


def read_peak_memory() -> int:
    """Return the largest resident memory of the process so far, in bytes."""
    try:
        found = PEAK_PATTERN.search(Path(STATUS_PATH).read_bytes())
    except OSError:
        found = None
    return read_peak_usage() if found is None else int(found[1]) * 1024


def read_peak_usage() -> int:
    """Return the peak in bytes, or that of the process that started this one.

    The larger of both is kept when a process starts another program.
    """
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class MemoryReader:
    """Reader of the resident memory of the process, with one system call.

    Where the system does not tell it, the peak takes its place, which never falls.

    :param path: file of the process's sizes in pages, in the form of Linux.
    """

    def __init__(self, path: str = STATM_PATH) -> None:
        self.descriptor: int | None = None
        try:
            self.descriptor = os.open(path, os.O_RDONLY)
        except OSError as error:
            log_message("memory: only the peak is known", why=repr(error))

    def read_resident(self) -> int:
        """Return the resident memory in bytes."""
        if self.descriptor is None:
            return read_peak_usage()
        try:
            data = os.pread(self.descriptor, STATM_BYTES, 0)
            return int(data.split()[1]) * resource.getpagesize()
        except (OSError, ValueError, IndexError) as error:
            log_message("memory: only the peak is known", why=repr(error))
            self.close()
            return read_peak_usage()

    def close(self) -> None:
        """Close the file; later calls have no effect."""
        descriptor, self.descriptor = self.descriptor, None
        if descriptor is not None:
            os.close(descriptor)


class PassedShares:
    """Shares of the limit that the memory has passed upwards.

    Each is due for the log once, until the memory has fallen clearly below it. Within
    ``MIN_LINE_INTERVAL_S`` only a larger share than the last one is.

    :param limit_bytes: memory of the machine.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.logged = 0
        self.last_logged = 0
        self.quiet_until = 0.0

    def count_reached(self, used_bytes: float) -> int:
        """Return how many shares some memory reaches."""
        return sum(used_bytes >= share * self.limit_bytes for share in SHARES)

    def update(self, used_bytes: int, now: float) -> float | None:
        """Return the largest share that is due for the log now, if any.

        :param used_bytes: memory of the process.
        :param now: time in seconds.
        """
        kept = self.count_reached(used_bytes + REARM_SHARE * self.limit_bytes)
        self.logged = min(self.logged, kept)
        reached = self.count_reached(used_bytes)
        is_quiet = now < self.quiet_until and reached <= self.last_logged
        if reached <= self.logged or is_quiet:
            return None
        self.logged = self.last_logged = reached
        self.quiet_until = now + MIN_LINE_INTERVAL_S
        return SHARES[reached - 1]


class MemoryWatch:
    """Log of what a node holds while its memory passes shares of the machine's.

    A process that is killed for its memory writes no last line. Bytes that have arrived
    and were not read count toward the limit, but not as memory of the process.

    :param node: the node.
    :param open_reader: opens the reader of the resident memory.
    """

    def __init__(
        self, node: NodeParts, *, open_reader: Callable[[], MemoryReader] = MemoryReader
    ) -> None:
        self.node = node
        self.open_reader = open_reader
        self.unread_bytes: int | None = 0
        self.next_count_at = 0.0

    async def run(self) -> None:
        """Check the memory until cancelled, if the limit is known."""
        limit_bytes = self.node.settings.bounds.machine_memory_bytes
        if limit_bytes is None:
            return
        shares = PassedShares(limit_bytes)
        reader = self.open_reader()
        try:
            while True:
                self.check(shares, reader.read_resident())
                await sleep_until_next_tick(CHECK_INTERVAL_S)
        finally:
            reader.close()

    def check(self, shares: PassedShares, resident_bytes: int) -> None:
        """Log what the node holds if its memory has passed a share."""
        now = trio.current_time()
        self.update_unread(shares, resident_bytes, now)
        used_bytes = resident_bytes + (self.unread_bytes or 0)
        share = shares.update(used_bytes, now)
        if share is None:
            return
        self.count_unread(now)
        log_message(
            "memory: share passed",
            share=share,
            limit_bytes=shares.limit_bytes,
            resident_bytes=resident_bytes,
            peak_bytes=read_peak_memory(),
            unread_bytes=self.unread_bytes,
            **self.describe_held(),
        )

    def update_unread(
        self, shares: PassedShares, resident_bytes: int, now: float
    ) -> None:
        """Count the unread bytes of callers if they may make up a further share."""
        connections = self.node.http_server.count_connections()
        most_bytes = resident_bytes + connections * MAX_UNREAD_BYTES
        if shares.count_reached(most_bytes) == shares.count_reached(resident_bytes):
            self.unread_bytes = 0
        elif now >= self.next_count_at:
            self.count_unread(now)

    def count_unread(self, now: float) -> None:
        self.unread_bytes = self.node.http_server.count_unread_bytes()
        self.next_count_at = now + UNREAD_INTERVAL_S

    def describe_held(self) -> dict[str, object]:
        """Return what the node holds, by part, and how busy it is."""
        node = self.node
        server = node.http_server
        return {
            "held_bytes": node.memory_account.used_bytes,
            "request_bytes": node.request_memory.used_bytes,
            "head_bytes": node.head_memory.used_bytes,
            "unfinished_answer_bytes": node.backend_client.buffer.used_bytes,
            "connection_bytes": server.used_bytes,
            "answer_bytes": node.answer_memory.used_bytes,
            "connections": Counter(item.phase.value for item in server.connections),
            "lingers": len(server.lingers),
            "running": node.executor.active_calls,
            "queued": node.executor.admission.queued,
        }
