"""Tests of the judgement of keys, by the age of what a node knows."""

import math
import unittest

import trio
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from catkinpost.coordination.access.authenticator import Authenticator, KeyBounds
from catkinpost.protocol.credential import compute_key_digest
from catkinpost.protocol.http import HttpRequest, find_header
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import BoundsSection
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from tests.clock import TrioDriver, on_mock_clock

KEY, OTHER_KEY = "k-one", "k-two"
MAX_AGE_S, UNKNOWN_AGE_S = 5.0, 3.0
CLASSES = """\
[service orders]
owner = sales

[class private]
owner = sales
service = orders
{private}

[class public]
owner = sales
service = orders
needs_key = no
"""


def make_document(*workspaces, private=""):
    """Make a policy; each workspace is a name with its keys."""
    parts = [CLASSES.format(private=private)]
    for name, keys in workspaces:
        digests = " ".join(compute_key_digest(key.encode()) for key in keys)
        option = f"key_digests = {digests}\n" if digests else ""
        parts.append(f"[workspace {name}]\nowner = sales\n{option}")
    return "\n".join(parts)


class Setup:
    def __init__(self, *workspaces, **options):
        self.store = PolicyStore()
        self.version = 0
        self.publish(*workspaces, **options)
        self.age = PolicyAge()
        self.bounds = KeyBounds(max_age_s=MAX_AGE_S, unknown_age_s=UNKNOWN_AGE_S)
        self.authenticator = Authenticator(
            store=self.store, age=self.age, bounds=self.bounds
        )

    def publish(self, *workspaces, **options):
        self.version += 1
        document = make_document(*workspaces, **options)
        self.store.accept_document(self.version, document, now=0.0, source="test")

    def identify(self, *values):
        self.request = HttpRequest(b"GET", b"/", [(b"accept", b"any")])
        self.request.headers += [(b"authorization", value) for value in values]
        return self.authenticator.identify(self.request, b"bearer")

    def judge(self, *values, request_class="private"):
        """Return the reason of a refusal, ``None`` without one."""
        section = self.store.policy.classes[request_class]
        failure = self.authenticator.check(self.identify(*values), section)
        if isinstance(failure, Failure):
            assert failure.outcome is Outcome.NOT_RUN
        return None if failure is None else failure.reason


class TestAuthenticator(unittest.TestCase):
    @params(
        # (age in seconds, judgement of a known key, of an unknown one)
        (0.0, None, Reason.UNAUTHENTICATED),
        (UNKNOWN_AGE_S, None, Reason.UNAUTHENTICATED),
        (UNKNOWN_AGE_S + 0.01, None, Reason.KEYS_OUTDATED),
        (MAX_AGE_S, None, Reason.KEYS_OUTDATED),
        (MAX_AGE_S + 0.01, Reason.KEYS_OUTDATED, Reason.KEYS_OUTDATED),
        (math.inf, Reason.KEYS_OUTDATED, Reason.KEYS_OUTDATED),
    )
    def test_judgement_follows_the_age_of_the_policy(self, age_s, known, unknown):
        self.check_judgement(age_s, known, unknown)

    @on_mock_clock
    async def check_judgement(self, age_s, known, unknown):
        setup = Setup(("lab", [KEY]))
        if age_s < math.inf:
            setup.age.confirm(trio.current_time() - age_s)
        self.assertEqual(setup.judge(b"Bearer k-one"), known)
        self.assertEqual(setup.judge(b"Bearer k-none"), unknown)
        # No configuration allows what has no key.
        self.assertEqual(setup.judge(), Reason.UNAUTHENTICATED)
        for values in ([], [b"Bearer k-one"], [b"Bearer k-none"], [b"x", b"y"]):
            judgement = setup.judge(*values, request_class="public")
            self.assertIsNone(judgement)
            self.assertIsNone(find_header(setup.request.headers, b"authorization"))

    @on_mock_clock
    async def test_without_bounds_the_last_policy_holds(self):
        setup = Setup(("lab", [KEY]))
        setup.authenticator.bounds = KeyBounds.build(BoundsSection())
        self.assertIsNone(setup.judge(b"Bearer k-one"))
        self.assertEqual(setup.judge(b"Bearer k-none"), Reason.UNAUTHENTICATED)

    @params(
        # (workspaces, option of the class, judgement without a key)
        ([], "", None),
        ([], "needs_key = no", None),
        ([], "needs_key = yes", Reason.UNAUTHENTICATED),
        ([("lab", [])], "", Reason.UNAUTHENTICATED),
        ([("lab", [KEY])], "", Reason.UNAUTHENTICATED),
        ([("lab", [KEY])], "needs_key = no", None),
    )
    def test_classes_need_a_key_unless_they_say_otherwise(
        self, workspaces, option, judgement
    ):
        self.check_class(workspaces, option, judgement)

    @on_mock_clock
    async def check_class(self, workspaces, option, judgement):
        setup = Setup(*workspaces, private=option)
        setup.age.confirm(trio.current_time())
        self.assertEqual(setup.judge(), judgement)

    @on_mock_clock
    async def test_credentials_concern_the_server_while_no_policy_uses_keys(self):
        setup = Setup()
        self.assertIsNone(setup.judge(b"Basic abc", b"Bearer x"))
        self.assertEqual(len(setup.request.headers), 3)

    @on_mock_clock
    async def test_caller_has_the_workspace_and_importance_of_its_key(self):
        setup = Setup(("lab", [KEY, "k-spare"]), ("shop", [OTHER_KEY]))
        for key, name in ((KEY, "lab"), ("k-spare", "lab"), (OTHER_KEY, "shop")):
            caller = setup.identify(b"Bearer " + key.encode())
            self.assertEqual(caller.workspace, name)
            self.assertNotIn(key, repr(caller))
        self.assertIsNone(setup.identify(b"Bearer k-none").workspace)

    @on_mock_clock
    async def test_waiting_request_is_refused_once_its_key_is_withdrawn(self):
        setup = Setup(("lab", [KEY]), ("shop", [OTHER_KEY]))
        caller, other = setup.identify(b"Bearer k-one"), setup.identify(b"Bearer k-two")
        self.assertIsNone(setup.authenticator.check_again(caller))
        setup.publish(("lab", ["k-new"]), ("shop", [OTHER_KEY]))
        failure = setup.authenticator.check_again(caller)
        self.assertEqual(failure.reason, Reason.UNAUTHENTICATED)
        self.assertIsNone(setup.authenticator.check_again(other))
        # The key is now that of another customer.
        setup.publish(("shop", [KEY, OTHER_KEY]))
        self.assertIsNotNone(setup.authenticator.check_again(caller))

    @params(
        [b""],
        [b"Bearer"],
        [b"Bearer "],
        [b"k-one"],
        [b"Token k-one"],
        [b"Bearer k-one k-two"],
        [b"Bearer \xff\xfe"],
        [b"Bearer k-one", b"Bearer k-one"],
        [b"Bearer " + b"k" * 100_000],
    )
    def test_odd_credentials(self, values):
        self.check_odd(values)

    @on_mock_clock
    async def check_odd(self, values):
        setup = Setup(("lab", [KEY]))
        setup.age.confirm(trio.current_time())
        self.assertEqual(setup.judge(*values), Reason.UNAUTHENTICATED)
        self.assertEqual(setup.request.headers, [(b"accept", b"any")])


class KeyMachine(RuleBasedStateMachine):
    """Nodes that hear of the platform late, from it and from each other.

    The oracle knows when the platform acknowledged each version; requests are judged as
    the pages of the users have it: by the time at which they were sent.
    """

    NODES = 3

    def __init__(self):
        super().__init__()
        self.driver = TrioDriver()
        self.versions = []
        self.nodes = []

    @initialize()
    def start(self):
        self.publish([KEY, OTHER_KEY])
        for _ in range(self.NODES):
            setup = Setup(("lab", []))
            setup.store = setup.authenticator.store = PolicyStore()
            self.nodes.append(setup)

    @property
    def now(self):
        return self.driver.clock.current_time()

    @rule(keys=st.lists(st.sampled_from([KEY, OTHER_KEY, "k-new"]), unique=True))
    def publish(self, keys):
        self.versions.append((self.now, keys))

    @rule(seconds=st.floats(0.01, 4.0))
    def wait(self, seconds):
        self.driver.advance(seconds)

    @rule(node=st.integers(0, NODES - 1), late_s=st.floats(0.0, 6.0))
    def read(self, node, late_s):
        """A node asks the platform, whose answer is some time on its way."""
        asked_at, version = self.now, len(self.versions)
        self.driver.advance(late_s)
        self.apply(self.nodes[node], version, asked_at)

    @rule(
        node=st.integers(0, NODES - 1),
        source=st.integers(0, NODES - 1),
        late_s=st.floats(0.0, 6.0),
    )
    def follow(self, node, source, late_s):
        """A node gets what another one knew when it wrote its message."""
        sender = self.nodes[source]
        version, confirmed_at = sender.store.version, sender.age.confirmed_at
        self.driver.advance(late_s)
        if version > 0:
            self.apply(self.nodes[node], version, confirmed_at)

    @rule(node=st.integers(0, NODES - 1))
    def restart(self, node):
        setup = self.nodes[node] = Setup(("lab", []))
        setup.store = setup.authenticator.store = PolicyStore()

    def apply(self, node, version, confirmed_at):
        _, keys = self.versions[version - 1]
        document = make_document(("lab", keys))
        node.store.accept_document(version, document, now=self.now, source="test")
        node.age.confirm(confirmed_at)

    @invariant()
    def no_withdrawn_key_runs_and_no_good_one_is_denied(self):
        for node in self.nodes:
            if not node.store.has_policy:
                continue
            for key in (KEY, OTHER_KEY, "k-new"):
                reason = self.driver.run(self.judge, node, key)
                held = [key in keys for _, keys in self.versions]
                ends = [at for at, _ in self.versions[1:]] + [math.inf]
                if reason is None:
                    last = max(end for end, has in zip(ends, held, strict=True) if has)
                    assert self.now <= last + MAX_AGE_S
                if reason is Reason.UNAUTHENTICATED:
                    in_force = [
                        has
                        for end, has in zip(ends, held, strict=True)
                        if end >= self.now - UNKNOWN_AGE_S
                    ]
                    assert not all(in_force)

    async def judge(self, node, key):
        return node.judge(b"Bearer " + key.encode())

    def teardown(self):
        self.driver.stop()


class TestRandomKnowledge(unittest.TestCase):
    def test_judgements_of_random_knowledge(self):
        run_state_machine_as_test(KeyMachine)
