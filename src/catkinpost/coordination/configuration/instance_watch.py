"""Watch of the platform's list of instances."""

import random
from collections.abc import Callable

import trio
from eliot import log_message

from catkinpost.protocol.outcome import Failure
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.instance_view import InstanceView, ListChange, parse_instances
from catkinpost.state.policy_age import PolicyAge
from catkinpost.transport.platform_client import PlatformClient

__all__ = ["InstanceWatch"]


class InstanceWatch:
    """Watch that keeps the local list of instances up to date.

    :param client: client of the platform.
    :param view: the node's copy of the list.
    :param on_list_changed: called after the list has changed.
    :param decisions: log of automatic decisions.
    :param age: age of the list.
    """

    def __init__(
        self,
        *,
        client: PlatformClient,
        view: InstanceView,
        on_list_changed: Callable[[ListChange], None],
        decisions: DecisionLog,
        age: PolicyAge,
    ) -> None:
        self.client = client
        self.view = view
        self.on_list_changed = on_list_changed
        self.decisions = decisions
        self.age = age
        self.last_error = ""

    async def run(self) -> None:
        """Watch until cancelled."""
        interval = self.client.settings.retry_interval
        while True:
            asked_at = trio.current_time()
            body = await self.client.watch_instances(self.view.version)
            if isinstance(body, Failure):
                self.log_error(body.detail)
                await trio.sleep(random.uniform(0.5, 1.5) * interval)
                continue
            if self.apply_list(body):
                self.age.confirm(asked_at)
            else:
                await trio.sleep(interval)

    def apply_list(self, body: bytes) -> bool:
        """Apply a list that was read from the platform.

        :param body: list as JSON.
        :return: whether the list was readable and not older than the current one.
        """
        parsed = parse_instances(body)
        if parsed is None:
            self.log_error("the list of instances is not readable")
            return False
        version, instances, errors = parsed
        for error in errors:
            self.decisions.add("list", "skip entry", "list of instances", reason=error)
        change = self.view.apply_list(version, instances, trio.current_time())
        if change is None:
            self.log_error(f"the list went back to version {version}")
            return False
        self.last_error = ""
        if not change.is_empty:
            self.decisions.add(
                "list",
                "follow list",
                f"version {version}",
                reason="the platform's list changed",
                added=", ".join(change.added[:20]),
                removed=", ".join(item.name for item in change.removed[:20]),
                leaving=", ".join(change.leaving[:20]),
            )
        self.on_list_changed(change)
        return True

    def log_error(self, detail: str) -> None:
        if detail != self.last_error:
            log_message("list: not updated", why=detail)
        self.last_error = detail
