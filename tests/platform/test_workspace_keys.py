"""Tests of requests with keys of workspaces, from the caller to what is passed on."""

import json
import unittest

import trio
from nose2.tools import params

from catkinpost.platform.dialect import PlatformDialect
from catkinpost.platform.document import parse_configuration, render_policy
from catkinpost.protocol.http import HttpRequest, find_header
from tests.clock import on_mock_clock
from tests.coordination.routing.test_dispatcher import Setup
from tests.platform.test_document import CONFIG

KEY, OTHER_KEY, UNKNOWN_KEY = "k-one-82m", "k-two-vri", "k-none-5rc"
TENANTS = [
    {"name": "lab", "api-keys": [KEY, "k-spare"], "priority": 1, "rate-per-s": 73},
    {"name": "shop", "api-keys": [OTHER_KEY], "priority": 0},
]
PUBLIC_ROUTE = {
    "name": "r-public",
    "host": "shop.example",
    "prefix": "/open/",
    "kind": "safe",
    "timeout-s": 2,
    "service": "orders",
    "public": True,
}
CONFIG_WITH_KEYS = CONFIG | {
    "routes": [*CONFIG["routes"], PUBLIC_ROUTE],
    "tenants": TENANTS,
}
PRIVATE, PUBLIC = b"/place/2f", b"/open/2f"


def make_request(*headers, target=PRIVATE):
    pairs = [(b"host", b"shop.example"), (b"attempt-id", b"9c41"), *headers]
    return HttpRequest(b"GET", target, pairs)


def make_key_header(key):
    return (b"authorization", f"Token {key}".encode())


class Entry:
    """Entry of a node whose calls are kept in place of being sent."""

    def __init__(self, nursery, config):
        self.setup = Setup(nursery, [])
        self.setup.dispatcher.dialect = PlatformDialect(lambda: "stock")
        text = render_policy(parse_configuration(json.dumps(config).encode()))
        self.setup.store.accept_document(7, text, now=0.0, source="test")
        self.calls = []
        send_request = self.setup.links.send_request

        async def keep_call(call, pending):
            self.calls.append(call)
            await send_request(call, pending)

        self.setup.links.send_request = keep_call

    async def send(self, request):
        return await self.setup.dispatcher.handle(request)


def on_entry(test):
    @on_mock_clock
    async def run(self, *args):
        async with trio.open_nursery() as nursery:
            await test(self, Entry(nursery, CONFIG_WITH_KEYS), *args)

    return run


class TestKeys(unittest.TestCase):
    @on_entry
    async def test_key_of_a_caller_is_not_passed_on(self, entry):
        response = await entry.send(make_request(make_key_header(KEY)))
        self.assertEqual(response.status, 200)
        [call] = entry.calls
        self.assertNotIn(KEY, repr(call))
        self.assertIsNone(find_header(call.headers, b"authorization"))

    @params((KEY, b"lab"), ("k-spare", b"lab"), (OTHER_KEY, b"shop"))
    def test_server_learns_which_workspace_holds_the_key(self, key, name):
        self.check_workspace([make_key_header(key)], name)

    @params(b"shop", b"lab", b"", b"nobody")
    def test_workspace_that_a_caller_claims_is_replaced(self, claimed):
        headers = [make_key_header(KEY), (b"tenant", claimed), (b"tenant", b"shop")]
        self.check_workspace(headers, b"lab")

    @on_entry
    async def check_workspace(self, entry, headers, name):
        await entry.send(make_request(*headers))
        [call] = entry.calls
        named = [value for key, value in call.headers if key == b"tenant"]
        self.assertEqual(named, [name])

    @params([], [make_key_header(UNKNOWN_KEY)])
    def test_workspace_claimed_on_a_public_route_is_dropped(self, headers):
        """Guards against calls of servers that pass on what they say of themselves."""
        self.check_public(headers)

    @on_entry
    async def check_public(self, entry, headers):
        request = make_request(*headers, (b"tenant", b"shop"), target=PUBLIC)
        response = await entry.send(request)
        self.assertEqual(response.status, 200)
        [call] = entry.calls
        self.assertIsNone(find_header(call.headers, b"tenant"))
        self.assertNotIn(UNKNOWN_KEY, repr(call))

    @params(
        [],
        [make_key_header(UNKNOWN_KEY)],
        [make_key_header("")],
        [make_key_header(KEY.upper())],
        [make_key_header(KEY), make_key_header(KEY)],
        [make_key_header(KEY), make_key_header(OTHER_KEY)],
        [(b"authorization", b"")],
        [(b"authorization", KEY.encode())],
        [(b"authorization", b"Basic " + KEY.encode())],
        [(b"authorization", b"Token " + KEY.encode() + b" more")],
        [(b"authorization", b"Token \xff\x00\x80")],
        [(b"authorization", b"Token " + b"x" * 15_000)],
    )
    def test_request_without_a_valid_key_is_refused(self, headers):
        self.check_refused(headers)

    @on_entry
    async def check_refused(self, entry, headers):
        response = await entry.send(make_request(*headers))
        self.assertEqual((response.status, entry.calls), (401, []))

    @params(b"Token ", b"token ", b"TOKEN  ")
    def test_scheme_has_no_case(self, scheme):
        header = (b"authorization", scheme + KEY.encode())
        self.check_workspace([header], b"lab")
