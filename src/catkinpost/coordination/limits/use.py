"""What each workspace has sent through this node, for operators."""

from collections import Counter, defaultdict

from eliot import log_message

from catkinpost.coordination.tick import sleep_until_next_tick

__all__ = ["LIMIT_UNKNOWN", "OVER_LIMIT", "SENT", "SENT_AGAIN", "WorkspaceUse"]

LOG_INTERVAL_S = 5.0
MAX_LOGGED_WORKSPACES = 20
MAX_WORKSPACES = 1024
OTHER_WORKSPACES = "other"

SENT = "sent"
SENT_AGAIN = "sent again"
OVER_LIMIT = "over limit"
LIMIT_UNKNOWN = "limit unknown"


class WorkspaceUse:
    """Counts of the requests of workspaces, by what happened to them.

    Beyond the largest number of workspaces, further ones share one row.

    :ivar counts: counts by workspace since the start of the process.
    """

    def __init__(self) -> None:
        self.counts: dict[str, Counter[str]] = {}
        self.recent: dict[str, Counter[str]] = defaultdict(Counter)

    def record(self, workspace: str | None, event: str) -> None:
        """Count an event of a request.

        :param workspace: workspace of its caller, ``None`` for a request without one.
        :param event: what happened, such as :data:`SENT`.
        """
        if workspace is None:
            return
        if workspace not in self.counts and len(self.counts) >= MAX_WORKSPACES:
            workspace = OTHER_WORKSPACES
        self.counts.setdefault(workspace, Counter())[event] += 1
        self.recent[workspace][event] += 1

    async def run(self) -> None:
        """Log what the busiest workspaces have sent since the last line."""
        while True:
            await sleep_until_next_tick(LOG_INTERVAL_S)
            self.log_recent()

    def log_recent(self) -> None:
        """Log the counts since the last line, if there are any."""
        if not self.recent:
            return
        busiest = sorted(self.recent, key=lambda name: -self.recent[name].total())
        log_message(
            "workspaces: requests",
            seconds=LOG_INTERVAL_S,
            workspaces=len(busiest),
            busiest={
                name: dict(self.recent[name])
                for name in busiest[:MAX_LOGGED_WORKSPACES]
            },
        )
        self.recent.clear()
