"""Which requests show that the soak's nodes forgot what the store acknowledged."""

import json
import unittest
from dataclasses import replace

from nose2.tools import params

from catkinpost_standins.users_platform.commitment import CommitmentVerdict
from catkinpost_standins.users_platform.server import Run, StandInServer
from catkinpost_standins.users_platform.store import Watch, Write
from catkinpost_standins.users_platform.verdict import Disruption
from tests.end_to_end.test_verdict import BROWSE, HOST, make_fate

OTHER_HOST = "127.0.0.22"
# The route /moved/ goes from one service to the other, /gone/ is removed, /new/ added.
OLD = {"moved": "old", "gone": "old", "stays": "old"}
NEW = {"moved": "new", "new": "new", "stays": "old"}
LEFT_REVISION = 7


def make_write(at, key, document, revision=1):
    value = json.dumps(document).encode() if document else None
    return Write(at=at, key=key, value=value, revision=revision)


def make_version(at, number, services):
    routes = [
        {"host": BROWSE.host, "prefix": f"/{name}/", "service": service}
        for name, service in services.items()
    ]
    return make_write(at, "op/config", {"version": number, "routes": routes})


WRITES = [make_version(0.0, 1, OLD), make_version(100.0, 4, NEW)]


def make_request(path, service, at, attempt=b"a", host=HOST):
    """Return a request that a service ran at once, or that got a 404."""
    fate = make_fate(
        attempt=attempt,
        call=replace(BROWSE, path=f"/{path}/7"),
        host=host,
        started_at=at,
        ended_at=at + 0.1,
        end="answered",
        status=200 if service else 404,
    )
    run = Run(attempt=attempt, arrived_at=at, began_at=at, service=service or "")
    return fate, [run] if service else []


def make_trouble(detail, at, until):
    return Disruption(kind="store", host="", at=at, until=until, detail=detail)


def make_disruption(kind, at, until=None, host=HOST):
    return Disruption(kind=kind, host=host, at=at, until=until or at)


def make_start(at):
    return make_disruption("start", at, host=OTHER_HOST)


def judge(requests, disruptions=(), writes=WRITES, servers=(), watches=()):
    verdict = CommitmentVerdict(
        fates=[fate for fate, _ in requests],
        runs={fate.attempt: runs for fate, runs in requests},
        servers=servers,
        disruptions=disruptions,
        writes=writes,
        watches=watches,
    )
    return [item.rule for item in verdict.find()]


class TestVersions(unittest.TestCase):
    @params(
        ("run by the old service", "moved", "old", 102.6, ["CONFIG"]),
        ("within the time", "moved", "old", 102.4, []),
        ("run by the new service", "moved", "new", 102.6, []),
        ("run with a dropped route", "gone", "old", 102.6, ["CONFIG"]),
        ("dropped", "gone", None, 102.6, []),
        ("added, refused with 404", "new", None, 102.6, ["CONFIG"]),
        ("added, refused within the time", "new", None, 102.4, []),
        ("same in both", "stays", "old", 102.6, []),
        ("never was", "never", None, 102.6, []),
        ("run by a service that never had it", "stays", "new", 102.6, ["ROUTE"]),
        ("run by the new service too early", "moved", "new", 99.0, ["ROUTE"]),
    )
    def test_request_is_handled_by_a_version_in_force(
        self, _name, path, service, at, expected
    ):
        self.assertEqual(judge([make_request(path, service, at)]), expected)

    @params(
        ("long after a stop", 110.0, make_disruption("stop", 106.9, 113.9), 1),
        ("after a stop", 110.0, make_disruption("stop", 107.1, 114.1), 0),
        ("after a further SIGTERM", 110.0, make_disruption("again", 107.1), 0),
        ("after a start", 110.0, make_disruption("start", 107.1), 0),
        ("long after a start", 110.0, make_disruption("start", 106.9), 1),
        ("after a kill", 110.0, make_disruption("kill", 105.0, 107.1), 0),
        ("after a freeze", 110.0, make_disruption("freeze", 105.0, 107.1), 0),
        ("SIGHUP", 110.0, make_disruption("hup", 109.0, 119.0), 1),
        ("stop elsewhere", 110.0, make_disruption("stop", 109.0, host=OTHER_HOST), 1),
        ("store down", 110.0, make_trouble("silent", 99.0, 111.0), 0),
        ("after the store was down", 110.0, make_trouble("silent", 99.0, 107.1), 0),
        ("store stable again", 110.0, make_trouble("silent", 99.0, 106.9), 1),
        ("serves others", 107.4, make_trouble("some", 99.0, 111.0), 0),
        ("serves others, longer", 107.6, make_trouble("some", 99.0, 111.0), 1),
    )
    def test_excuse_of_an_old_version(self, _name, at, disruption, count):
        """Guards against excuses that the rule does not give."""
        request = make_request("moved", "old", at)
        self.assertEqual(judge([request], [disruption]), ["CONFIG"] * count)

    def test_newer_version_excuses_no_disregard_of_the_one_before(self):
        writes = [*WRITES, make_version(107.0, 6, NEW)]
        request = make_request("moved", "old", 110.0)
        trouble = make_trouble("some", 99.0, 111.0)
        self.assertEqual(judge([request], [trouble], writes), ["CONFIG"])

    def test_request_that_was_not_handled_shows_no_version(self):
        """Guards against refusals and waits for a slot that count as runs."""
        fate, _ = make_request("new", None, 110.0)
        run = Run(attempt=b"a", arrived_at=110.0, service="old")
        self.assertEqual(judge([(replace(fate, status=503), [run])]), [])

    def test_version_written_again_keeps_its_time(self):
        """Guards against a store's restore that gives more time to a version."""
        request = make_request("moved", "old", 102.6)
        writes = [*WRITES, make_version(102.0, 4, NEW)]
        self.assertEqual(judge([request], writes=writes), ["CONFIG"])

    @params(
        ("goes back", HOST, 101.3, [], 1),
        ("within the slack", HOST, 101.2, [], 0),
        ("other machine", OTHER_HOST, 101.3, [], 0),
        ("other node starts", HOST, 101.3, [make_start(101.1)], 1),
        ("next process", HOST, 101.3, [make_disruption("start", 101.1)], 0),
        ("same process, stopping", HOST, 101.3, [make_disruption("stop", 101.1)], 1),
        ("store down", HOST, 101.3, [make_trouble("silent", 100.0, 109.0)], 1),
        ("held still", HOST, 101.3, [make_disruption("freeze", 100.9, 101.1)], 0),
        ("held still, later", HOST, 103.1, [make_disruption("freeze", 100.9)], 1),
    )
    def test_process_does_not_go_back(self, _name, host, at, disruptions, count):
        """Guards against a process that forgets a version it has shown."""
        shown = make_request("moved", "new", 101.0)
        request = make_request("moved", "old", at, b"b", host)
        self.assertEqual(judge([shown, request], disruptions), ["CONFIG"] * count)

    def test_only_a_server_shows_a_version(self):
        """Guards against a bound that begins with a 404, which no server has seen."""
        shown = make_request("gone", None, 101.0)
        request = make_request("moved", "old", 102.0, b"b")
        self.assertEqual(judge([shown, request]), [])


def make_entry(at, state, revision=LEFT_REVISION):
    document = {"state": state} if state else None
    return make_write(at, "servers/i-1", document, revision)


SILENT = make_trouble("silent", 99.5, 111.0)
RESTORED = make_trouble("restored", 99.5, 111.0)
RESTORED_BEFORE = make_trouble("restored", 98.0, 99.0)


class TestDrains(unittest.TestCase):
    def find(self, leaving, at, disruptions=(), watches=()):
        server = StandInServer("i-1", "old")
        server.host = OTHER_HOST
        server.arrivals.append((b"a", at))
        writes = [WRITES[0], make_entry(1.0, "ready", 1), *leaving]
        request = make_request("stays", "old", at)
        return judge([request], disruptions, writes, [server], watches)

    @params(
        ("draining", "draining", 102.6, None, 1),
        ("draining, in time", "draining", 102.4, None, 0),
        ("removed", None, 102.6, None, 1),
        ("ready", "ready", 102.6, None, 0),
        ("stop", None, 110.0, make_disruption("stop", 107.1), 0),
        ("long after a stop", None, 110.0, make_disruption("stop", 106.9), 1),
        ("start of its node", None, 110.0, make_start(107.1), 0),
        ("long after a start of its node", None, 110.0, make_start(106.9), 1),
        ("store down", None, 110.0, make_trouble("silent", 105.0, 111.0), 0),
        ("store stable again", None, 110.0, make_trouble("silent", 105.0, 106.9), 1),
        ("store down at the time", None, 110.0, make_trouble("cut", 96.0, 97.1), 0),
        ("store stable before", None, 110.0, make_trouble("cut", 96.0, 96.9), 1),
    )
    def test_server_that_left_gets_nothing_more(
        self, _name, state, at, disruption, count
    ):
        """Guards against a drain that is noted and not kept."""
        disruptions = [disruption] if disruption else []
        found = self.find([make_entry(100.0, state)], at, disruptions)
        self.assertEqual(found, ["DRAIN"] * count)

    def test_leaving_written_again_keeps_its_time(self):
        leaving = [make_entry(100.0, "draining"), make_entry(102.0, None, 9)]
        self.assertEqual(self.find(leaving, 102.6), ["DRAIN"])

    @params(
        ("noted", HOST, LEFT_REVISION, 101.0, SILENT, 1),
        ("noted late", HOST, LEFT_REVISION, 107.6, SILENT, 0),
        ("not read yet", HOST, LEFT_REVISION - 1, 101.0, SILENT, 0),
        ("noted by another", OTHER_HOST, LEFT_REVISION, 101.0, SILENT, 0),
        ("earlier call", HOST, LEFT_REVISION, 99.0, SILENT, 0),
        ("lost", HOST, LEFT_REVISION, 101.0, RESTORED, 0),
        ("restored before", HOST, LEFT_REVISION, 101.0, RESTORED_BEFORE, 1),
    )
    def test_machine_that_noted_it_is_bound_while_the_store_is_down(
        self, _name, host, after, at, trouble, count
    ):
        watches = [Watch(at=at, host=host, after=after)]
        found = self.find([make_entry(100.0, None)], 110.0, [trouble], watches)
        self.assertEqual(found, ["DRAIN"] * count)
