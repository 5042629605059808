"""Real node whose operators' address is reached by clients that nobody controls."""

import functools
import unittest

import trio
from nose2.tools import params

from tests.end_to_end.crowd import (
    Crowd,
    Form,
    build_head,
    build_lines,
    count_descriptors,
    read_memory,
)
from tests.end_to_end.test_crowds import (
    CROWD,
    LINES_BYTES,
    ROUNDS,
    build_nothing,
    make_short_line,
)
from tests.end_to_end.test_processes import HOST, send_get, with_fleet

# What the users grant a node for control.
MAX_BYTES = 128_000_000
MORE_DESCRIPTORS = 100


def build(start, is_ended, number):
    yield build_head(start, build_lines(make_short_line, LINES_BYTES), end=is_ended)


class TestOperatorCrowds(unittest.TestCase):
    @params(
        ("heads that never end", functools.partial(build, "GET /status", False)),
        ("waits", functools.partial(build, "GET /decisions?after=999&wait=30", True)),
        ("idle connections", build_nothing),
    )
    def test_crowd_at_the_operators_address(self, name, build):
        """Guards against a node that is killed, or has no descriptor left."""
        self.build = build
        self.check()

    @with_fleet
    async def check(self, fleet):
        member = fleet.members["orders-1"]
        pid = member.node_process.pid
        opened = count_descriptors(pid)
        for _ in range(ROUNDS):
            form = Form(build=self.build)
            crowd = Crowd(form=form, address=(HOST, member.operators), size=CROWD)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(crowd.run)
                await crowd.all_ready.wait()
                self.assertLess(count_descriptors(pid), opened + MORE_DESCRIPTORS)
                answer = await send_get(member.operators, b"/status")
                self.assertEqual(answer.status, 200)
                crowd.scope.cancel()
        self.assertIsNone(member.node_process.poll())
        self.assertLess(read_memory(pid, "VmHWM"), MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
