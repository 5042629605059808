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
UNKNOWN_RETRY_AFTER_S = 0.5
MAX_EXHAUSTED = 8192
# Credit that is returned, a new keeper or a higher limit is noticed after this time.
MAX_EXHAUSTED_S = 1.0
MIN_RETRY_AFTER_S = 0.02
ASK_ID_BITS = 48


@dataclass(frozen=True, kw_only=True, slots=True)
class Credit:
    """Credit for one request, from the keeper of a share.

    :param keeper: instance that gave it.
    :param asked_at: time at which it was asked for.
    """

    id: int
    workspace: str
    share: int
    keeper: str
    asked_at: float


@dataclass(eq=False)
class Ask:
    """Ask whose reply is awaited."""

    workspace: str
    share: int
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
    :ivar exhausted: until when a share is out of credit, by workspace and share.
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
    asks: dict[int, Ask] = field(default_factory=dict)
    exhausted: dict[tuple[str, int], tuple[float, float]] = field(default_factory=dict)
    avoided: dict[str, float] = field(default_factory=dict)
    ids: itertools.count = field(
        default_factory=lambda: itertools.count(random.getrandbits(ASK_ID_BITS))
    )

    def has_limit(self, workspace: str | None) -> bool:
        """Return whether requests of a workspace need credit."""
        if workspace is None:
            return False
        section = self.keeper.store.policy.workspaces.get(workspace)
        return section is not None and section.rate is not None

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
            if self.get_exhausted_until(workspace, share) > now:
                continue
            if self.avoided.get(name, now) > now:
                unknown[share] = f"{name} did not answer lately"
                continue
            if now - started_at >= MAX_ASKING_S:
                unknown[share] = f"no time was left to ask {name}"
                continue
            ask_id = next(self.ids)
            decision = await self.ask(ask_id, workspace, share, name)
            if decision is None:
                self.avoided[name] = trio.current_time() + SILENCE_BACKOFF_S
                unknown[share] = f"{name} did not answer"
            elif decision.verdict is CreditVerdict.GRANTED:
                return Credit(
                    id=ask_id,
                    workspace=workspace,
                    share=share,
                    keeper=name,
                    asked_at=now,
                )
            elif decision.verdict is CreditVerdict.EXHAUSTED:
                self.record_exhausted(workspace, share, decision)
            else:
                self.avoided[name] = trio.current_time() + REFUSAL_BACKOFF_S
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

    def get_exhausted_until(self, workspace: str, share: int) -> float:
        """Return the time until which a share is known to be out of credit."""
        return self.exhausted.get((workspace, share), (0.0, 0.0))[0]

    def record_exhausted(
        self, workspace: str, share: int, decision: CreditDecision
    ) -> None:
        if len(self.exhausted) >= MAX_EXHAUSTED:
            self.exhausted.clear()
        now = trio.current_time()
        wait_s = min(decision.wait_s, MAX_EXHAUSTED_S)
        times = now + wait_s, now + decision.return_s
        self.exhausted[workspace, share] = times

    async def ask(
        self, ask_id: int, workspace: str, share: int, name: str
    ) -> CreditDecision | None:
        """Ask one keeper.

        :return: its decision, ``None`` if it gives no answer in time.
        """
        if name == self.instance:
            now = trio.current_time()
            decision = self.keeper.decide(workspace, share, now)
            if decision.verdict is CreditVerdict.GRANTED:
                self.keeper.record_given(name, ask_id, workspace, share, now)
            return decision
        instance = self.view.instances.get(name)
        if instance is None or not self.links.is_reachable(name):
            return None
        return await self.ask_peer(instance, ask_id, workspace, share)

    async def ask_peer(
        self, instance: Instance, ask_id: int, workspace: str, share: int
    ) -> CreditDecision | None:
        ask = Ask(workspace, share, instance.name)
        link = self.links.get_or_open_link(instance)
        self.asks[ask_id] = ask
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                while not link.is_up:
                    await link.state_changed.wait()
                    if link.is_unreachable:
                        return None
                if not link.welcome.credits:
                    return None
                if await link.send_notification(CreditAsk(ask_id, workspace, share)):
                    await ask.replied.wait()
        finally:
            del self.asks[ask_id]
        reply = ask.reply
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
        ask = self.asks.get(reply.id)
        if ask is not None and ask.keeper == keeper:
            ask.reply = reply
            ask.replied.set()
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
        now = trio.current_time()
        decision = self.keeper.decide(ask.workspace, ask.share, now)
        if decision.verdict is CreditVerdict.GRANTED:
            self.keeper.record_given(peer, ask.id, ask.workspace, ask.share, now)
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
        section = self.keeper.store.policy.workspaces.get(workspace)
        limit = "a changed limit"
        if section is not None and section.rate is not None:
            limit = f"{section.rate:g} requests/s, burst {section.burst:g}"
        policy_age_s = self.keeper.get_age(trio.current_time())
        figures = f"workspace {workspace}: {limit}, list {policy_age_s:.2f} s old"
        if unknown:
            self.use.record(workspace, LIMIT_UNKNOWN)
            reasons = "; ".join(f"share {key} {why}" for key, why in unknown.items())
            return Failure(
                reason=Reason.WORKSPACE_LIMIT_UNKNOWN,
                detail=f"{figures}: {reasons}",
                retry_after=UNKNOWN_RETRY_AFTER_S,
            )
        self.use.record(workspace, OVER_LIMIT)
        now = trio.current_time()
        returns = [
            self.exhausted[workspace, share][1]
            for share in range(SHARES)
            if (workspace, share) in self.exhausted
        ]
        return_s = max(0.0, min(returns, default=now) - now)
        return Failure(
            reason=Reason.WORKSPACE_LIMIT,
            detail=f"{figures}: no share has credit",
            retry_after=max(MIN_RETRY_AFTER_S, return_s),
        )
