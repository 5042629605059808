"""Keys that are withdrawn while nodes as real processes are in trouble."""

import functools
import signal
import unittest

import trio
from nose2.tools import params

from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost_standins.users_platform.demo import CONFIGURATION, HOST, ZONES
from catkinpost_standins.users_platform.fleet import open_platform_fleet

LIMIT_S = 90
SERVICES = ["orders", "sets", "sets", "offcut-stock"]
KEY, OTHER_KEY = "k-one-82m", "k-two-vri"
REVOCATION_S = 5.0
NOT_RUN = {401, 503}


def build_configuration(version, *keys):
    tenant = {"name": "lab", "api-keys": list(keys)}
    return CONFIGURATION | {"version": version, "tenants": [tenant]}


def on_fleet(test):
    """Run a test on four machines whose nodes know both keys."""

    @functools.wraps(test)
    def run(self, *args):
        async def main():
            configuration = build_configuration(1, KEY, OTHER_KEY)
            with trio.fail_after(LIMIT_S):
                async with open_platform_fleet(SERVICES, ZONES, configuration) as fleet:
                    await test(self, fleet, *args)

        trio.run(main)

    return run


def make_request(attempt, *credentials):
    headers = [
        (b"host", HOST.encode()),
        (b"attempt-id", attempt.encode()),
        (b"deadline-remaining", b"4000"),
    ]
    headers += [(b"authorization", value.encode()) for value in credentials]
    return HttpRequest(b"GET", b"/sets/9", headers)


async def refuse():
    return HttpResponse(503)


def list_runs(fleet):
    return {
        run.attempt.decode()
        for machine in fleet.machines
        for run in machine.server.history
        if run.began_at is not None
    }


class TestWithdrawnKeys(unittest.TestCase):
    @params("store away", "pause", "kill", "nothing")
    def test_withdrawn_key_is_out_of_use_beside(self, trouble):
        self.check_withdrawn(trouble)

    @on_fleet
    async def check_withdrawn(self, fleet, trouble):
        machine = fleet.of_service("orders")[0]
        for number in range(3):
            request = make_request(f"before-{number}", f"Token {KEY}")
            self.assertEqual((await fleet.call(machine, request)).status, 200)
        if trouble == "store away":
            fleet.store.fault = refuse
            fleet.store.cut_connections()
        elif trouble == "pause":
            machine.process.send_signal(signal.SIGSTOP)
        fleet.configure(build_configuration(2, OTHER_KEY))
        withdrawn_at = trio.current_time()
        if trouble == "kill":
            machine.process.kill()
            machine.process.wait()
            fleet.start_node(machine)
            await fleet.wait_ready(machine)
        await trio.sleep_until(withdrawn_at + REVOCATION_S + 0.2)
        answers = []
        async with trio.open_nursery() as nursery:

            async def send(number):
                request = make_request(f"after-{number}", f"Token {KEY}")
                answers.append(await fleet.call(machine, request))

            for number in range(5):
                nursery.start_soon(send, number)
            await trio.sleep(0.5)
            machine.process.send_signal(signal.SIGCONT)
        # A paused node may also close the connection on which it was asked.
        statuses = {item.status for item in answers if isinstance(item, HttpResponse)}
        self.assertLessEqual(statuses, NOT_RUN)
        self.assertTrue(statuses or trouble == "pause")
        self.assertEqual(list_runs(fleet), {f"before-{number}" for number in range(3)})

    @on_fleet
    async def test_keys_are_shown_to_nobody(self, fleet):
        machine = fleet.of_service("orders")[0]
        valid, other = f"Token {KEY}", f"Token {OTHER_KEY}"
        cases = {
            "one": ([valid], 200),
            "both": ([valid, other], 401),
            "twice": ([valid, valid], 401),
            "scheme": ([f"Bearer {KEY}"], 401),
            "parts": ([f"Token {KEY} {KEY}"], 401),
            "unknown": (["Token k-none-5rc"], 401),
            "none": ([], 401),
        }
        for name, (credentials, status) in cases.items():
            answer = await fleet.call(machine, make_request(name, *credentials))
            self.assertEqual(answer.status, status, name)
        self.assertEqual(list_runs(fleet), {"one"})
        runs = [run for item in fleet.machines for run in item.server.history]
        self.assertEqual([(run.tenant, run.has_key) for run in runs], [("lab", False)])
        for item in fleet.machines:
            log = fleet.log_path(item).read_bytes()
            self.assertNotIn(KEY.encode(), log)
            self.assertNotIn(b"k-none-5rc", log)
