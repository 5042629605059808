"""Memory of a process as the users' pages count it, read while it runs."""

from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

import trio

from tests.end_to_end.crowd import read_memory

__all__ = ["MemorySampler", "count_unread_bytes"]

SAMPLE_INTERVAL_S = 0.02
SOCKETS = Path("/proc/net/tcp")
# State of a listener, whose queue holds connections in place of bytes.
LISTEN_STATE = "0A"


def format_address(host: str, port: int) -> str:
    """Return an IPv4 address as the system's table of sockets names it.

    :raises ValueError: when the host is no IPv4 address.
    """
    parts = [int(part) for part in host.split(".")]
    if len(parts) != 4:
        raise ValueError(f"{host!r} is no IPv4 address")
    return f"{bytes(reversed(parts)).hex().upper()}:{port:04X}"


def count_unread_bytes(host: str, ports: Collection[int]) -> int:
    """Return the bytes that have arrived at some addresses and were not read.

    Those of connections that wait to be accepted are among them.

    :param host: IPv4 address.
    :param ports: TCP ports.
    """
    addresses = {format_address(host, port) for port in ports}
    total = 0
    for line in SOCKETS.read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split(maxsplit=5)
        if local in addresses and state != LISTEN_STATE:
            total += int(queues.partition(":")[2], 16)
    return total


@dataclass(kw_only=True)
class MemorySampler:
    """Reads the memory of a process many times a second.

    :param pid: the process.
    :param host: IPv4 address at which it listens.
    :param ports: ports at which it listens.
    :ivar has_ended: whether the process was found to have ended.
    :ivar samples: number of times that the memory was read.
    :ivar peak_bytes: largest sum of resident and unread bytes at one time.
    :ivar peak_resident_bytes: largest resident memory.
    :ivar peak_unread_bytes: most bytes that it had received and not read.
    """

    pid: int
    host: str
    ports: tuple[int, ...]
    has_ended: bool = False
    samples: int = 0
    peak_bytes: int = 0
    peak_resident_bytes: int = 0
    peak_unread_bytes: int = 0

    async def run(self) -> None:
        """Read the memory until cancelled, or until the process ends."""
        while not self.has_ended:
            # The table of a crowd takes milliseconds, in which clients may run.
            await trio.to_thread.run_sync(self.sample)
            await trio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Read the memory once."""
        try:
            resident = read_memory(self.pid, "VmRSS")
        except (FileNotFoundError, ProcessLookupError, StopIteration):
            # A process that was not waited for has an entry without memory.
            self.has_ended = True
            return
        # Read behind it, so that bytes that are read meanwhile are not counted twice.
        unread = count_unread_bytes(self.host, self.ports)
        self.samples += 1
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_resident_bytes = max(self.peak_resident_bytes, resident)
        self.peak_bytes = max(self.peak_bytes, resident + unread)
