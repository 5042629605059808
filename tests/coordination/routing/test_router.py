"""Tests of routing by expected wait and of the cross-region budget."""

import unittest

import trio
from nose2.tools import params

from catkinpost.coordination.routing.ejection import Ejector
from catkinpost.coordination.routing.region_budget import RegionBudget
from catkinpost.coordination.routing.router import NodeLocation, Router
from catkinpost.coordination.routing.sampler import COMPARED_INSTANCES
from catkinpost.protocol.message import Answer, Load, Refusal, ServerNotice
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import Instance, InstanceState, InstanceView
from catkinpost.state.peer_stat import PeerStats
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.server_notice import ServerNotices
from tests.clock import on_mock_clock

POLICY = """\
[service sets]
owner = catalogue
{options}

[link kurzeme]
owner = network
bytes_per_second = 4000
"""
PLACES = {
    "near-1": ("kurzeme-1", "kurzeme"),
    "near-2": ("kurzeme-1", "kurzeme"),
    "region-1": ("kurzeme-2", "kurzeme"),
    "far-1": ("latgale-1", "latgale"),
}


def get_place(name):
    return PLACES.get(name, PLACES["near-1"])


class Setup:
    """Router and ejector over a list of instances."""

    def __init__(self, names=tuple(PLACES), options=""):
        self.decisions = DecisionLog()
        self.store = PolicyStore()
        self.store.accept_document(
            1, POLICY.format(options=options), now=0.0, source="test"
        )
        self.view = InstanceView()
        self.names = names
        self.publish({})
        self.stats = PeerStats()
        self.notices = ServerNotices()
        self.ejector = Ejector(
            view=self.view,
            stats=self.stats,
            store=self.store,
            decisions=self.decisions,
        )
        self.budget = RegionBudget(
            region="kurzeme",
            store=self.store,
            count_nodes=lambda: 1,
            decisions=self.decisions,
        )
        self.router = Router(
            location=NodeLocation(
                instance="x-1", data_centre="kurzeme-1", region="kurzeme"
            ),
            view=self.view,
            stats=self.stats,
            notices=self.notices,
            store=self.store,
            ejector=self.ejector,
            budget=self.budget,
        )

    def publish(self, states, incarnation=""):
        address = Address("127.0.0.1", 1)
        instances = [
            Instance(
                name=name,
                service="sets",
                data_centre=get_place(name)[0],
                region=get_place(name)[1],
                calls=address,
                peers=address,
                operators=address,
                state=states.get(name, InstanceState.LIVE),
                incarnation=incarnation,
            )
            for name in self.names
        ]
        self.view.apply_list(self.view.version + 1, instances, 0.0)

    def choose(self, repeatable=True, exclude=frozenset()):
        return self.router.choose_instance(
            "sets", "lookup", exclude=exclude, repeatable=repeatable
        )

    async def call(self, seconds, repeatable=True, failure=None):
        """Make one call; ``seconds`` holds the response time of each instance."""
        target = self.choose(repeatable)
        if isinstance(target, Failure):
            return target
        taken = seconds.get(target.instance.name, 0.01)
        await trio.sleep(taken)
        result = Answer(0, 200, [], b"x" * 100, 0, Load(limit=8))
        if failure is not None and target.instance.name in failure:
            result = Refusal(
                0, Reason.BACKEND_UNREACHABLE, Outcome.NOT_RUN, "", None, 0, Load()
            )
        self.router.record_result(target, "lookup", result, duration_s=taken)
        return target.instance.name

    async def run(self, seconds, count, **options):
        """Make calls one after the other and return the number for each instance."""
        got = {}
        for index in range(count):
            name = await self.call(seconds, **options)
            key = name.reason if isinstance(name, Failure) else name
            got[key] = got.get(key, 0) + 1
            if index % 10 == 0:
                self.ejector.check_service("sets")
        return got


SAME_CENTRE = ("near-1", "near-2")


class TestRouter(unittest.TestCase):
    @on_mock_clock
    async def test_near_instances_are_preferred(self):
        got = await Setup().run({}, 100)
        self.assertEqual(set(got), {"near-1", "near-2"})

    @on_mock_clock
    async def test_slow_instance_gets_few_calls(self):
        got = await Setup(SAME_CENTRE).run({"near-1": 0.1}, 200)
        self.assertLess(got.get("near-1", 0), 30)

    @on_mock_clock
    async def test_frozen_instance_is_avoided_before_it_answers(self):
        setup = Setup(SAME_CENTRE, "ejection = off")
        await setup.run({}, 50)
        now = trio.current_time()
        setup.stats.record_sent("near-1", 0.01, now)
        await trio.sleep(2.0)
        got = await setup.run({}, 50)
        self.assertEqual(got, {"near-2": 50})

    @on_mock_clock
    async def test_leaving_instance_gets_no_call_though_the_list_lags(self):
        setup = Setup(SAME_CENTRE)
        setup.stats.get_or_create("near-1").record_load(
            Load(leaving=True), trio.current_time()
        )
        self.assertEqual(await setup.run({}, 30), {"near-2": 30})

    @on_mock_clock
    async def test_instance_is_chosen_again_when_its_rate_limit_has_room(self):
        setup = Setup(SAME_CENTRE)
        await setup.run({}, 50)
        setup.stats.get_or_create("near-1").record_load(
            Load(limit=8, notice=ServerNotice("", 2.0), rate_wait_us=800_000),
            trio.current_time(),
        )
        self.assertEqual(await setup.run({}, 30), {"near-2": 30})
        await trio.sleep(0.6)
        first = [setup.choose().instance.name for _ in range(30)]
        # Two a second: a second call would wait for half a second.
        self.assertEqual(first.count("near-1"), 1)

    @on_mock_clock
    async def test_every_usable_instance_of_a_large_service_is_chosen(self):
        names = tuple(f"many-{number}" for number in range(40))
        setup = Setup(names)
        now = trio.current_time()
        for name in names[:30]:
            setup.stats.get_or_create(name).ejected_until = now + 60
        setup.router.is_reachable = lambda name: name != names[30]
        setup.notices.record(names[31], ServerNotice("", None, True))
        setup.stats.get_or_create(names[32]).record_load(Load(leaving=True), now)
        exclude = frozenset(names[33:35])
        chosen = {setup.choose(exclude=exclude).instance.name for _ in range(300)}
        self.assertEqual(chosen, set(names[35:]))

    @params(4, 40, 400)
    def test_choice_looks_at_as_many_instances_in_a_larger_service(self, count):
        self.check_cost(count)

    @on_mock_clock
    async def check_cost(self, count):
        setup = Setup(tuple(f"many-{number}" for number in range(count)))
        seen = []
        setup.router.is_reachable = lambda name: seen.append(name) is None
        for _ in range(10):
            setup.choose()
        self.assertEqual(len(seen), 10 * COMPARED_INSTANCES)

    @on_mock_clock
    async def test_late_answer_says_nothing_about_the_next_instance_of_the_name(self):
        """Guards against a new instance that gets no calls as its predecessor left."""
        setup = Setup(("near-1",))
        target = setup.choose()
        setup.names = ()
        setup.publish({})
        setup.stats.remove("near-1")
        setup.names = ("near-1",)
        setup.publish({}, incarnation="next")
        late = Answer(0, 200, [], b"", 0, Load(leaving=True))
        setup.router.record_result(target, "lookup", late, duration_s=9.0)
        self.assertEqual(await setup.run({}, 3), {"near-1": 3})
        self.assertLess(setup.stats.get_or_create("near-1").slowness, 2.0)

    @on_mock_clock
    async def test_instance_listed_as_leaving_gets_no_call(self):
        setup = Setup(SAME_CENTRE)
        setup.publish({"near-1": InstanceState.LEAVING})
        self.assertEqual(await setup.run({}, 30), {"near-2": 30})

    @on_mock_clock
    async def test_calls_to_other_regions_stay_within_the_budget(self):
        setup = Setup(("far-1",))
        started = trio.current_time()
        got = await setup.run({"far-1": 0.01}, 400)
        elapsed = trio.current_time() - started
        spent = got["far-1"] * 500
        self.assertLessEqual(spent, 4000 * (elapsed + 1) + 500)
        self.assertGreater(got[Reason.REGION_LINK_BUDGET], 0)

    @on_mock_clock
    async def test_routing_that_is_off_takes_turns(self):
        got = await Setup(options="routing = off").run({"near-1": 0.1}, 40)
        self.assertEqual(set(got.values()), {10})

    @on_mock_clock
    async def test_observed_routing_takes_turns_and_logs(self):
        setup = Setup(options="routing = observe")
        got = await setup.run({"near-1": 0.1}, 40)
        self.assertEqual(set(got.values()), {10})
        mechanisms = {item.mechanism for item in setup.decisions.decisions}
        self.assertIn("routing", mechanisms)

    @on_mock_clock
    async def test_no_instance_is_a_failure(self):
        failure = Setup(()).choose()
        self.assertEqual(failure.reason, Reason.NO_INSTANCE)
