"""Real nodes before clients whose bodies come at once, and mostly never whole.

Each body is legal in size and form. What a node holds of them must fit into the memory
of its machine, together with what it has received and not read.
"""

import functools
import math
import unittest
from dataclasses import dataclass

import trio
from nose2.tools import params

from catkinpost_standins.users_platform.demo import ZONES
from catkinpost_standins.users_platform.fleet import open_platform_fleet
from tests.end_to_end.crowd import (
    STATUS_BYTES,
    Crowd,
    Form,
    build_head,
    count_descriptors,
    read_memory,
)
from tests.end_to_end.memory import MemorySampler, count_unread_bytes
from tests.end_to_end.test_crowds import (
    CONFIGURATION,
    LIMIT_S,
    MEGABYTE,
    MORE_DESCRIPTORS,
    call_until_served,
)

MEMORY_MB = 70
# Room for all bodies of a crowd in small chunks: none is refused.
LARGE_MEMORY_MB = 300
CROWD = 200
ROUNDS = 2
# One in so many clients sends the end of its body.
WHOLE_SHARE = 4
LARGE_BYTES = 4_000_000
MIDDLE_BYTES = 250_000
POST_BYTES = 100_000
PIECE_BYTES = 64 * 1024
CHUNK_BYTES = 256 * 1024
ONE_BYTE_CHUNKS = 200_000
EXTENDED_CHUNKS = 60_000
TRAILERS = 4000
# Most that the system holds on the side of a client.
BUFFER_BYTES = 256 * 1024
# With this, a client has hardly sent more than has arrived.
SMALL_BUFFER_BYTES = 16 * 1024
HEADER_TIMEOUT_S = 3.0
LONG_TIMEOUT_S = 120.0
PATIENCE_S = math.inf
STATUSES = {200, 408, 413, 429, 503}
# Share of a crowd's input that is sent before an ordinary request, unless the node
# takes less in some time, and share that it may read before it answers.
BEFORE_SHARE = 0.2
MAX_BEFORE_S = 5.0
MEANWHILE_SHARE = 0.5
PLACES = ("here", "there")


def encode_chunk(data, extension=b""):
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


@dataclass(frozen=True, kw_only=True)
class Body:
    """Body of each request of a crowd.

    :param data: the body as sent.
    :param content: the body as a server gets it.
    :param piece_bytes: size of the pieces in which it is sent.
    :param is_chunked: whether it is sent without its length.
    :param is_kept: whether a request was answered on the connection before.
    """

    data: bytes
    content: bytes
    piece_bytes: int = PIECE_BYTES
    is_chunked: bool = False
    is_kept: bool = False

    def build(self, attempt, place, *, is_whole, lines=b""):
        """Yield the pieces of a request, without the last byte unless it is whole."""
        if self.is_chunked:
            lines += b"transfer-encoding: chunked\r\n"
        else:
            lines += b"content-length: %d\r\n" % len(self.data)
        yield build_head(f"POST /{place}/1", lines, attempt=attempt)
        size = len(self.data) if is_whole else len(self.data) - 1
        view = memoryview(self.data)[:size]
        for start in range(0, size, self.piece_bytes):
            yield view[start : start + self.piece_bytes]


def build_sized(size, **options):
    content = b"x" * size
    return Body(data=content, content=content, **options)


def build_chunked(size, count, *, extension=b"", trailers=0, **options):
    part = b"x" * size
    end = b"0\r\n" + b"a:\r\n" * trailers + b"\r\n"
    data = encode_chunk(part, extension) * count + end
    return Body(data=data, content=part * count, is_chunked=True, **options)


LARGE_CHUNKS = LARGE_BYTES // CHUNK_BYTES
BODIES = {
    "with a length, whole": build_sized(LARGE_BYTES, piece_bytes=LARGE_BYTES),
    "with a length, in pieces": build_sized(LARGE_BYTES),
    "of middle size": build_sized(MIDDLE_BYTES),
    "in large chunks": build_chunked(CHUNK_BYTES, LARGE_CHUNKS),
    "in chunks of one byte": build_chunked(1, ONE_BYTE_CHUNKS),
    "with extensions": build_chunked(3, EXTENDED_CHUNKS, extension=b";name=value"),
    "with trailers": build_chunked(100, 2000, trailers=TRAILERS),
    "with a length, on kept connections": build_sized(LARGE_BYTES, is_kept=True),
    "in chunks of one byte, on kept connections": build_chunked(
        1, ONE_BYTE_CHUNKS, is_kept=True
    ),
}

# Those of which a client sends more than a node reads of it in a few turns.
LONG_INPUTS = (
    "with a length, in pieces",
    "in large chunks",
    "in chunks of one byte",
    "with extensions",
    "in chunks of one byte, on kept connections",
)


def choose_place(number):
    return PLACES[number // WHOLE_SHARE % len(PLACES)]


def is_whole(number):
    return number % WHOLE_SHARE == 0


def build_form(body, name, buffer_bytes=BUFFER_BYTES):
    """Build what the clients of a crowd do, most of which stop before the end.

    :param name: what their identities begin with.
    :param buffer_bytes: size of their send buffers.
    """

    def build(number):
        place = choose_place(number)
        attempt = f"{name}-{number}"
        return body.build(attempt, place, is_whole=is_whole(number))

    def greet(number):
        return build_head("GET /here/1", b"", attempt=f"{name}-greets-{number}")

    return Form(
        build=build,
        greet=greet if body.is_kept else None,
        patience_s=PATIENCE_S,
        buffer_bytes=buffer_bytes,
    )


def configure(header_timeout_s):
    limits = {
        **CONFIGURATION["limits"],
        "max-body-bytes": LARGE_BYTES,
        "header-timeout-s": header_timeout_s,
    }
    return {**CONFIGURATION, "limits": limits}


def on_machines(header_timeout_s, memory_mb=MEMORY_MB):
    """Run a test on two machines.

    :param header_timeout_s: time limit of the nodes for a request to come whole.
    :param memory_mb: memory of each of them, in MB.
    """

    def decorate(test):
        @functools.wraps(test)
        def run(self, *args):
            async def main():
                with trio.fail_after(LIMIT_S):
                    async with open_platform_fleet(
                        list(PLACES),
                        ZONES,
                        configure(header_timeout_s),
                        memory_mb=memory_mb,
                    ) as fleet:
                        await test(self, fleet, *args)

            trio.run(main)

        return run

    return decorate


def build_samplers(fleet):
    ports = (fleet.outbound_port, fleet.peer_port, fleet.ready_port)
    return [
        MemorySampler(pid=machine.process.pid, host=machine.host, ports=ports)
        for machine in fleet.machines
    ]


async def ask(address):
    """Send an ordinary request once, and return the status of its answer."""
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(build_head("GET /here/1", b"", attempt="asks"))
        answer = await stream.receive_some(STATUS_BYTES)
    return int(answer.partition(b" ")[2])


async def call_all(fleet, name, **options):
    """Let ordinary callers be answered: a GET to each server and a POST."""
    entry = fleet.machines[0]
    for place in PLACES:
        await call_until_served(fleet, entry, place, name, **options)
    body = b"y" * POST_BYTES
    await call_until_served(fleet, entry, "here", f"{name}-post", body=body, **options)


class TestBodyCrowds(unittest.TestCase):
    """Crowds that come twice, with ordinary callers beside them and afterwards."""

    @params(*BODIES)
    def test_bodies_that_mostly_never_end(self, name):
        self.check_crowds([BODIES[name]], CROWD)

    def test_all_at_once(self):
        """Guards against parts that are full at the same time."""
        self.check_crowds(list(BODIES.values()), CROWD // len(BODIES))

    @on_machines(HEADER_TIMEOUT_S)
    async def check_crowds(self, fleet, bodies, size):
        for machine in fleet.machines:
            machine.server.slots = 1000
            machine.server.max_echo_bytes = 0
        await call_all(fleet, "before")
        pids = [machine.process.pid for machine in fleet.machines]
        opened = [count_descriptors(pid) for pid in pids]
        samplers = build_samplers(fleet)
        async with trio.open_nursery() as nursery:
            for sampler in samplers:
                nursery.start_soon(self.watch, sampler)
            for number in range(ROUNDS):
                await self.play_round(fleet, bodies, size, number)
            await call_all(fleet, "after")
            nursery.cancel_scope.cancel()
        for machine, count, sampler in zip(
            fleet.machines, opened, samplers, strict=True
        ):
            await self.check_machine(machine, count, sampler)

    async def watch(self, sampler):
        await sampler.run()
        self.fail(f"the process at {sampler.host} has ended")

    async def play_round(self, fleet, bodies, size, number):
        address = (fleet.machines[0].host, fleet.outbound_port)
        names = [f"{number}-{index}" for index in range(len(bodies))]
        crowds = [
            Crowd(form=build_form(body, name), address=address, size=size)
            for body, name in zip(bodies, names, strict=True)
        ]
        async with trio.open_nursery() as nursery:
            for crowd in crowds:
                nursery.start_soon(crowd.run)
            for crowd in crowds:
                await crowd.all_begun.wait()
            await call_all(fleet, f"beside-{number}", is_kept=False)
            for crowd in crowds:
                await crowd.all_ready.wait()
            await call_all(fleet, f"behind-{number}", is_kept=False)
            for crowd in crowds:
                crowd.scope.cancel()
        for crowd, name in zip(crowds, names, strict=True):
            self.check_answers(fleet, crowd, name)

    def check_answers(self, fleet, crowd, name):
        """Check that what was refused, or has not come whole, has not run."""
        for number in range(crowd.size):
            attempt = f"{name}-{number}".encode()
            runs = sum(machine.server.runs[attempt] for machine in fleet.machines)
            status = crowd.statuses.get(number)
            if status is not None:
                self.assertIn(status, STATUSES)
            if not is_whole(number) or status not in (None, 200):
                self.assertEqual(runs, 0, f"{attempt}: {status}")

    async def check_machine(self, machine, opened, sampler):
        self.assertIsNone(machine.process.poll())
        pid = machine.process.pid
        while count_descriptors(pid) > opened + MORE_DESCRIPTORS:
            await trio.sleep(0.1)
        most = MEMORY_MB * MEGABYTE
        self.assertLessEqual(sampler.peak_bytes, most, sampler)
        self.assertLessEqual(read_memory(pid, "VmHWM"), most, sampler)

    @params(*LONG_INPUTS)
    def test_ordinary_request_waits_for_most_of_a_crowds_input(self, name):
        """Guards against a node that reads the crowd's input before all else."""
        self.check_order(BODIES[name])

    @on_machines(LONG_TIMEOUT_S, LARGE_MEMORY_MB)
    async def check_order(self, fleet, body):
        for machine in fleet.machines:
            machine.server.slots = 1000
            machine.server.max_echo_bytes = 0
        address = (fleet.machines[0].host, fleet.outbound_port)
        crowd = Crowd(
            form=build_form(body, "crowd", SMALL_BUFFER_BYTES),
            address=address,
            size=CROWD,
        )
        input_bytes = CROWD * len(body.data)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run)
            with trio.move_on_after(MAX_BEFORE_S):
                while crowd.sent_bytes < BEFORE_SHARE * input_bytes:
                    await trio.sleep(0.01)
            before = self.count_read(fleet, crowd)
            status = await ask(address)
            after = self.count_read(fleet, crowd)
            crowd.scope.cancel()
        self.assertIsNone(fleet.machines[0].process.poll())
        self.assertIn(status, STATUSES)
        self.assertLess(after - before, MEANWHILE_SHARE * input_bytes)

    def count_read(self, fleet, crowd):
        """Return the bytes of a crowd that the node has read."""
        host, ports = fleet.machines[0].host, [fleet.outbound_port]
        return crowd.sent_bytes - count_unread_bytes(host, ports)

    @params(*BODIES)
    def test_single_request_inside_the_limits_is_refused(self, name):
        self.check_single(BODIES[name])

    @on_machines(LONG_TIMEOUT_S)
    async def check_single(self, fleet, body):
        entry = fleet.machines[0]
        samplers = build_samplers(fleet)
        async with trio.open_nursery() as nursery:
            for sampler in samplers:
                nursery.start_soon(self.watch, sampler)
            for place in PLACES:
                stream = await trio.open_tcp_stream(entry.host, fleet.outbound_port)
                async with stream:
                    await self.check_upload(stream, body, place)
            nursery.cancel_scope.cancel()
        for machine, sampler in zip(fleet.machines, samplers, strict=True):
            self.assertIsNone(machine.process.poll())
            self.assertLessEqual(sampler.peak_bytes, MEMORY_MB * MEGABYTE, sampler)

    async def check_upload(self, stream, body, place):
        lines = b"connection: close\r\n"
        pieces = body.build(f"single-{place}", place, is_whole=True, lines=lines)
        for piece in pieces:
            await stream.send_all(piece)
        data = bytearray()
        async for piece in stream:
            data += piece
        head, _, content = bytes(data).partition(b"\r\n\r\n")
        self.assertIn(b" 200 ", head.partition(b"\r\n")[0])
        self.assertEqual(content.split(b" ")[1], body.content)


if __name__ == "__main__":
    unittest.main()
