"""Ordered log of automatic decisions, which operators read or wait for."""

from collections import deque

import msgspec
import trio
from eliot import log_message

from catkinpost.protocol.policy import Mode

__all__ = ["Decision", "DecisionLog"]

MAX_DECISIONS = 2000
REPEAT_INTERVAL_S = 1.0
MAX_REPEAT_KEYS = 1000


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One automatic change with its reason and evidence.

    :param sequence: position in the log, counted from 1.
    :param time: seconds on the node's clock.
    :param mechanism: mechanism that decided, such as ``admission``.
    :param action: the change.
    :param subject: object of the change, such as an instance or a class.
    :param reason: reason of the change.
    :param mode: ``observe`` when the change was not carried out.
    :param evidence: figures that led to the decision.
    :param repeated: equal decisions that were left out before this one.
    """

    sequence: int
    time: float
    mechanism: str
    action: str
    subject: str
    reason: str
    mode: Mode = Mode.ON
    evidence: dict[str, float | int | str] = {}
    repeated: int = 0


class DecisionLog:
    """Bounded log of decisions.

    Decisions that repeat within one second are counted and not stored, so that
    overload does not flood the log.
    """

    def __init__(self) -> None:
        self.decisions: deque[Decision] = deque(maxlen=MAX_DECISIONS)
        self.sequence = 0
        self.decision_added = trio.Event()
        self.last_by_key: dict[tuple[str, str, str], list] = {}

    def add(
        self,
        mechanism: str,
        action: str,
        subject: str,
        *,
        reason: str,
        mode: Mode = Mode.ON,
        **evidence: float | int | str,
    ) -> Decision | None:
        """Record one decision.

        :param mechanism: mechanism that decided.
        :param action: the change.
        :param subject: object of the change.
        :param reason: reason of the change.
        :param mode: mode of the mechanism.
        :param evidence: figures that led to the decision.
        :return: the decision, or ``None`` when it only repeats a recent one.
        """
        now = trio.current_time()
        key = (mechanism, action, subject)
        last = self.last_by_key.get(key)
        if last is not None and now - last[0] < REPEAT_INTERVAL_S:
            last[1] += 1
            return None
        repeated = last[1] if last else 0
        if len(self.last_by_key) >= MAX_REPEAT_KEYS:
            self.last_by_key.clear()
        self.last_by_key[key] = [now, 0]
        self.sequence += 1
        decision = Decision(
            sequence=self.sequence,
            time=now,
            mechanism=mechanism,
            action=action,
            subject=subject,
            reason=reason,
            mode=mode,
            evidence=evidence,
            repeated=repeated,
        )
        self.decisions.append(decision)
        self.notify_waiters()
        log_message(
            f"{mechanism}: {action}",
            subject=subject,
            reason=reason,
            mode=mode.value,
            repeated=repeated,
            **evidence,
        )
        return decision

    def notify_waiters(self) -> None:
        self.decision_added.set()
        self.decision_added = trio.Event()

    def get_decisions_after(self, sequence: int) -> list[Decision]:
        """Return the stored decisions after a position.

        :param sequence: position of the last decision already read.
        """
        return [item for item in self.decisions if item.sequence > sequence]

    async def wait_for_decisions_after(
        self, sequence: int, timeout: float
    ) -> list[Decision]:
        """Wait for decisions after a position.

        :param sequence: position of the last decision already read.
        :param timeout: seconds to wait at most.
        :return: new decisions; empty after the timeout.
        """
        with trio.move_on_after(timeout):
            while self.sequence <= sequence:
                await self.decision_added.wait()
        return self.get_decisions_after(sequence)
