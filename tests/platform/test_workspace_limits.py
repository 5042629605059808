"""Tests of requests under the limit of their workspace, from caller to server."""

import json
import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.limits.client import Credit
from catkinpost.platform.dialect import PlatformDialect
from catkinpost.platform.document import parse_configuration, render_policy
from catkinpost.protocol.http import find_header
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.policy import build_policy, check_document
from tests.clock import on_mock_clock
from tests.platform.test_workspace_keys import (
    CONFIG_WITH_KEYS,
    KEY,
    PRIVATE,
    PUBLIC,
    Entry,
    make_key_header,
    make_request,
)

LIMITED = {"name": "lab", "api-keys": [KEY], "rate-per-s": 73, "burst": 7.5}
SAFE_ROUTE = {
    "name": "r-safe",
    "host": "shop.example",
    "prefix": "/safe/",
    "kind": "safe",
    "timeout-s": 2,
    "max-attempts": 2,
    "service": "orders",
}
CONFIG = CONFIG_WITH_KEYS | {"routes": [*CONFIG_WITH_KEYS["routes"], SAFE_ROUTE]}
OVER_LIMIT = Failure(reason=Reason.WORKSPACE_LIMIT, detail="none left", retry_after=0.4)
UNKNOWN = Failure(reason=Reason.WORKSPACE_LIMIT_UNKNOWN, retry_after=0.5)


class FakeLimits:
    """Limits that give credit until a failure is due."""

    def __init__(self, *results):
        self.results = list(results)
        self.asked = []
        self.returned = []

    def has_limit(self, workspace):
        return workspace == "lab"

    async def acquire(self, workspace):
        self.asked.append(workspace)
        if self.results:
            return self.results.pop(0)
        return Credit(id=len(self.asked), keeper="")

    def give_back(self, credit):
        self.returned.append(credit.id)


def on_entry(*results, faults=()):
    """Run a test on an entry whose limits give scripted results."""

    def decorate(test):
        @on_mock_clock
        async def run(self, *args):
            async with trio.open_nursery() as nursery:
                entry = Entry(nursery, CONFIG)
                entry.setup.links.faults = list(faults)
                entry.limits = entry.setup.dispatcher.limits = FakeLimits(*results)
                await test(self, entry, *args)

        return run

    return decorate


class TestLimits(unittest.TestCase):
    @on_entry(OVER_LIMIT)
    async def test_request_beyond_the_limit_is_refused_before_it_is_sent(self, entry):
        response = await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(response.status, 429)
        self.assertEqual(find_header(response.headers, b"retry-after"), b"0.400")
        self.assertEqual(entry.calls, [])
        self.assertEqual(entry.limits.returned, [])

    @on_entry(UNKNOWN)
    async def test_request_whose_limit_is_not_known_is_refused_as_not_run(self, entry):
        response = await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(response.status, 503)
        self.assertEqual(find_header(response.headers, b"retry-after"), b"0.500")
        self.assertEqual(entry.calls, [])

    @on_entry()
    async def test_request_inside_the_limit_runs_for_its_credit(self, entry):
        response = await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(response.status, 200)
        self.assertEqual(entry.limits.asked, ["lab"])
        self.assertEqual(entry.limits.returned, [])

    @params("public with a key", "public", "another key", "no key")
    def test_request_that_bears_no_limited_workspace_is_not_counted(self, kind):
        self.check_not_counted(kind)

    @on_entry()
    async def check_not_counted(self, entry, kind):
        headers = {
            "public with a key": [make_key_header(KEY)],
            "another key": [make_key_header("k-two-vri")],
        }.get(kind, [])
        target = PUBLIC if kind.startswith("public") else PRIVATE
        await entry.send(make_request(*headers, target=target))
        self.assertEqual(entry.limits.asked, [])

    @on_entry(faults=["leaving"] * 9)
    async def test_credit_of_a_request_that_no_server_ran_goes_back(self, entry):
        response = await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(response.status, 503)
        self.assertEqual(entry.limits.asked, ["lab"])
        self.assertEqual(entry.limits.returned, [1])

    @params("link lost after", "silent after")
    def test_credit_of_a_request_that_may_have_run_is_used(self, fault):
        self.check_used(fault)

    @on_entry()
    async def check_used(self, entry, fault):
        entry.setup.links.faults = [fault]
        await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(entry.limits.returned, [])

    @params(True, False)
    def test_repeat_that_may_run_twice_needs_credit_of_its_own(self, has_credit):
        self.check_repeat(has_credit)

    @on_entry()
    async def check_repeat(self, entry, has_credit):
        entry.setup.links.faults = ["link lost after"]
        first = Credit(id=7, keeper="")
        entry.limits.results = [first, *([] if has_credit else [OVER_LIMIT])]
        request = make_request(make_key_header(KEY), target=b"/safe/2f")
        response = await entry.send(request)
        self.assertEqual(response.status, 200 if has_credit else 502)
        self.assertEqual(len(entry.limits.asked), 2)
        self.assertEqual(entry.limits.returned, [])

    @on_entry(faults=["silent before"])
    async def test_credit_of_a_caller_that_left_is_used_if_its_request_was_sent(
        self, entry
    ):
        with trio.move_on_after(0.1):
            await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(entry.limits.returned, [])


class TestConfiguration(unittest.TestCase):
    @params(
        (LIMITED, 73.0, 7.5),
        (LIMITED | {"burst": 0}, 73.0, 0.0),
        (LIMITED | {"rate-per-s": 0}, None, 0.0),
        (LIMITED | {"rate-per-s": 1234567.25}, 1234567.25, 7.5),
        ({"name": "lab", "api-keys": [KEY]}, None, 0.0),
    )
    def test_limit_comes_into_the_policy(self, tenant, rate, burst):
        value = json.dumps(CONFIG_WITH_KEYS | {"tenants": [tenant]}).encode()
        document = check_document(render_policy(parse_configuration(value)))
        self.assertEqual(document.problems, [])
        policy = build_policy(document.models)
        section = policy.workspaces["lab"]
        self.assertEqual((section.rate, section.burst), (rate, burst))
        self.assertEqual(policy.has_workspace_limits, rate is not None)

    @params("fast", -1, [3], None)
    def test_limit_that_is_no_number_makes_the_configuration_invalid(self, rate):
        tenants = [LIMITED | {"rate-per-s": rate}]
        value = json.dumps(CONFIG_WITH_KEYS | {"tenants": tenants}).encode()
        self.assertIsInstance(parse_configuration(value), Failure)

    @params(
        ("rate = many", "rate"),
        ("rate = 0", "rate"),
        ("rate = -3", "rate"),
        ("rate = 5\nburst = -1", "burst"),
    )
    def test_check_names_the_option_of_a_bad_limit(self, lines, option):
        document = check_document(f"[workspace lab]\nowner = lab\n{lines}\n")
        self.assertEqual([item.option for item in document.problems], [option])


class TestStatus(unittest.TestCase):
    def test_only_the_limit_itself_is_told_as_too_many_requests(self):
        dialect = PlatformDialect(lambda: "stock")
        for reason in Reason:
            response = dialect.build_failure_response(Failure(reason=reason))
            is_limit = reason is Reason.WORKSPACE_LIMIT
            self.assertEqual(response.status == 429, is_limit, reason)
