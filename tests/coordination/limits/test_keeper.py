"""Tests of what the keepers of a limit give, alone and together."""

import random
import unittest
from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from nose2.tools import params

from catkinpost.coordination.limits.keeper import (
    MAX_RETURN_S,
    RETURN_LIFETIME_S,
    SHARE_BURST,
    KeeperBounds,
)
from catkinpost.coordination.limits.ring import SHARES
from catkinpost.protocol.message import CreditAsk, CreditVerdict
from tests.coordination.limits.fleet import BOUNDS, KeeperFleet, compute_allowed

NAMES = [f"n-{number}" for number in range(6)]
RATE, BURST = 12.0, 12.0
LIMIT = {"lab": (RATE, BURST)}
MACHINE_LIMIT = {"lab": (60.0, 60.0)}
FULL = int(BURST / SHARES + SHARE_BURST)
# Servers take longer to vanish from the list and processes longer to start again.
LIST_CHANGE_S = 3.0
START_S = 1.5


def make_fleet(limits=LIMIT, names=NAMES):
    """Make a fleet whose nodes have kept their shares for long."""
    fleet = KeeperFleet(names, limits)
    for fleet.now in (0.0, BOUNDS.max_age_s, 60.0):
        for name in names:
            fleet.learn(name)
    return fleet


def find_keeper(fleet, share=0):
    ring = next(iter(fleet.keepers.values())).rings.ring
    return fleet.keepers[ring.find_keeper("lab", share)], share


class TestOneShare(unittest.TestCase):
    def take_all(self, keeper, share, now):
        count = 0
        while keeper.decide("lab", share, now).verdict is CreditVerdict.GRANTED:
            count += 1
        return count

    def test_share_that_was_never_asked_is_full(self):
        keeper, share = find_keeper(make_fleet())
        self.assertEqual(self.take_all(keeper, share, 60.0), FULL)

    def test_share_of_a_node_that_has_just_started_is_not_full(self):
        fleet = make_fleet()
        name = find_keeper(fleet)[0].rings.instance
        fleet.start(name)
        fleet.learn(name)
        keeper = fleet.keepers[name]
        first = BOUNDS.compute_first_credit(BURST)
        self.assertLess(first, BURST / SHARES)
        self.assertEqual(self.take_all(keeper, 0, 60.0), int(first))
        # Another node may still be the keeper: a quarter is allowed for this time.
        fleet.now = 60.0 + BOUNDS.max_age_s / 2
        fleet.learn(name)
        gained = RATE / SHARES * BOUNDS.overshoot * BOUNDS.max_age_s / 2
        self.assertLessEqual(self.take_all(keeper, 0, fleet.now), gained + 1)

    @params(0.0, 0.25)
    def test_node_that_may_not_exceed_the_limit_waits_for_its_share(self, overshoot):
        fleet = make_fleet()
        keeper, share = find_keeper(fleet)
        fleet.start(keeper.rings.instance)
        keeper = fleet.keepers[keeper.rings.instance]
        keeper.set_bounds(KeeperBounds(max_age_s=4.0, overshoot=overshoot, slack=0.0))
        fleet.learn(keeper.rings.instance)
        decision = keeper.decide("lab", share, 60.0)
        self.assertIs(decision.verdict, CreditVerdict.EXHAUSTED)
        self.assertGreater(decision.wait_s, 0)

    def test_node_that_hears_nothing_gives_nothing(self):
        keeper, share = find_keeper(make_fleet())
        verdict = keeper.decide("lab", share, 60.1 + BOUNDS.max_age_s).verdict
        self.assertIs(verdict, CreditVerdict.OUTDATED)

    def test_node_that_hears_again_gives_no_more_than_its_burst(self):
        fleet = make_fleet()
        keeper, share = find_keeper(fleet)
        self.take_all(keeper, share, 60.0)
        fleet.now = 200.0
        fleet.learn(keeper.rings.instance)
        self.assertEqual(self.take_all(keeper, share, 200.0), FULL)

    @params(-1, SHARES, 1 << 40)
    def test_share_that_does_not_exist(self, share):
        keeper, _ = find_keeper(make_fleet())
        verdict = keeper.decide("lab", share, 60.0).verdict
        self.assertIs(verdict, CreditVerdict.NOT_KEEPER)

    def test_other_node_is_not_the_keeper(self):
        fleet = make_fleet()
        keeper, share = find_keeper(fleet)
        for other in fleet.keepers.values():
            if other is not keeper:
                verdict = other.decide("lab", share, 60.0).verdict
                self.assertIs(verdict, CreditVerdict.NOT_KEEPER)

    @params([None], [(0.5, 0.0)], [(600.0, 600.0)])
    def test_changed_limit_brings_no_credit(self, limits):
        limit = limits[0]
        fleet = make_fleet()
        keeper, share = find_keeper(fleet)
        self.take_all(keeper, share, 60.0)
        fleet.now = 60.1
        for changed in ({"lab": limit}, LIMIT, {}, LIMIT, {"lab": limit}, LIMIT):
            fleet.change_limits(changed)
            fleet.learn(keeper.rings.instance)
        self.assertLessEqual(self.take_all(keeper, share, 60.1), 1)

    def test_workspace_without_a_limit_here_is_given_credit(self):
        fleet = make_fleet({"lab": None})
        keeper, share = find_keeper(fleet)
        for _ in range(100):
            verdict = keeper.decide("lab", share, 60.0).verdict
            self.assertIs(verdict, CreditVerdict.GRANTED)

    @params("old policy", "no policy")
    def test_node_that_may_not_know_of_the_limit_gives_nothing(self, kind):
        """Guards against a node that starts and gives without counting."""
        fleet = make_fleet({"lab": None})
        keeper, share = find_keeper(fleet)
        now = 60.0
        if kind == "no policy":
            fleet.start(keeper.rings.instance)
            keeper = fleet.keepers[keeper.rings.instance]
            keeper.update(NAMES, now)
        else:
            now += BOUNDS.max_age_s + 0.1
        keeper.list_age.confirm(now)
        verdict = keeper.decide("lab", share, now).verdict
        self.assertIs(verdict, CreditVerdict.OUTDATED)

    def test_refused_callers_come_back_one_after_the_other(self):
        random.seed(1)
        keeper, share = find_keeper(make_fleet())
        self.take_all(keeper, share, 60.0)
        delays = [keeper.decide("lab", share, 60.0).return_s for _ in range(10)]
        steps = [later - earlier for earlier, later in pairwise(delays)]
        for step in steps:
            self.assertAlmostEqual(step, 1 / RATE)
        rest = [keeper.decide("lab", share, 60.0).return_s for _ in range(200)]
        self.assertLessEqual(max(rest), MAX_RETURN_S)
        self.assertGreater(len({round(delay, 2) for delay in rest[-50:]}), 20)


class TestReturnedCredit(unittest.TestCase):
    def setUp(self):
        self.keeper, self.share = find_keeper(make_fleet())
        self.now = 60.0
        ask = CreditAsk(7, "lab", self.share)
        while self.keeper.answer("peer", ask, self.now).verdict is (
            CreditVerdict.GRANTED
        ):
            pass

    def decide(self):
        return self.keeper.decide("lab", self.share, self.now).verdict

    def test_credit_is_used_again_once(self):
        for _ in range(3):
            self.keeper.take_back("peer", 7, self.now)
        self.assertIs(self.decide(), CreditVerdict.GRANTED)
        self.assertIs(self.decide(), CreditVerdict.EXHAUSTED)

    def test_credit_of_another_ask_or_peer_is_not(self):
        self.keeper.take_back("peer", 8, self.now)
        self.keeper.take_back("other", 7, self.now)
        self.assertIs(self.decide(), CreditVerdict.EXHAUSTED)

    def test_credit_that_comes_back_late_is_lost(self):
        tokens = self.keeper.kept["lab", self.share].bucket.tokens
        self.keeper.take_back("peer", 7, self.now + RETURN_LIFETIME_S + 0.1)
        self.assertEqual(self.keeper.kept["lab", self.share].bucket.tokens, tokens)


class TestWholeLimit(unittest.TestCase):
    """Replay of 75 workspaces, 231 requests a second, each at a random moment."""

    NODES = [f"10.0.0.{number}" for number in range(66)]
    SECONDS = 40

    @params(1, 2, 3)
    def test_workspaces_inside_their_limits_are_served(self, seed):
        random.seed(seed)
        weights = [(number + 1) ** -1.2 for number in range(75)]
        usual = [231 * weight / sum(weights) for weight in weights]
        limits = {
            f"w-{number}": (1.6 * rate, max(1.0, 1.6 * rate))
            for number, rate in enumerate(usual)
        }
        fleet = make_fleet(limits, self.NODES)
        reference = {name: limit[1] for name, limit in limits.items()}
        asked_at = dict.fromkeys(limits, 60.0)
        inside = refused = 0
        names = list(limits)
        end = fleet.now + self.SECONDS
        while fleet.now < end:
            fleet.now += random.expovariate(231)
            for name in self.NODES if int(fleet.now) % 2 else ():
                fleet.keepers[name].list_age.confirm(fleet.now)
            name = random.choices(names, usual)[0]
            rate, burst = limits[name]
            gained = (fleet.now - asked_at[name]) * rate
            reference[name] = min(burst, reference[name] + gained)
            asked_at[name] = fleet.now
            is_served = fleet.send(name)
            if reference[name] >= 1:
                reference[name] -= 1
                inside += 1
                refused += not is_served
        self.assertLess(refused, inside / 500)

    @params(0.6, 2.0, 20.0, 106.0)
    def test_hot_workspace_gets_its_limit_and_no_more(self, rate):
        fleet = make_fleet({"lab": (rate, rate)}, self.NODES)
        while fleet.now < 75.0:
            fleet.now += 0.01
            for name in self.NODES:
                fleet.keepers[name].list_age.confirm(fleet.now)
                fleet.drain(name, "lab")
        most = fleet.count_most_in_window()
        self.assertLessEqual(most, rate * 5.0 + rate + SHARES * SHARE_BURST)
        self.assertGreaterEqual(len(fleet.times), 0.95 * rate * 15.0)


class LimitMachine(RuleBasedStateMachine):
    """Whatever the nodes know, all of them together keep to the limit.

    All credit that any node would give is taken after each step. A node that is cut off
    goes on with what it knows.
    """

    def __init__(self):
        super().__init__()
        self.fleet = make_fleet(MACHINE_LIMIT)
        self.cut = set()
        self.list_changed_at = 0.0
        self.list_version = 0
        self.known_version = dict.fromkeys(NAMES, 0)
        self.started_at = dict.fromkeys(NAMES, 0.0)
        self.missed_changes_at = 0.0

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.0]))
    def wait(self, seconds):
        self.fleet.now += seconds
        for name in NAMES:
            if name not in self.cut:
                self.learn(name)

    def learn(self, name):
        missed = self.list_version - self.known_version[name]
        if missed > 1:
            # A share may have been away and come back meanwhile: see the design page.
            self.missed_changes_at = self.fleet.now
        self.known_version[name] = self.list_version
        self.fleet.learn(name)

    @rule(name=st.sampled_from(NAMES))
    def cut_or_heal(self, name):
        self.cut ^= {name}

    @precondition(lambda self: self.fleet.now - self.list_changed_at >= LIST_CHANGE_S)
    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1, max_size=2))
    def change_list(self, names):
        self.list_changed_at = self.fleet.now
        self.list_version += 1
        self.fleet.listed = sorted(set(self.fleet.listed) ^ names)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        if self.fleet.now - self.started_at[name] >= START_S:
            self.started_at[name] = self.fleet.now
            self.fleet.start(name)

    @rule(limit=st.sampled_from([MACHINE_LIMIT, {"lab": (RATE, BURST)}]))
    def change_limit(self, limit):
        self.fleet.change_limits(limit)

    @invariant()
    def all_nodes_together_keep_to_the_limit(self):
        self.fleet.times = self.fleet.times[-5000:]
        for name in NAMES:
            self.fleet.drain(name, "lab")
        allowed = compute_allowed(*MACHINE_LIMIT["lab"])
        assert self.fleet.count_most_in_window() <= allowed

    @invariant()
    def no_share_has_two_keepers_that_give_all_of_it(self):
        now = self.fleet.now
        if now - self.missed_changes_at <= 2 * BOUNDS.max_age_s:
            return
        settled = [
            share
            for keeper in self.fleet.keepers.values()
            for (_, share), kept in list(keeper.kept.items())
            if keeper.decide("lab", share, now).verdict is CreditVerdict.EXHAUSTED
            and kept.is_settled
        ]
        assert len(settled) == len(set(settled)), settled


TestLimitMachine = LimitMachine.TestCase
TestLimitMachine.settings = settings(max_examples=150, stateful_step_count=80)
