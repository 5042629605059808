"""Tests of the policy in force."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nose2.tools import params

from catkinpost.protocol.message import PolicyContent, SectionCopy
from catkinpost.state.policy_store import NO_VERSION, PolicyStore

NODES = 4
SECTIONS = ["service a", "service b", "service c"]
GOOD = "[service {name}]\nowner = {name}\nslots = {slots}\n"
CLASS = "[class {name}]\nowner = {name}\nservice = {name}\ntimeout = {slots}\n"
BROKEN = "[service {name}]\nowner = {name}\nslots = many\n"


def document(**slots):
    """Return a document with a service, and a class that refers to it, by name.

    A value of ``None`` breaks the service's section and leaves the class out.
    """
    parts = []
    for name, value in slots.items():
        template = BROKEN if value is None else GOOD + CLASS
        parts.append(template.format(name=name, slots=value))
    return "".join(parts)


def accept(store, version, **slots):
    return store.accept_document(version, document(**slots), now=0.0, source="test")


def slots_of(store):
    return {name: item.slots for name, item in store.policy.services.items()}


def exchange(source, target, *, full=False):
    since = NO_VERSION if full else target.version
    content = source.build_content_since(since)
    return target.merge_content(content, now=0.0, source="peer")


class TestPolicyStore(unittest.TestCase):
    def test_document_comes_into_force(self):
        store = PolicyStore()
        change = accept(store, 1, a=3)
        self.assertEqual(change.changed, ["class a", "service a"])
        self.assertEqual(slots_of(store), {"a": 3})

    def test_lower_version_is_ignored(self):
        store = PolicyStore()
        accept(store, 2, a=3)
        self.assertIsNone(accept(store, 1, a=9))
        self.assertEqual((store.version, slots_of(store)), (2, {"a": 3}))

    def test_broken_section_keeps_its_last_good_form_and_harms_no_other(self):
        store = PolicyStore()
        accept(store, 1, a=3, b=4)
        change = accept(store, 2, a=None, b=5)
        self.assertEqual(slots_of(store), {"a": 3, "b": 5})
        self.assertEqual([item.option for item in change.problems], ["slots"])

    def test_removed_section_does_not_come_back_when_its_new_form_is_broken(self):
        store = PolicyStore()
        accept(store, 1, a=3)
        accept(store, 2, b=1)
        accept(store, 3, a=None, b=1)
        self.assertEqual(slots_of(store), {"b": 1})

    def test_new_store_gets_the_last_good_form_from_a_peer(self):
        old, new = PolicyStore(), PolicyStore()
        accept(old, 1, a=3)
        accept(old, 2, a=None)
        accept(new, 2, a=None)
        self.assertNotEqual(old.digest, new.digest)
        exchange(old, new, full=True)
        self.assertEqual(slots_of(new), {"a": 3})
        self.assertEqual(old.digest, new.digest)

    def test_difference_holds_only_what_changed(self):
        store = PolicyStore()
        accept(store, 1, a=1, b=1)
        accept(store, 2, a=1, b=2)
        names = [copy.name for copy in store.build_content_since(1).sections]
        self.assertEqual(sorted(names), ["class b", "service b"])

    def test_difference_from_a_version_that_is_not_there_is_not_applied(self):
        store = PolicyStore()
        accept(store, 1, a=1)
        content = PolicyContent(5, 6, ["service a"], [], [], {}, b"")
        self.assertIsNone(store.merge_content(content, now=0.0, source="peer"))
        self.assertEqual(store.version, 1)

    def test_section_that_refers_to_another_comes_from_a_peer(self):
        """Regression: classes and limits were dropped when a peer sent them."""
        peer, store = PolicyStore(), PolicyStore()
        accept(peer, 1, a=1)
        accept(store, 1, a=1)
        accept(peer, 2, a=1, b=2)
        exchange(peer, store)
        self.assertEqual(store.policy.classes["b"].timeout, 2)
        self.assertEqual(store.digest, peer.digest)

    def test_difference_of_a_peer_that_skipped_versions_is_not_applied(self):
        """Regression: the difference lacked a section that had been restored."""
        peer, store = PolicyStore(), PolicyStore()
        accept(peer, 1, a=2)
        accept(peer, 4, a=2)
        accept(store, 3)
        self.assertIsNone(exchange(peer, store))
        exchange(peer, store, full=True)
        self.assertEqual((store.version, slots_of(store)), (4, {"a": 2}))

    def test_section_in_force_is_not_replaced_by_one_of_an_older_version(self):
        """Regression: a restored value was replaced by the intermediate one."""
        skipped, peer = PolicyStore(), PolicyStore()
        accept(skipped, 1, a=2)
        accept(skipped, 5, a=2)
        accept(peer, 4, a=1)
        exchange(peer, skipped, full=True)
        self.assertEqual(slots_of(skipped), {"a": 2})

    def test_broken_section_keeps_the_form_that_was_good_last_anywhere(self):
        skipped, peer = PolicyStore(), PolicyStore()
        accept(skipped, 1, a=2)
        accept(skipped, 3, a=2)
        accept(peer, 2, a=1)
        for store in (skipped, peer):
            accept(store, 4, a=None)
        exchange(peer, skipped, full=True)
        exchange(skipped, peer, full=True)
        self.assertEqual(slots_of(skipped), {"a": 2})
        self.assertEqual(slots_of(peer), {"a": 2})

    @params("", "nonsense", "[service a", "[service a]\nno option line")
    def test_unreadable_document_changes_no_section_in_force(self, text):
        store = PolicyStore()
        accept(store, 1, b=1)
        store.accept_document(2, text + "\n" + document(b=1), now=0.0, source="x")
        self.assertEqual(slots_of(store), {"b": 1})

    def test_garbled_copy_from_a_peer_harms_no_other_section(self):
        store = PolicyStore()
        accept(store, 1, a=1)
        copies = [SectionCopy("service b", 2, "[service b]\nowner")]
        content = PolicyContent(
            -1, 2, ["service a", "service b"], [], copies, {}, b"different"
        )
        store.merge_content(content, now=0.0, source="peer")
        self.assertEqual(slots_of(store), {"a": 1})


class PolicyMachine(RuleBasedStateMachine):
    """Stores that read stale documents and exchange sections in any order."""

    nodes = st.integers(0, NODES - 1)
    values = st.none() | st.integers(1, 5)

    def __init__(self):
        super().__init__()
        self.stores = [PolicyStore() for _ in range(NODES)]
        self.documents = []
        self.highest = [NO_VERSION] * NODES
        self.settled = [{} for _ in range(NODES)]

    @rule(slots=st.dictionaries(st.sampled_from("abc"), values, max_size=3))
    def publish(self, slots):
        self.documents.append(slots)

    @rule(node=nodes, behind=st.integers(0, 3))
    def read(self, node, behind):
        """Read a document that may be stale."""
        version = len(self.documents) - behind
        if version >= 1:
            accept(self.stores[node], version, **self.documents[version - 1])

    @rule(sender=nodes, receiver=nodes, full=st.booleans())
    def exchange(self, sender, receiver, full):
        if self.stores[sender].has_policy:
            exchange(self.stores[sender], self.stores[receiver], full=full)

    @rule(node=nodes)
    def replace(self, node):
        self.stores[node] = PolicyStore()
        self.highest[node] = NO_VERSION
        self.settled[node] = {}

    @invariant()
    def no_section_goes_back(self):
        for node, store in enumerate(self.stores):
            for name in store.declared:
                settled = store.get_last_good_version(name)
                assert settled >= self.settled[node].get(name, NO_VERSION), name
                self.settled[node][name] = settled

    @invariant()
    def version_never_goes_back(self):
        for node, store in enumerate(self.stores):
            assert store.version >= self.highest[node]
            self.highest[node] = store.version

    @invariant()
    def sections_are_what_some_document_said(self):
        for store in self.stores:
            for name, slots in slots_of(store).items():
                copy = store.copies[f"service {name}"]
                assert copy.version <= store.version
                published = self.documents[copy.version - 1].get(name)
                assert published == slots, (name, copy.version)

    @invariant()
    def good_section_of_the_version_in_force_is_in_force(self):
        for store in self.stores:
            if store.has_policy:
                wanted = self.documents[store.version - 1]
                found = slots_of(store)
                classes = store.policy.classes
                for name, slots in wanted.items():
                    if slots is not None:
                        assert found.get(name) == slots, name
                        assert classes[name].timeout == slots, name
                assert set(found) <= set(wanted)

    def teardown(self):
        """Exchange contents between all stores and expect equal stores."""
        known = [store for store in self.stores if store.has_policy]
        for _ in range(3):
            for source in known:
                for target in known:
                    if source.digest != target.digest or (
                        source.version != target.version
                    ):
                        exchange(source, target, full=True)
        digests = {(store.version, store.digest) for store in known}
        assert len(digests) <= 1, "stores differ after exchange"


TestPolicyMachine = PolicyMachine.TestCase
TestPolicyMachine.settings = settings(max_examples=300, stateful_step_count=30)
