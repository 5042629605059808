"""Real nodes before clients that are not controlled; nothing depends on the speed.

Each crowd is legal in size and has room for its bytes: what the node makes of them, or
keeps after they have gone, must fit into the memory of its machine as well.
"""

import functools
import resource
import socket
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost_standins.users_platform.demo import ZONES
from catkinpost_standins.users_platform.fleet import open_platform_fleet
from catkinpost_standins.users_platform.server import Trouble
from tests.end_to_end.crowd import (
    HEAD_BYTES,
    HOST,
    Crowd,
    Form,
    build_head,
    build_lines,
    count_descriptors,
    read_memory,
)

LIMIT_S = 180
# A caller abandons a request that is not answered.
CALL_PATIENCE_S = 5.0
MEMORY_MB = 80
# The smallest machine of the users' pages.
SMALLEST_MB = 200
READER_BYTES = 16_384
SLOW_PIECE_BYTES, SLOW_PIECE_S = 4096, 0.1
MEGABYTE = 1_000_000
CROWD = 200
ROUNDS = 3
# Connections to servers, peers and the store that calls have opened meanwhile.
MORE_DESCRIPTORS = 40
# Bytes that the lines of a head may have besides those that each request needs.
LINES_BYTES = HEAD_BYTES - 200
DESCRIPTORS = 128
# Resident memory is read in pages, and a process logs meanwhile.
TOLERANCE = 0.02
SMALL_BODY = b"x" * 8000
CONFIGURATION = {
    "version": 1,
    "services": [{"name": "here"}, {"name": "there"}],
    "routes": [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": "safe",
            "timeout-s": 30.0,
            "target-latency-s": 20.0,
            "priority": 0,
            "service": name,
            "max-attempts": 2,
        }
        for name in ("here", "there")
    ],
    "limits": {
        "max-header-bytes": HEAD_BYTES,
        "max-body-bytes": 2_000_000,
        "header-timeout-s": 600.0,
        "idle-timeout-s": 600.0,
    },
}
TOKEN_BYTES = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"


def make_short_line(number):
    return b"a:"


def make_distinct_line(number):
    return b"%x:" % number


def make_odd_line(number):
    name = TOKEN_BYTES[number % len(TOKEN_BYTES)]
    return b"%c:%c" % (name, 0x80 + number % 0x7F)


def make_spaced_line(number):
    return b"a:" + b" \t" * 1000 + b"b"


def build_unended(make_line, number):
    yield build_head("GET /here/1", build_lines(make_line, LINES_BYTES), end=False)


def build_unended_in_pieces(number):
    head = build_head(
        "GET /here/1", build_lines(make_short_line, LINES_BYTES), end=False
    )
    for start in range(0, len(head), 500):
        yield head[start : start + 500]


def build_ended(make_line, place, number):
    lines = build_lines(make_line, LINES_BYTES)
    yield build_head(f"GET /{place}/1", lines, attempt=f"e-{number}")


def build_pipelined_heads(number):
    lines = build_lines(make_short_line, LINES_BYTES)
    for index in range(8):
        yield build_head("GET /here/1", lines, attempt=f"p-{number}-{index}")


def build_pipelined_tiny(number):
    yield b"GET /here/1 HTTP/1.1\r\n\r\n" * 2500


def build_pipelined_bodies(number):
    length = b"content-length: %d\r\n" % len(SMALL_BODY)
    for index in range(64):
        yield build_head("POST /here/1", length, attempt=f"b-{number}-{index}")
        yield SMALL_BODY


def build_chunked(number):
    lines = b"transfer-encoding: chunked\r\n"
    yield build_head("POST /here/1", lines, attempt=f"c-{number}")
    yield b"1\r\nx\r\n" * 8000
    yield b"0\r\n" + build_lines(make_short_line, LINES_BYTES) + b"\r\n"


def build_probe(number):
    yield build_head(
        "GET /v1/readiness", build_lines(make_short_line, LINES_BYTES), end=False
    )


def build_plain(count, number):
    for index in range(count):
        yield build_head("GET /there/1", b"", attempt=f"r-{number}-{index}")


def build_few_lines(number):
    yield build_head("GET /here/1", b"a: b\r\n" * 5, end=False)


def build_upload(number):
    head = b"content-length: 2000000\r\n"
    yield build_head("POST /there/1", head, attempt=f"u-{number}")
    for _ in range(100):
        yield b"x" * 20_000


def build_nothing(number):
    return []


def build_frames(number):
    # The length of a large frame, and what no peer would begin with.
    yield b"\x00\x80\x00\x00" + b"\x93\x01\xc4" * 20_000


def on_small_machines(test):
    """Run a test on two machines with little memory."""

    @functools.wraps(test)
    def run(self, *args):
        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(
                    ["here", "there"], ZONES, CONFIGURATION, memory_mb=MEMORY_MB
                ) as fleet:
                    await test(self, fleet, *args)

        trio.run(main)

    return run


async def connect_slow_reader(host, port):
    """Connect with a small buffer, so that little is read ahead."""
    connection = trio.socket.socket()
    size = READER_BYTES
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    await connection.connect((host, port))
    return trio.SocketStream(connection)


async def read_steadily(stream, data, is_hurried, is_read):
    """Read an answer to its end, in small pieces until it is hurried."""
    async with stream:
        while piece := await stream.receive_some(SLOW_PIECE_BYTES):
            data += piece
            with trio.move_on_after(SLOW_PIECE_S):
                await is_hurried.wait()
    is_read.set()


async def call_until_served(fleet, machine, place, attempt, *, is_kept=True, body=b""):
    """Send an ordinary request, again as often as a refusal asks for it.

    :param is_kept: whether the caller has a kept connection.
    :param body: body of a POST, empty for a GET.
    """
    method = b"POST" if body else b"GET"
    sent = 0
    while True:
        sent += 1
        headers = [
            (b"host", HOST.encode()),
            (b"attempt-id", f"{attempt}-{sent}".encode()),
            (b"deadline-remaining", b"30000"),
        ]
        request = HttpRequest(method, f"/{place}/1".encode(), headers, body)
        answer = None
        if not is_kept:
            machine.callers.close_idle_connections()
        with trio.move_on_after(CALL_PATIENCE_S):
            answer = await fleet.call(machine, request)
        if isinstance(answer, HttpResponse) and answer.status == 200:
            return
        wait_s = 0.1
        if isinstance(answer, HttpResponse) and answer.status == 503:
            wait_s = float(find_header(answer.headers, b"retry-after"))
        await trio.sleep(wait_s)


class TestCrowds(unittest.TestCase):
    """Each crowd comes three times, and an ordinary caller beside it."""

    async def check(self, fleet, form, port, *, rounds=ROUNDS, is_kept=True):
        entry = fleet.machines[0]
        pids = [item.process.pid for item in fleet.machines]
        for place in ("here", "there"):
            await call_until_served(fleet, entry, place, "before")
        before = [count_descriptors(pid) for pid in pids]
        for number in range(rounds):
            crowd = Crowd(form=form, address=(entry.host, port), size=CROWD)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(crowd.run)
                await crowd.all_ready.wait()
                for place in ("here", "there"):
                    name = f"beside-{number}"
                    await call_until_served(fleet, entry, place, name, is_kept=is_kept)
                crowd.scope.cancel()
        for place in ("here", "there"):
            await call_until_served(fleet, entry, place, "after")
        for machine, pid, opened in zip(fleet.machines, pids, before, strict=True):
            self.assertIsNone(machine.process.poll())
            while count_descriptors(pid) > opened + MORE_DESCRIPTORS:
                await trio.sleep(0.1)
            peak = read_memory(pid, "VmHWM")
            self.assertLessEqual(peak, MEMORY_MB * MEGABYTE, machine.server.service)

    @params(
        ("short lines", make_short_line),
        ("distinct names", make_distinct_line),
        ("odd bytes", make_odd_line),
        ("spaces", make_spaced_line),
    )
    def test_heads_that_never_end(self, name, make_line):
        self.check_requests(functools.partial(build_unended, make_line))

    @params(
        ("short lines", make_short_line, "here"),
        ("distinct names", make_distinct_line, "here"),
        ("odd bytes", make_odd_line, "there"),
        ("spaces", make_spaced_line, "there"),
    )
    def test_heads_of_requests_that_run(self, name, make_line, place):
        self.check_requests(functools.partial(build_ended, make_line, place))

    @params(
        ("unended heads in pieces", build_unended_in_pieces),
        ("heads of many lines", build_pipelined_heads),
        ("tiny requests", build_pipelined_tiny),
        ("small bodies", build_pipelined_bodies),
        ("chunks and trailers", build_chunked),
    )
    def test_many_at_a_connection(self, name, build):
        self.check_requests(build)

    @on_small_machines
    async def check_requests(self, fleet, build):
        for machine in fleet.machines:
            machine.server.slots = 1000
            machine.server.seconds = 0.2
        await self.check(fleet, Form(build=build), fleet.outbound_port)

    @on_small_machines
    async def test_heads_at_the_readiness_address(self, fleet):
        await self.check(fleet, Form(build=build_probe), fleet.ready_port)

    @on_small_machines
    async def test_frames_of_strangers(self, fleet):
        await self.check(fleet, Form(build=build_frames), fleet.peer_port)

    @params(
        # (requests of a connection, bytes of an answer's body, bytes that are read)
        ("one long answer", 1, 1_000_000, 2000),
        ("small answers", 32, 8000, 0),
        ("long answers", 8, 100_000, 0),
    )
    def test_answers_that_nobody_reads(self, name, count, size, reads):
        self.check_answers(count, size, reads)

    @on_small_machines
    async def check_answers(self, fleet, count, size, reads):
        for machine in fleet.machines:
            machine.server.slots = 1000
        fleet.machines[1].server.answer_bytes = size
        form = Form(build=functools.partial(build_plain, count), reads=reads)
        await self.check(fleet, form, fleet.outbound_port)

    @params(Trouble.NONE, Trouble.NO_LENGTH)
    def test_steady_reader_beside_others_gets_the_whole_answer(self, trouble):
        self.check_steady_reader(trouble)

    @on_small_machines
    async def check_steady_reader(self, fleet, trouble):
        entry, there = fleet.machines
        size = there.server.answer_bytes = 1_000_000
        there.server.slots = 1000
        there.server.server.trouble = trouble
        address = (entry.host, fleet.outbound_port)
        crowd = Crowd(
            form=Form(build=functools.partial(build_plain, 2), reads=2000),
            address=address,
            size=CROWD,
        )
        reader = await connect_slow_reader(*address)
        await reader.send_all(
            build_head("GET /there/1", b"connection: close\r\n", attempt="steady")
        )
        data = bytearray()
        is_hurried, is_read = trio.Event(), trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_steadily, reader, data, is_hurried, is_read)
            while not data:
                await trio.sleep(0.01)
            nursery.start_soon(crowd.run)
            await crowd.all_ready.wait()
            # Neither servers nor peers are held by those who read nothing.
            while there.server.running:
                await trio.sleep(0.1)
            await call_until_served(fleet, entry, "there", "beside", is_kept=False)
            self.assertFalse(is_read.is_set())
            is_hurried.set()
            await is_read.wait()
            crowd.scope.cancel()
        head, _, body = bytes(data).partition(b"\r\n\r\n")
        self.assertIn(b"response-signature: sig.steady", head)
        self.assertEqual(len(body), size)
        for machine in fleet.machines:
            peak = read_memory(machine.process.pid, "VmHWM")
            self.assertLessEqual(peak, MEMORY_MB * MEGABYTE, machine.server.service)

    def test_all_at_once_on_the_smallest_machine(self):
        """Guards against parts that are full at the same time."""

        async def main():
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(
                    ["here", "there"], ZONES, CONFIGURATION, memory_mb=SMALLEST_MB
                ) as fleet:
                    await self.check_all_at_once(fleet)

        trio.run(main)

    async def check_all_at_once(self, fleet):
        for machine in fleet.machines:
            machine.server.slots = 1000
            machine.server.seconds = 0.5
        entry, there = fleet.machines
        there.server.answer_bytes = 200_000
        builds = [
            build_nothing,
            functools.partial(build_unended, make_distinct_line),
            functools.partial(build_ended, make_distinct_line, "here"),
            build_pipelined_bodies,
            build_pipelined_tiny,
            functools.partial(build_plain, 8),
            functools.partial(build_plain, 1),
            build_upload,
        ]
        address = (entry.host, fleet.outbound_port)
        for number in range(ROUNDS):
            crowds = [
                Crowd(form=Form(build=build, reads=0), address=address, size=CROWD)
                for build in builds
            ]
            async with trio.open_nursery() as nursery:
                for crowd in crowds:
                    nursery.start_soon(crowd.run)
                for crowd in crowds:
                    await crowd.all_ready.wait()
                for place in ("here", "there"):
                    name = f"beside-{number}"
                    await call_until_served(fleet, entry, place, name, is_kept=False)
                for crowd in crowds:
                    crowd.scope.cancel()
        for machine in fleet.machines:
            self.assertIsNone(machine.process.poll())
            peak = read_memory(machine.process.pid, "VmHWM")
            self.assertLessEqual(peak, SMALLEST_MB * MEGABYTE, machine.server.service)

    @on_small_machines
    async def test_answers_with_many_header_lines(self, fleet):
        for machine in fleet.machines:
            machine.server.slots = 1000
        lines = [(b"a", b"")] * (LINES_BYTES // 4)
        fleet.machines[1].server.more_headers = lines
        form = Form(build=functools.partial(build_plain, 8), reads=0)
        await self.check(fleet, form, fleet.outbound_port)

    @params(
        # (what they send, the address that they connect to)
        ("unended heads", build_few_lines, "outbound_port"),
        ("nothing", build_nothing, "outbound_port"),
        ("unended heads", build_few_lines, "ready_port"),
        ("nothing", build_nothing, "ready_port"),
        ("nothing", build_nothing, "peer_port"),
    )
    def test_more_connections_than_descriptors(self, name, build, port):
        self.check_descriptors(build, port)

    @on_small_machines
    async def check_descriptors(self, fleet, build, port):
        await self.check_with_few_descriptors(fleet, Form(build=build), port)

    @on_small_machines
    async def test_answers_that_nobody_reads_with_few_descriptors(self, fleet):
        fleet.machines[1].server.slots = 1000
        fleet.machines[1].server.answer_bytes = 1_000_000
        form = Form(build=functools.partial(build_plain, 1), reads=0)
        await self.check_with_few_descriptors(fleet, form, "outbound_port")

    async def check_with_few_descriptors(self, fleet, form, port):
        limits = (DESCRIPTORS, DESCRIPTORS)
        for machine in fleet.machines:
            pid = machine.process.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        await self.check(fleet, form, getattr(fleet, port), is_kept=False)
        self.assertTrue(await fleet.is_ready(fleet.machines[0]))

    @on_small_machines
    async def test_ten_rounds_hold_no_more_than_two(self, fleet):
        build = functools.partial(build_unended, make_distinct_line)
        pid = fleet.machines[0].process.pid
        await self.check(fleet, Form(build=build), fleet.outbound_port, rounds=2)
        held = read_memory(pid, "VmRSS")
        await self.check(fleet, Form(build=build), fleet.outbound_port, rounds=8)
        self.assertLessEqual(read_memory(pid, "VmRSS"), held * (1 + TOLERANCE))


if __name__ == "__main__":
    unittest.main()
