"""Watch of the platform's policy, and the readiness check of a new node."""

import hashlib
import random
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.coordination.configuration.policy_confirmation import (
    PolicyConfirmation,
)
from catkinpost.coordination.configuration.policy_exchange import PolicyExchange
from catkinpost.protocol.outcome import Failure
from catkinpost.state.instance_view import InstanceState, InstanceView
from catkinpost.transport.platform_client import PlatformClient

__all__ = ["PolicyGate", "PolicyWatch", "compute_reader_rank"]

READERS_PER_DATA_CENTRE = 2
READ_DELAY_PER_RANK_S = 0.5
BASE_READ_DELAY_S = 3.0
READ_DELAY_JITTER_S = 4.0


def compute_reader_rank(view: InstanceView, instance: str, version: int) -> int:
    """Return the place of an instance in the order in which a version is read.

    The order covers the live instances of one data centre. It changes with each
    version, so that the reads spread over all nodes.

    :param view: list of instances.
    :param instance: name of the instance.
    :param version: version to be read.
    """
    own_entry = view.instances.get(instance)
    if own_entry is None:
        return 0
    own_order_key = compute_order_key(instance, version)
    return sum(
        compute_order_key(item.name, version) < own_order_key
        for item in view.instances.values()
        if item.data_centre == own_entry.data_centre
        and item.state is InstanceState.LIVE
        and item.name != instance
    )


def compute_order_key(name: str, version: int) -> bytes:
    return hashlib.blake2b(f"{version}/{name}".encode(), digest_size=8).digest()


class PolicyWatch:
    """Watch that reads new versions of the policy from the platform.

    The first nodes of each data centre read a new version at once. The others wait
    for their peers to send it and read it themselves only when none does.

    :param client: client of the platform.
    :param exchange: applies the documents and sends them to peers.
    :param confirmation: keeps the age of the policy.
    :param view: list of instances.
    :param instance: name of this node's instance.
    """

    def __init__(
        self,
        *,
        client: PlatformClient,
        exchange: PolicyExchange,
        confirmation: PolicyConfirmation,
        view: InstanceView,
        instance: str,
    ) -> None:
        self.client = client
        self.exchange = exchange
        self.confirmation = confirmation
        self.view = view
        self.instance = instance
        self.platform_version: int | None = None
        self.last_error = ""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            asked_at = trio.current_time()
            known_version = self.exchange.store.version
            version = await self.client.watch_version(known_version)
            if isinstance(version, Failure):
                await self.back_off(version)
                continue
            self.last_error = ""
            self.platform_version = version
            if version <= self.exchange.store.version:
                # A stale platform responds at once, which would make a tight loop.
                if version < known_version:
                    await trio.sleep(self.client.settings.retry_interval)
                else:
                    self.confirmation.confirm(asked_at)
                continue
            await self.wait_for_peers(version)
            if self.exchange.store.version < version:
                await self.read_document()
            if self.exchange.store.version >= version:
                self.confirmation.confirm(asked_at)

    async def back_off(self, failure: Failure) -> None:
        if self.last_error != failure.detail:
            log_message("policy: platform unreachable", why=failure.detail)
        self.last_error = failure.detail
        interval = self.client.settings.retry_interval
        await trio.sleep(random.uniform(0.5, 1.5) * interval)

    async def wait_for_peers(self, version: int) -> None:
        """Wait until peers have sent a version or it is this node's turn to read it."""
        store = self.exchange.store
        rank = compute_reader_rank(self.view, self.instance, version)
        if not store.has_policy or rank < READERS_PER_DATA_CENTRE:
            return
        rank_delay_s = rank * READ_DELAY_PER_RANK_S
        max_delay_s = BASE_READ_DELAY_S + random.uniform(0, READ_DELAY_JITTER_S)
        deadline = trio.current_time() + min(
            max_delay_s, BASE_READ_DELAY_S + rank_delay_s
        )
        while store.version < version and trio.current_time() < deadline:
            await trio.sleep(READ_DELAY_PER_RANK_S / 2)

    async def read_document(self) -> None:
        document = await self.client.read_policy()
        if isinstance(document, Failure):
            await self.back_off(document)
            return
        self.exchange.apply_document(document.version, document.text)


class PolicyGate:
    """Readiness check that waits until the current policy is confirmed by peers.

    The platform may be stale, so a policy read from it is not trusted alone. A node
    is ready when it has a policy that no peer's version exceeds and either all
    partners have reported their versions or, after the start wait, at least one
    peer has. A node is also ready when the list names no other instance.

    :param exchange: exchange that records the versions of peers.
    :param view: list of instances.
    :param instance: name of this node's instance.
    :param start_wait: seconds to wait for the versions of all partners.
    :param get_partners: returns the names of the node's partners.
    """

    def __init__(
        self,
        *,
        exchange: PolicyExchange,
        view: InstanceView,
        instance: str,
        start_wait: float,
        get_partners: Callable[[], set[str]],
    ) -> None:
        self.exchange = exchange
        self.view = view
        self.instance = instance
        self.start_wait = start_wait
        self.get_partners = get_partners
        self.ready_at: float | None = None
        self.started_at: float | None = None

    def is_ready(self) -> bool:
        """Return whether the current policy is confirmed; once true, it stays true."""
        if self.ready_at is None and self.is_policy_confirmed():
            self.ready_at = trio.current_time()
        return self.ready_at is not None

    def is_policy_confirmed(self) -> bool:
        store = self.exchange.store
        if not store.has_policy or self.view.read_at is None:
            return False
        now = trio.current_time()
        if self.started_at is None:
            self.started_at = now
        others = set(self.view.instances) - {self.instance}
        if not others:
            return True
        peer_versions = {
            name: version
            for name, version in self.exchange.peer_versions.items()
            if name in others
        }
        if not peer_versions or max(peer_versions.values()) > store.version:
            return False
        waited_s = now - self.started_at
        return waited_s >= self.start_wait or set(peer_versions) >= self.get_partners()
