"""Which runs of a workspace the soak's verdict counts as broken rules."""

import math
import unittest

from nose2.tools import params

from catkinpost_standins.users_platform.server import Run
from catkinpost_standins.users_platform.traffic import Call, Fate
from catkinpost_standins.users_platform.workspace import (
    KEY,
    ROUTE,
    WORKSPACE,
    LimitVerdict,
    add_workspace,
)

KEYED = Call(route=ROUTE, host="h", path="/", unsafe=False, deadline_s=2.0, key=KEY)
OPEN = Call(route="open", host="h", path="/", unsafe=False, deadline_s=2.0)
# (4 x 5 s + 4) x 1.25 + 20
RATE, ALLOWED = 4.0, 50


def judge(count, *, call=KEYED, gap_s=0.01, delay_s=0.01, limits=None, **told):
    fates, runs = [], {}
    for number in range(count):
        attempt, at = b"a-%d" % number, 100.0 + number * gap_s
        fates.append(
            Fate(
                attempt=attempt,
                call=call,
                host="h",
                habit="keyed",
                place=0,
                behind=0,
                used=0,
                started_at=at,
                sent_at=at,
            )
        )
        expected = WORKSPACE if call is KEYED else ""
        run = Run(attempt=attempt, arrived_at=at, began_at=at + delay_s)
        run.tenant = told.get("tenant", expected)
        run.has_key = told.get("has_key", False)
        runs[attempt] = [run]
    limits = limits or [(-math.inf, RATE)]
    return [line.split()[0] for line in LimitVerdict(fates, runs, limits).find()]


class TestLimitVerdict(unittest.TestCase):
    @params(
        (ALLOWED, []),
        (ALLOWED + 1, ["QUOTA"]),
    )
    def test_window(self, count, expected):
        self.assertEqual(judge(count), expected)

    def test_requests_without_a_key_are_not_counted(self):
        self.assertEqual(judge(2 * ALLOWED, call=OPEN), [])

    def test_request_that_runs_long_after_it_was_sent_is_not_in_its_window(self):
        self.assertEqual(judge(2 * ALLOWED, delay_s=6.0), [])

    def test_requests_over_a_longer_time_are_not_in_one_window(self):
        self.assertEqual(judge(2 * ALLOWED, gap_s=0.2), [])

    @params((95.0, []), (85.0, ["QUOTA"]))
    def test_lower_limit_binds_after_a_window_and_its_propagation(self, at, expected):
        limits = [(-math.inf, 60.0), (at, RATE)]
        self.assertEqual(judge(ALLOWED + 1, limits=limits), expected)

    @params({"tenant": "other"}, {"tenant": ""}, {"has_key": True})
    def test_what_servers_are_told(self, told):
        self.assertEqual(judge(1, **told), ["UNASKED"])

    def test_workspace_that_a_caller_without_a_key_made_up(self):
        self.assertEqual(judge(1, call=OPEN, tenant=WORKSPACE), ["UNASKED"])

    def test_only_the_added_route_needs_the_key(self):
        routes = [{"name": "a", "kind": "unsafe"}, {"name": "b", "kind": "safe"}]
        changed = add_workspace({"routes": routes}, RATE)
        public = {route["name"]: route["public"] for route in changed["routes"]}
        self.assertEqual(public, {"a": True, "b": True, ROUTE: False})
