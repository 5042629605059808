"""Tests of asking keepers for credit."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.limits.client import (
    ASK_TIMEOUT_S,
    MAX_ASKING_S,
    SILENCE_BACKOFF_S,
    Credit,
    LimitClient,
)
from catkinpost.coordination.limits.ring import SHARES
from catkinpost.coordination.limits.use import (
    LIMIT_UNKNOWN,
    OVER_LIMIT,
    WorkspaceUse,
)
from catkinpost.protocol.message import (
    CreditAsk,
    CreditReply,
    CreditReturn,
    CreditVerdict,
    Welcome,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.instance_view import InstanceView
from tests.clock import on_mock_clock
from tests.coordination.at_most_once.test_once import make_instance
from tests.coordination.limits.fleet import KeeperFleet

NAMES = [f"n-{number}" for number in range(5)]
LIMITS = {"lab": (6.0, 6.0), "free": None}
LINK_LATENCY_S = 0.01
STALL_S = 5.0
WELCOME = Welcome(1, "", "", "", 0, b"", b"", credits=True)


class FakeLink:
    """Link to a keeper, which may be slow, silent, down or of an older release."""

    def __init__(self, links, name):
        self.links = links
        self.name = name
        self.is_up = True
        self.is_unreachable = False
        self.is_silent = False
        self.is_stalled = False
        self.delay_s = LINK_LATENCY_S
        self.ping_due = False
        self.state_changed = trio.Event()
        self.connect_requested = trio.Event()
        self.welcome = WELCOME
        self.asks = []
        self.returns = []

    async def send_notification(self, message):
        if isinstance(message, CreditReturn):
            self.returns.append(message.id)
            self.links.keepers[self.name].take_back(
                "n-own", message.id, trio.current_time()
            )
            return True
        self.asks.append(message)
        if self.is_stalled:
            # A message that has begun is sent despite cancellation.
            with trio.CancelScope(shield=True):
                await trio.sleep(STALL_S)
            return False
        if not self.is_silent:
            self.links.nursery.start_soon(self.reply, message)
        return True

    async def reply(self, ask):
        await trio.sleep(self.delay_s)
        keeper = self.links.keepers[self.name]
        decision = keeper.answer("n-own", ask, trio.current_time())
        reply = CreditReply(
            ask.id,
            decision.verdict,
            int(decision.wait_s * 1e6),
            int(decision.return_s * 1e6),
        )
        self.links.client.handle_reply(self.name, reply)


class FakeLinks:
    def __init__(self, nursery, keepers):
        self.nursery = nursery
        self.keepers = keepers
        self.links = {name: FakeLink(self, name) for name in keepers}
        self.client = None

    def is_reachable(self, name):
        return not self.links[name].is_unreachable

    def get_or_open_link(self, instance):
        return self.links[instance.name]


def on_client(test):
    """Run a test with a client whose keepers have kept their shares for long."""

    @on_mock_clock
    async def run(self, *args):
        await trio.sleep(60.0)
        fleet = KeeperFleet([*NAMES, "n-own"], LIMITS)
        fleet.listed = NAMES
        for fleet.now in (0.0, 30.0, trio.current_time()):
            for name in fleet.names:
                fleet.learn(name)
        view = InstanceView()
        view.apply_list(1, [make_instance(name) for name in NAMES], 0.0)
        async with trio.open_nursery() as nursery:
            links = FakeLinks(nursery, fleet.keepers)
            client = links.client = LimitClient(
                instance="n-own",
                data_centre="penang-a",
                region="penang",
                keeper=fleet.keepers["n-own"],
                view=view,
                links=links,
                spawn=nursery.start_soon,
                use=WorkspaceUse(),
            )
            await test(self, client, links.links, *args)

    return run


async def use_up(client):
    """Use all credit; return how many requests had some, and the last failure."""
    count = 0
    while not isinstance(result := await client.acquire("lab"), Failure):
        count += 1
    return count, result


def count_asks(links):
    return sum(len(link.asks) for link in links.values())


class TestAsking(unittest.TestCase):
    @on_client
    async def test_one_keeper_is_asked_as_a_rule(self, client, links):
        credit = await client.acquire("lab")
        self.assertIsInstance(credit, Credit)
        self.assertEqual(count_asks(links), 1)

    @on_client
    async def test_all_of_the_limit_can_be_used_at_one_node(self, client, links):
        count, failure = await use_up(client)
        self.assertGreaterEqual(count, LIMITS["lab"][1])
        self.assertIs(failure.reason, Reason.WORKSPACE_LIMIT)
        self.assertIs(failure.outcome, Outcome.NOT_RUN)
        self.assertIn("6 requests/s, burst 6", failure.detail)
        self.assertGreater(failure.retry_after, 0)
        self.assertEqual(client.use.counts["lab"][OVER_LIMIT], 1)

    @on_client
    async def test_keeper_without_credit_is_not_asked_again_at_once(
        self, client, links
    ):
        await use_up(client)
        asks = count_asks(links)
        for _ in range(10):
            await client.acquire("lab")
        self.assertEqual(count_asks(links), asks)

    @on_client
    async def test_credit_is_found_again_after_its_wait(self, client, links):
        _, failure = await use_up(client)
        await trio.sleep(failure.retry_after + 1.0)
        self.assertIsInstance(await client.acquire("lab"), Credit)

    @on_client
    async def test_workspaces_without_limits_need_no_credit(self, client, links):
        for name in ("free", "unlisted", None):
            self.assertFalse(client.has_limit(name))
        self.assertTrue(client.has_limit("lab"))


class TestKeepersInTrouble(unittest.TestCase):
    @params("silent", "stalled", "unreachable", "of an older release")
    def test_keeper_is_passed_over(self, trouble):
        self.check_passed_over(trouble)

    @on_client
    async def check_passed_over(self, client, links, trouble):
        first = client.keeper.rings.ring.find_keeper("lab", 0)
        link = links[first]
        link.is_silent = trouble == "silent"
        link.is_stalled = trouble == "stalled"
        link.is_unreachable = trouble == "unreachable"
        if trouble == "of an older release":
            link.welcome = Welcome(1, "", "", "", 0, b"", b"")
        started_at = trio.current_time()
        for _ in range(7):
            self.assertIsInstance(await client.acquire("lab"), Credit)
        waited_s = trio.current_time() - started_at
        self.assertLessEqual(waited_s, ASK_TIMEOUT_S + 14 * 2 * LINK_LATENCY_S)
        # It is not asked again before its backoff.
        self.assertEqual(len(link.asks), trouble in ("silent", "stalled"))

    @on_client
    async def test_not_knowing_is_no_promise_about_the_limit(self, client, links):
        for link in links.values():
            link.is_silent = True
        started_at = trio.current_time()
        failure = await client.acquire("lab")
        self.assertIs(failure.reason, Reason.WORKSPACE_LIMIT_UNKNOWN)
        self.assertIs(failure.outcome, Outcome.NOT_RUN)
        self.assertEqual(failure.status, 503)
        waited_s = trio.current_time() - started_at
        self.assertLessEqual(waited_s, MAX_ASKING_S + ASK_TIMEOUT_S)
        others = [(await client.acquire("lab")).retry_after for _ in range(20)]
        self.assertEqual(len({failure.retry_after, *others}), 21)
        self.assertEqual(client.use.counts["lab"][LIMIT_UNKNOWN], 21)

    @on_client
    async def test_silent_keeper_is_asked_again_later(self, client, links):
        for link in links.values():
            link.is_silent = True
        await client.acquire("lab")
        for link in links.values():
            link.is_silent = False
        await trio.sleep(SILENCE_BACKOFF_S + ASK_TIMEOUT_S)
        self.assertIsInstance(await client.acquire("lab"), Credit)

    @on_client
    async def test_empty_list_is_not_a_limit(self, client, links):
        client.keeper.update([], trio.current_time())
        failure = await client.acquire("lab")
        self.assertIs(failure.reason, Reason.WORKSPACE_LIMIT_UNKNOWN)


class TestReturns(unittest.TestCase):
    @on_client
    async def test_credit_that_comes_too_late_goes_back(self, client, links):
        for link in links.values():
            link.delay_s = ASK_TIMEOUT_S + 0.05
        await client.acquire("lab")
        await trio.sleep(1.0)
        asked = [ask.id for link in links.values() for ask in link.asks]
        returned = [item for link in links.values() for item in link.returns]
        self.assertTrue(asked)
        self.assertEqual(sorted(returned), sorted(asked))

    @on_client
    async def test_credit_of_a_request_that_has_not_run_is_used_again(
        self, client, links
    ):
        count, _ = await use_up(client)
        await trio.sleep(1.5)
        credit = await client.acquire("lab")
        while not isinstance(await client.acquire("lab"), Failure):
            pass
        client.give_back(credit)
        await trio.sleep(0.0)
        client.exhausted.clear()
        self.assertIsInstance(await client.acquire("lab"), Credit)

    @on_client
    async def test_reply_of_another_keeper_is_not_taken(self, client, links):
        ask = CreditAsk(7, "lab", 0)
        reply = CreditReply(ask.id, CreditVerdict.GRANTED)
        client.handle_reply("n-0", reply)
        await trio.sleep(0.1)
        self.assertEqual(links["n-0"].returns, [ask.id])

    @on_client
    async def test_all_shares_are_asked_before_the_limit_is_told(self, client, links):
        await use_up(client)
        shares = {ask.share for link in links.values() for ask in link.asks}
        self.assertEqual(shares, set(range(SHARES)))
