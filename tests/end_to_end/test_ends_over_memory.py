"""Machines that end a node over their memory, before crowds with large bodies."""

import functools
import unittest
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost_standins.users_platform.demo import ZONES
from catkinpost_standins.users_platform.fleet import (
    Machine,
    PlatformFleet,
    open_platform_fleet,
)
from tests.end_to_end.crowd import HOST, Crowd, Form, build_head, read_memory
from tests.end_to_end.memory import SAMPLE_INTERVAL_S, count_unread_bytes
from tests.end_to_end.test_crowds import CONFIGURATION, MEGABYTE, call_until_served

LIMIT_S = 180
CALL_PATIENCE_S = 8.0
PAUSE_S = 0.1
MEMORY_MB = 80
CROWD = 250
# Their small requests alone would fill the machine.
LARGE_CROWD = 1200
ROUNDS = 3
CALLERS = 5
RUN_S = 0.3
BODY_BYTES = 1_700_000
CHUNK = b"%x\r\n" % 250_000 + b"x" * 250_000 + b"\r\n"


def build_chunked_body(number):
    """Build a body in large chunks, which has an end at one of four clients."""
    lines = b"transfer-encoding: chunked\r\n"
    yield build_head("POST /there/1", lines, attempt=f"c-{number}")
    for _ in range(BODY_BYTES // 250_000):
        yield CHUNK
    if number % 4 == 0:
        yield b"0\r\n\r\n"


@dataclass(kw_only=True)
class MemoryKeeper:
    """Ends each node that exceeds the memory of its machine, and starts it again.

    :param fleet: machines with their nodes.
    :ivar ends: hosts whose nodes were ended, in order, with the bytes seen.
    """

    fleet: PlatformFleet
    ends: list[tuple[str, int]] = field(default_factory=list)

    async def run(self) -> None:
        """Look at all machines until cancelled."""
        while True:
            for machine in self.fleet.machines:
                await trio.to_thread.run_sync(self.check, machine)
            await trio.sleep(SAMPLE_INTERVAL_S)

    def check(self, machine: Machine) -> None:
        """End and start the node of a machine if it holds too much."""
        if machine.process.poll() is None:
            ports = (self.fleet.outbound_port, self.fleet.ready_port)
            used = count_unread_bytes(machine.host, ports)
            used += read_memory(machine.process.pid, "VmRSS")
            if used <= machine.memory_mb * MEGABYTE:
                return
            machine.process.kill()
            machine.process.wait()
        else:
            used = 0
        self.ends.append((machine.host, used))
        self.fleet.start_node(machine)


@dataclass(kw_only=True)
class KeptCaller:
    """Caller that sends one request after the other on a kept connection.

    :param fleet: machines with their nodes.
    :param machine: machine of the caller.
    :param name: distinguishes its attempts.
    :ivar unanswered: attempts that were passed on and got no answer.
    """

    fleet: PlatformFleet
    machine: Machine
    name: str
    unanswered: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Send requests until cancelled."""
        sent = 0
        while True:
            sent += 1
            attempt = f"{self.name}-{sent}"
            if not await self.call(attempt):
                await trio.sleep(PAUSE_S)

    async def call(self, attempt: str) -> bool:
        """Send a request, and return whether any answer came."""
        headers = [
            (b"host", HOST.encode()),
            (b"attempt-id", attempt.encode()),
            (b"deadline-remaining", b"%d" % (CALL_PATIENCE_S * 1000)),
        ]
        answer = None
        with trio.move_on_after(CALL_PATIENCE_S):
            request = HttpRequest(b"GET", b"/there/1", headers)
            answer = await self.fleet.call(self.machine, request)
        if isinstance(answer, HttpResponse):
            return True
        if any(item.server.runs[attempt.encode()] for item in self.fleet.machines):
            self.unanswered.append(attempt)
        return False


def on_machines_of_limited_memory(test):
    """Run a test on two machines that end a node over their memory."""

    @functools.wraps(test)
    def run(self):
        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(
                    ["here", "there"], ZONES, CONFIGURATION, memory_mb=MEMORY_MB
                ) as fleet:
                    for machine in fleet.machines:
                        machine.server.slots = 1000
                        machine.server.seconds = RUN_S
                    await test(self, fleet)

        trio.run(main)

    return run


class TestEndsOverMemory(unittest.TestCase):
    @on_machines_of_limited_memory
    async def test_unread_bodies_end_no_node_with_its_requests(self, fleet):
        keeper = MemoryKeeper(fleet=fleet)
        callers = [
            KeptCaller(fleet=fleet, machine=machine, name=f"{machine.host}-{number}")
            for machine in fleet.machines
            for number in range(CALLERS)
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keeper.run)
            for caller in callers:
                nursery.start_soon(caller.run)
            for number in range(ROUNDS):
                await self.call_all(fleet, f"before-{number}")
                await self.play_round(fleet, fleet.machines, CROWD)
            await self.call_all(fleet, "after")
            nursery.cancel_scope.cancel()
        unanswered = [item for caller in callers for item in caller.unanswered]
        self.assertEqual((keeper.ends, unanswered), ([], []))

    @on_machines_of_limited_memory
    async def test_more_connections_than_fit_end_no_node(self, fleet):
        keeper = MemoryKeeper(fleet=fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keeper.run)
            for number in range(ROUNDS):
                await self.call_all(fleet, f"before-{number}")
                await self.play_round(fleet, fleet.machines[:1], LARGE_CROWD)
            await self.call_all(fleet, "after")
            nursery.cancel_scope.cancel()
        self.assertEqual(keeper.ends, [])

    async def call_all(self, fleet, name):
        """Wait until each node serves again."""
        for machine in fleet.machines:
            attempt = f"{name}-{machine.host}"
            await call_until_served(fleet, machine, "there", attempt)

    async def play_round(self, fleet, machines, size):
        crowds = [
            Crowd(
                form=Form(build=build_chunked_body),
                address=(machine.host, fleet.outbound_port),
                size=size,
            )
            for machine in machines
        ]
        async with trio.open_nursery() as nursery:
            for crowd in crowds:
                nursery.start_soon(crowd.run)
            for crowd in crowds:
                await crowd.all_ready.wait()
            nursery.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
