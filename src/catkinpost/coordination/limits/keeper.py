"""Decision of a keeper whether a request of a workspace lies inside its limit."""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from eliot import log_message

from catkinpost.coordination.limits.ring import SHARES, KeeperRings
from catkinpost.protocol.message import CreditAsk, CreditVerdict
from catkinpost.protocol.section import WorkspaceSection
from catkinpost.protocol.settings import BoundsSection
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore
from catkinpost.state.token_bucket import TokenBucket

__all__ = ["CreditDecision", "KeeperBounds", "KeptShare", "LimitKeeper"]

# Requests that a share may give beside its part of the burst, so that the credit of
# small limits is not lost in fractions of a request.
SHARE_BURST = 1.5
# Restarts of all keepers within one window that the slack allows.
RESTARTS_PER_WINDOW = 3
MAX_RETURN_S = 2.0
# Time in which the credit of a request that has not run may be used again.
RETURN_LIFETIME_S = 1.0
MAX_GIVEN = 8192


@dataclass(frozen=True, kw_only=True)
class KeeperBounds:
    """Bounds of what a keeper gives.

    :param max_age_s: age of the list up to which a node counts, in seconds.
    :param overshoot: part of a share that is given while it is taken over.
    :param slack: requests beyond the limit, over all shares.
    """

    max_age_s: float = 30.0
    overshoot: float = 0.25
    slack: float = 18.0

    @classmethod
    def build(cls, bounds: BoundsSection) -> "KeeperBounds":
        """Return the bounds that the settings of a node name."""
        return cls(
            max_age_s=bounds.workspace_limit_age,
            overshoot=bounds.workspace_limit_overshoot,
            slack=bounds.workspace_limit_slack,
        )

    def compute_first_credit(self, burst: float) -> float:
        """Return the credit of a share whose earlier credit is not known.

        :param burst: burst of the whole limit.
        """
        slack = self.slack / RESTARTS_PER_WINDOW
        return (self.overshoot * burst + slack) / SHARES


@dataclass(frozen=True, kw_only=True, slots=True)
class CreditDecision:
    """Decision about one request.

    :param wait_s: seconds until the share has credit again.
    :param return_s: seconds after which the caller should come back.
    """

    verdict: CreditVerdict
    wait_s: float = 0.0
    return_s: float = 0.0


@dataclass(eq=False)
class KeptShare:
    """Share of a limit that this node keeps.

    :param bucket: its credit.
    :param return_at: time for which the last refused caller was told to come back.
    """

    bucket: TokenBucket
    is_settled: bool = False
    return_at: float = 0.0
    granted: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class GivenCredit:
    """Credit that a share has given.

    :param at: time at which it was given.
    """

    kept: KeptShare
    at: float


@dataclass(kw_only=True, eq=False)
class LimitKeeper:
    """Keeper of shares of the limits of workspaces.

    Load pattern: one workspace sends many times its limit, over all nodes, while nodes
    come, go and hear nothing of the platform. Whatever each of them knows, all keepers
    of a share together give no more than its part of the limit and of what may exceed
    it.

    :param store: policy in force.
    :param policy_age: age of the policy.
    :param list_age: age of the list of instances.
    :param rings: keepers by the list of instances.
    :param bounds: bounds of what is given.
    :ivar kept: shares by workspace and number.
    :ivar given: credit that may be returned, by peer and ask.
    """

    store: PolicyStore
    policy_age: PolicyAge
    list_age: PolicyAge
    rings: KeeperRings
    bounds: KeeperBounds = KeeperBounds()
    kept: dict[tuple[str, int], KeptShare] = field(default_factory=dict)
    given: OrderedDict[tuple[str, int], GivenCredit] = field(
        default_factory=OrderedDict
    )

    def set_bounds(self, bounds: KeeperBounds) -> None:
        """Apply changed bounds."""
        self.bounds = bounds
        self.rings.memory_s = bounds.max_age_s

    def decide(self, workspace: str, share: int, now: float) -> CreditDecision:
        """Give credit for one request, or say why there is none."""
        if self.list_age.get_age(now) > self.bounds.max_age_s:
            return CreditDecision(verdict=CreditVerdict.OUTDATED)
        if not 0 <= share < SHARES or not self.rings.is_keeper(workspace, share):
            return CreditDecision(verdict=CreditVerdict.NOT_KEEPER)
        section = self.store.policy.find_limited_workspace(workspace)
        if section is None:
            return self.decide_without_limit(now)
        kept = self.get_or_create(workspace, share, section, now)
        if kept.bucket.has_token(now):
            kept.bucket.take(now)
            kept.granted += 1
            return CreditDecision(verdict=CreditVerdict.GRANTED)
        kept.refused += 1
        # A share that is being taken over may have no rate yet.
        wait_s = kept.bucket.get_wait(now) if kept.bucket.rate else MAX_RETURN_S
        return CreditDecision(
            verdict=CreditVerdict.EXHAUSTED,
            wait_s=wait_s,
            return_s=self.choose_return(kept, section, wait_s, now),
        )

    def decide_without_limit(self, now: float) -> CreditDecision:
        """Decide for an asker that knows a limit while this node knows none.

        Both versions of the policy are in force unless this one is old, or none yet.
        """
        is_old = self.policy_age.get_age(now) > self.bounds.max_age_s
        verdict = CreditVerdict.OUTDATED if is_old else CreditVerdict.GRANTED
        return CreditDecision(verdict=verdict)

    def get_or_create(
        self, workspace: str, share: int, section: WorkspaceSection, now: float
    ) -> KeptShare:
        """Return a share with the rate and burst that it has at a time."""
        key = workspace, share
        kept_s = self.rings.get_kept_time(workspace, share, now)
        # No other node may then still believe to be the keeper.
        is_settled = kept_s >= self.bounds.max_age_s
        full_rate = section.rate / SHARES
        rate = full_rate if is_settled else full_rate * self.bounds.overshoot
        burst = section.burst / SHARES + SHARE_BURST
        kept = self.kept.get(key)
        if kept is None:
            tokens = min(burst, self.compute_gained(section, kept_s))
            kept = KeptShare(TokenBucket(rate=rate, burst=burst, tokens=tokens))
            kept.bucket.refill(now)
            self.kept[key] = kept
            log_message("limits: share taken over", workspace=workspace, share=share)
        bucket = kept.bucket
        if (bucket.rate, bucket.burst) != (rate, burst):
            bucket.change_rate(rate=rate, burst=burst, now=now)
            log_message(
                "limits: share changed",
                workspace=workspace,
                share=share,
                rate=round(rate, 4),
                burst=round(burst, 4),
                settled=is_settled,
            )
        kept.is_settled = is_settled
        return kept

    def compute_gained(self, section: WorkspaceSection, kept_s: float) -> float:
        """Return the credit of a share that is asked for the first time.

        :param kept_s: seconds for which this node has kept it.
        """
        settling_s = min(kept_s, self.bounds.max_age_s)
        full_s = kept_s - settling_s + self.bounds.overshoot * settling_s
        first_credit = self.bounds.compute_first_credit(section.burst)
        return first_credit + section.rate / SHARES * full_s

    def choose_return(
        self, kept: KeptShare, section: WorkspaceSection, wait_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller should come back.

        Callers take turns at the rate of the whole limit, as each of them is refused by
        all shares.
        """
        kept.return_at = max(kept.return_at, now + wait_s) + 1 / section.rate
        return_s = kept.return_at - now
        if return_s <= MAX_RETURN_S:
            return return_s
        kept.return_at = now + MAX_RETURN_S
        return random.uniform(min(wait_s, MAX_RETURN_S), MAX_RETURN_S)

    def answer(self, peer: str, ask: CreditAsk, now: float) -> CreditDecision:
        """Decide about the ask of a peer, which may return the credit."""
        decision = self.decide(ask.workspace, ask.share, now)
        kept = self.kept.get((ask.workspace, ask.share))
        if decision.verdict is CreditVerdict.GRANTED and kept is not None:
            self.given[peer, ask.id] = GivenCredit(kept, now)
            while len(self.given) > MAX_GIVEN:
                self.given.popitem(last=False)
        return decision

    def take_back(self, peer: str, ask: int, now: float) -> None:
        """Take back credit that was given lately, once."""
        given = self.given.pop((peer, ask), None)
        if given is None or now - given.at > RETURN_LIFETIME_S:
            return
        bucket = given.kept.bucket
        bucket.refill(now)
        bucket.tokens = min(bucket.burst, bucket.tokens + 1)

    def update(self, names: list[str], now: float) -> None:
        """Apply the policy in force and the names of all live instances."""
        self.rings.update(names, now)
        for workspace, share in list(self.kept):
            if not self.rings.is_keeper(workspace, share):
                # What another node gives meanwhile must not be gained here.
                del self.kept[workspace, share]
                log_message("limits: share lost", workspace=workspace, share=share)
            elif self.is_unused(workspace, share, now):
                del self.kept[workspace, share]

    def is_unused(self, workspace: str, share: int, now: float) -> bool:
        """Return whether a share has no limit any more and would begin as full.

        A limit that is taken away and published again must not give its burst twice.
        """
        if self.store.policy.find_limited_workspace(workspace) is not None:
            return False
        bucket = self.kept[workspace, share].bucket
        bucket.refill(now)
        return bucket.tokens >= bucket.burst
