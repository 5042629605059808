"""Keepers of several nodes, without a network, and the requests that they let run."""

from bisect import bisect_right

from catkinpost.coordination.limits.keeper import KeeperBounds, LimitKeeper
from catkinpost.coordination.limits.ring import SHARES, KeeperRings
from catkinpost.protocol.message import CreditVerdict
from catkinpost.state.policy_age import PolicyAge
from catkinpost.state.policy_store import PolicyStore

__all__ = ["BOUNDS", "KeeperFleet", "build_policy_text", "compute_allowed"]

BOUNDS = KeeperBounds(max_age_s=4.0, overshoot=0.25, slack=20.0)
WINDOW_S = 5.0


def compute_allowed(rate, burst):
    """Return the most requests of a window, by the rule of the users."""
    return (rate * WINDOW_S + burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack


def build_policy_text(limits):
    """Build a policy of workspaces, each with rate and burst, or none."""
    parts = []
    for name, limit in limits.items():
        lines = [f"[workspace {name}]", "owner = lab"]
        if limit is not None:
            lines += [f"rate = {limit[0]}", f"burst = {limit[1]}"]
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


class KeeperFleet:
    """One list, policies by version, and nodes that know them late or not at all."""

    def __init__(self, names, limits, now=0.0):
        self.names = list(names)
        self.listed = list(names)
        self.limits = limits
        self.version = 1
        self.now = now
        self.keepers = {}
        self.times = []
        for name in names:
            self.start(name)

    def start(self, name):
        """Start the process of a node, which knows nothing."""
        self.keepers[name] = LimitKeeper(
            store=PolicyStore(),
            policy_age=PolicyAge(),
            list_age=PolicyAge(),
            rings=KeeperRings(name, BOUNDS.max_age_s),
            bounds=BOUNDS,
        )

    def learn(self, name):
        """Let a node read list and policy now."""
        keeper = self.keepers[name]
        if keeper.store.version < self.version:
            text = build_policy_text(self.limits)
            keeper.store.accept_document(
                self.version, text, now=self.now, source="test"
            )
        keeper.policy_age.confirm(self.now)
        keeper.list_age.confirm(self.now)
        keeper.update(self.listed, self.now)

    def change_limits(self, limits):
        """Publish other limits."""
        self.limits = limits
        self.version += 1

    def ask(self, name, workspace, share):
        """Ask a node for credit, and note the run if it gives some."""
        decision = self.keepers[name].decide(workspace, share, self.now)
        if decision.verdict is CreditVerdict.GRANTED:
            self.times.append(self.now)
        return decision

    def drain(self, name, workspace):
        """Ask a node for all the credit that it gives."""
        for share in range(SHARES):
            while self.ask(name, workspace, share).verdict is CreditVerdict.GRANTED:
                pass

    def send(self, workspace):
        """Ask the keepers in turn, as an entry does, whether one request may run."""
        ring = self.keepers[self.names[0]].rings.ring
        for share, name in enumerate(ring.find_keepers(workspace)):
            if self.ask(name, workspace, share).verdict is CreditVerdict.GRANTED:
                return True
        return False

    def count_most_in_window(self):
        """Return the most runs of any window."""
        return max(
            (
                bisect_right(self.times, start + WINDOW_S) - index
                for index, start in enumerate(self.times)
            ),
            default=0,
        )
