"""Asking of keepers for the credit of requests."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from catkinpost.coordination.limits.keeper import CreditDecision, LimitKeeper
from catkinpost.coordination.limits.ring import SHARES
from catkinpost.coordination.limits.use import (
    LIMIT_UNKNOWN,
    OVER_LIMIT,
    WorkspaceUse,
)
from catkinpost.coordination.peers.link_table import LinkTable
from catkinpost.protocol.message import (
    CreditAsk,
    CreditReply,
    CreditReturn,
    CreditVerdict,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.instance_view import Instance, InstanceView

__all__ = ["Credit", "LimitClient"]

# Longer than a way to another region and back, so that only a keeper in trouble is
# passed over.
ASK_TIMEOUT_S = 0.2
MAX_ASKING_S = 0.5
# A keeper that gave no answer is not asked for a while, as each ask costs its caller
# the whole timeout.
SILENCE_BACKOFF_S = 1.0
# A node that does not count may do so as soon as it has a newer list.
REFUSAL_BACKOFF_S = 0.25
# Callers that were refused together must not come back together.
MIN_UNKNOWN_RETRY_S, MAX_UNKNOWN_RETRY_S = 0.3, 0.8
MAX_EXHAUSTED = 8192
MAX_AVOIDED = 4096
# Credit that is returned, a new keeper or a higher limit is noticed after this time.
MAX_EXHAUSTED_S = 1.0
MIN_RETRY_AFTER_S = 0.02
ASK_ID_BITS = 48


@dataclass(frozen=True, kw_only=True, slots=True)
class Credit:
    """Credit for one request of a workspace.

    :param id: identity of the ask that got it.
    :param keeper: instance that gave it.
    """

    id: int
    keeper: str


@dataclass(frozen=True, slots=True)
class ExhaustedShare:
    """Share that was out of credit when it was asked.

    :param until: time until which it is not asked again.
    :param return_at: time at which a refused caller should come back.
    """

    until: float
    return_at: float


@dataclass(eq=False)
class PendingAsk:
    """Ask whose reply is awaited."""

    keeper: str
    replied: trio.Event = field(default_factory=trio.Event)
    reply: CreditReply | None = None


@dataclass(kw_only=True, eq=False)
class LimitClient:
    """Asks the keepers of a workspace's limit for credit, the nearest first.

    Load pattern: the requests of one workspace come to all nodes, at a rate far below
    one a second for each of them. Any node can use the whole limit, as it asks the next
    keeper when one is out of credit.

    :param instance: name of this node's instance.
    :param data_centre: its data centre.
    :param region: its region.
    :param keeper: decides about the shares that this node keeps, and knows the ring.
    :param view: list of instances.
    :param links: links to peers.
    :param spawn: starts a background task.
    :param use: counts of what workspaces have sent.
    :ivar exhausted: shares that were out of credit, by workspace and share.
    :ivar avoided: until when an instance is not asked, by its name.
    """

    instance: str
    data_centre: str
    region: str
    keeper: LimitKeeper
    view: InstanceView
    links: LinkTable
    spawn: Callable[..., None]
    use: WorkspaceUse
    asks: dict[int, PendingAsk] = field(default_factory=dict)
    exhausted: dict[tuple[str, int], ExhaustedShare] = field(default_factory=dict)
    avoided: dict[str, float] = field(default_factory=dict)
    ids: itertools.count = field(
        default_factory=lambda: itertools.count(random.getrandbits(ASK_ID_BITS))
    )

    def has_limit(self, workspace: str | None) -> bool:
        """Return whether requests of a workspace need credit."""
        policy = self.keeper.store.policy
        return policy.find_limited_workspace(workspace) is not None

    async def acquire(self, workspace: str) -> Credit | Failure:
        """Get credit for one request of a workspace with a limit.

        :return: the credit, or why the request must not run.
        """
        started_at = trio.current_time()
        unknown: dict[int, str] = {}
        keepers = self.order_keepers(workspace)
        if not keepers:
            unknown[0] = "has no keeper, as no instance is listed"
        for share, name in keepers:
            now = trio.current_time()
            if self.is_exhausted(workspace, share, now):
                continue
            if self.avoided.get(name, now) > now:
                unknown[share] = f"{name} did not answer lately"
                continue
            if now - started_at >= MAX_ASKING_S:
                unknown[share] = f"no time was left to ask {name}"
                continue
            ask = CreditAsk(next(self.ids), workspace, share)
            decision = await self.ask(ask, name)
            if decision is None:
                self.avoid(name, SILENCE_BACKOFF_S)
                unknown[share] = f"{name} did not answer"
            elif decision.verdict is CreditVerdict.GRANTED:
                return Credit(id=ask.id, keeper=name)
            elif decision.verdict is CreditVerdict.EXHAUSTED:
                self.record_exhausted(ask, decision)
            else:
                self.avoid(name, REFUSAL_BACKOFF_S)
                unknown[share] = f"{name} answers {decision.verdict}"
        return self.build_failure(workspace, unknown)

    def order_keepers(self, workspace: str) -> list[tuple[int, str]]:
        """Return shares with their keepers, the nearest first, equals at random."""
        found = [
            (share, name)
            for share, name in enumerate(self.keeper.rings.ring.find_keepers(workspace))
            if name is not None
        ]
        random.shuffle(found)
        found.sort(key=lambda item: self.compute_distance(item[1]))
        return found

    def compute_distance(self, name: str) -> int:
        """Return 0 for this node, 3 for one in another region."""
        if name == self.instance:
            return 0
        item = self.view.instances.get(name)
        if item is None or item.region != self.region:
            return 3
        return 1 if item.data_centre == self.data_centre else 2

    def is_exhausted(self, workspace: str, share: int, now: float) -> bool:
        """Return whether a share is known to be out of credit."""
        found = self.exhausted.get((workspace, share))
        return found is not None and found.until > now

    def record_exhausted(self, ask: CreditAsk, decision: CreditDecision) -> None:
        if len(self.exhausted) >= MAX_EXHAUSTED:
            self.exhausted.clear()
        now = trio.current_time()
        self.exhausted[ask.workspace, ask.share] = ExhaustedShare(
            until=now + min(decision.wait_s, MAX_EXHAUSTED_S),
            return_at=now + decision.return_s,
        )

    def avoid(self, name: str, seconds: float) -> None:
        """Ask an instance no more for some time."""
        if len(self.avoided) >= MAX_AVOIDED:
            self.avoided.clear()
        self.avoided[name] = trio.current_time() + seconds

    async def ask(self, ask: CreditAsk, name: str) -> CreditDecision | None:
        """Ask one keeper.

        :return: its decision, ``None`` if it gives no answer in time.
        """
        if name == self.instance:
            return self.keeper.answer(name, ask, trio.current_time())
        instance = self.view.instances.get(name)
        if instance is None or not self.links.is_reachable(name):
            return None
        return await self.ask_peer(ask, instance)

    async def ask_peer(
        self, ask: CreditAsk, instance: Instance
    ) -> CreditDecision | None:
        pending = PendingAsk(instance.name)
        link = self.links.get_or_open_link(instance)
        self.asks[ask.id] = pending
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                while not link.is_up:
                    link.connect_requested.set()
                    await link.state_changed.wait()
                    if link.is_unreachable:
                        return None
                if not link.welcome.credits:
                    return None
                # A send that has begun does not end with the timeout.
                self.spawn(link.send_notification, ask)
                await pending.replied.wait()
        finally:
            del self.asks[ask.id]
        reply = pending.reply
        if reply is None:
            # The link may have gone silent.
            link.ping_due = True
            return None
        return CreditDecision(
            verdict=reply.verdict,
            wait_s=reply.wait_us / 1e6,
            return_s=reply.return_us / 1e6,
        )

    def handle_reply(self, keeper: str, reply: CreditReply) -> None:
        """Deliver the reply of a keeper; credit that comes too late goes back."""
        pending = self.asks.get(reply.id)
        if pending is not None and pending.keeper == keeper:
            pending.reply = reply
            pending.replied.set()
        elif reply.verdict is CreditVerdict.GRANTED:
            self.spawn(self.send_return, keeper, CreditReturn(reply.id))

    def give_back(self, credit: Credit) -> None:
        """Return the credit of a request that has not run and will not run."""
        if credit.keeper == self.instance:
            now = trio.current_time()
            self.keeper.take_back(self.instance, credit.id, now)
        else:
            self.spawn(self.send_return, credit.keeper, CreditReturn(credit.id))

    async def send_return(self, keeper: str, message: CreditReturn) -> None:
        link = self.links.links.get(keeper)
        if link is not None and link.is_up:
            await link.send_notification(message)

    def answer(self, peer: str, ask: CreditAsk) -> CreditReply:
        """Decide about the ask of a peer."""
        decision = self.keeper.answer(peer, ask, trio.current_time())
        return CreditReply(
            ask.id,
            decision.verdict,
            wait_us=int(decision.wait_s * 1e6),
            return_us=int(decision.return_s * 1e6),
        )

    def build_failure(self, workspace: str, unknown: dict[int, str]) -> Failure:
        """Build the failure of a request for which no keeper has credit.

        :param unknown: shares whose keepers were not heard, with the reason.
        """
        section = self.keeper.store.policy.find_limited_workspace(workspace)
        limit = "a changed limit"
        if section is not None:
            limit = f"{section.rate:g} requests/s, burst {section.burst:g}"
        now = trio.current_time()
        list_age_s = self.keeper.list_age.get_age(now)
        figures = f"workspace {workspace}: {limit}, list {list_age_s:.2f} s old"
        if unknown:
            self.use.record(workspace, LIMIT_UNKNOWN)
            reasons = "; ".join(f"share {key} {why}" for key, why in unknown.items())
            return Failure(
                reason=Reason.WORKSPACE_LIMIT_UNKNOWN,
                detail=f"{figures}: {reasons}",
                retry_after=random.uniform(MIN_UNKNOWN_RETRY_S, MAX_UNKNOWN_RETRY_S),
            )
        self.use.record(workspace, OVER_LIMIT)
        found = [self.exhausted.get((workspace, share)) for share in range(SHARES)]
        times = [share.return_at for share in found if share is not None]
        return_s = min(times, default=now) - now
        return Failure(
            reason=Reason.WORKSPACE_LIMIT,
            detail=f"{figures}: no share has credit",
            retry_after=max(MIN_RETRY_AFTER_S, return_s),
        )
