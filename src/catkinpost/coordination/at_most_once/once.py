"""At-most-once execution of non-repeatable requests by idempotency key.

A request that is marked as the first attempt of its key runs at once, because no other
attempt of the key ever starts a run. A request marked as a repeated attempt only joins
a run that a replica has on record. An unmarked request runs if every replica of the
service grants a fence, and if at least one of them or this node has watched the service
for the lifetime of a key.
"""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Protocol

from catkinpost.protocol.message import (
    Answer,
    Call,
    KeyFence,
    KeyReport,
    Load,
    Refusal,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.key_record import KeyRecord, KeyRecordTable, KeyState

__all__ = [
    "FIRST_ATTEMPT",
    "UNMARKED_ATTEMPT",
    "Replicas",
    "OnceGuard",
    "compute_fingerprint",
]

UNMARKED_ATTEMPT = -1
FIRST_ATTEMPT = 0
FINGERPRINT_BYTES = 16
RETRY_AFTER_S = 1.0

RunCall = Callable[[Call], Awaitable[Answer | Refusal]]
Spawn = Callable[..., None]


class Replicas(Protocol):
    """Other nodes of the same service."""

    def get_watched_s(self) -> float:
        """Return the seconds for which this node has watched all listed replicas."""

    async def query_all(self, fence: KeyFence) -> list[KeyReport | Failure]:
        """Query every replica and return one report or failure for each."""


def compute_fingerprint(call: Call) -> bytes:
    """Return a digest of a request's method, target and body."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(call.method + b"\0" + call.target + b"\0")
    digest.update(call.body)
    return digest.digest()


class OnceGuard:
    """Guard that runs each key at most once at this node.

    :param holder: name and incarnation of this node.
    :param lifetime_s: seconds for which callers may resubmit a key.
    :param replicas: other nodes of the service.
    :param run_call: function that runs a call without regard to its key.
    :param spawn: function that starts a task that outlives the caller's connection.
    :param decisions: log for refusals.
    """

    def __init__(
        self,
        *,
        holder: str,
        lifetime_s: float,
        replicas: Replicas,
        run_call: RunCall,
        spawn: Spawn,
        decisions: DecisionLog,
    ) -> None:
        self.holder = holder
        self.lifetime_s = lifetime_s
        self.replicas = replicas
        self.run_call = run_call
        self.spawn = spawn
        self.decisions = decisions
        self.records = KeyRecordTable(lifetime_s)
        self.pending_claims: set[str] = set()

    async def run(self, call: Call) -> Answer | Refusal:
        """Run a keyed call, join its run, or refuse it.

        :param call: call with a complete key.
        """
        fingerprint = compute_fingerprint(call)
        record = self.records.find(call.key)
        if record is not None:
            return await self.respond_from_record(call, record, fingerprint)
        if call.attempt == FIRST_ATTEMPT:
            return await self.start_run(call, fingerprint)
        if call.attempt == UNMARKED_ATTEMPT:
            return await self.claim_and_run(call, fingerprint)
        return await self.redirect_repeat(call)

    async def respond_from_record(
        self, call: Call, record: KeyRecord, fingerprint: bytes
    ) -> Answer | Refusal:
        if record.state is KeyState.FENCED:
            return self.redirect_to_holder(call, record.holder)
        if record.fingerprint != fingerprint:
            return self.refuse(
                call,
                Reason.KEY_CONFLICT,
                "the key was used for a different request; choose a new key",
                outcome=Outcome.NOT_RUN,
            )
        await record.done.wait()
        return self.replay_result(call, record)

    def replay_result(self, call: Call, record: KeyRecord) -> Answer | Refusal:
        result = record.result
        if isinstance(result, Answer):
            return Answer(
                call.id,
                result.status,
                result.headers,
                result.body,
                call.allowance,
                result.load,
                True,
            )
        if isinstance(result, Refusal):
            return Refusal(
                call.id,
                result.reason,
                result.outcome,
                result.detail,
                result.retry_after,
                call.allowance,
                result.load,
            )
        return self.refuse(
            call,
            Reason.ALREADY_SENT,
            "the request was run; its answer is no longer kept",
            outcome=Outcome.DONE,
        )

    async def start_run(self, call: Call, fingerprint: bytes) -> Answer | Refusal:
        """Run the call in a separate task, so that a lost link cannot cancel it."""
        record = self.records.record_run(call.key, self.holder, fingerprint)
        self.spawn(self.run_recorded, call, record)
        await record.done.wait()
        result = record.result
        if result is None:
            return self.replay_result(call, record)
        return result

    async def run_recorded(self, call: Call, record: KeyRecord) -> None:
        result = Refusal(
            call.id,
            Reason.INTERNAL_ERROR,
            Outcome.UNKNOWN,
            "the run was broken off",
            None,
            0,
            Load(),
        )
        try:
            result = await self.run_call(call)
        finally:
            self.records.record_result(record, result)

    async def redirect_repeat(self, call: Call) -> Answer | Refusal:
        """Refuse a repeated attempt, with the holder of its key if there is one."""
        reports = await self.replicas.query_all(KeyFence(0, call.key, ""))
        holder = find_holder(reports)
        if holder:
            return self.redirect_to_holder(call, holder)
        return self.refuse(
            call,
            Reason.ALREADY_SENT,
            "no instance remembers the first sending of the key",
        )

    async def claim_and_run(self, call: Call, fingerprint: bytes) -> Answer | Refusal:
        """Run an unmarked request if every replica grants a fence for its key."""
        if call.key in self.pending_claims:
            return self.refuse(
                call, Reason.ALREADY_SENT, "another sending of the key is being checked"
            )
        self.pending_claims.add(call.key)
        try:
            reports = await self.replicas.query_all(KeyFence(0, call.key, self.holder))
        finally:
            self.pending_claims.discard(call.key)
        refusal = self.evaluate_reports(call, reports)
        if refusal is not None:
            return refusal
        # If this claim lost against another, the record is the other claim's fence.
        record = self.records.find(call.key)
        if record is not None:
            return await self.respond_from_record(call, record, fingerprint)
        result = await self.start_run(call, fingerprint)
        if isinstance(result, Refusal):
            result.fenced = True
        return result

    def evaluate_reports(
        self, call: Call, reports: list[KeyReport | Failure]
    ) -> Refusal | None:
        """Return a refusal if the replicas' reports do not allow a run."""
        holder = find_holder(reports)
        if holder:
            return self.redirect_to_holder(call, holder)
        if any(isinstance(report, Failure) for report in reports):
            return self.refuse(
                call, Reason.ALREADY_SENT, "an instance cannot be asked about the key"
            )
        watched_by_replicas_s = [report.watched_s for report in reports]
        if (
            max([*watched_by_replicas_s, self.replicas.get_watched_s()])
            < self.lifetime_s
        ):
            return self.refuse(
                call,
                Reason.ALREADY_SENT,
                "no instance has watched the service long enough",
            )
        return None

    def redirect_to_holder(self, call: Call, holder: str) -> Refusal:
        """Refuse a call and name the instance that holds its key."""
        return self.refuse(
            call,
            Reason.ALREADY_SENT,
            "another instance holds the key",
            holder=holder,
        )

    def refuse(
        self,
        call: Call,
        reason: Reason,
        detail: str,
        *,
        outcome: Outcome = Outcome.UNKNOWN,
        holder: str = "",
    ) -> Refusal:
        if not holder:
            self.decisions.add("once", "refuse", call.call_class, reason=detail)
        return Refusal(
            call.id,
            reason,
            outcome,
            detail,
            RETRY_AFTER_S,
            call.allowance,
            Load(),
            holder,
        )

    def handle_key_fence(self, fence: KeyFence) -> KeyReport:
        """Handle a replica's query about a key, or its request for a fence.

        :param fence: query if its holder is empty, otherwise a request for a fence.
        """
        watched_s = self.replicas.get_watched_s()
        record = self.records.find(fence.key)
        if record is not None:
            granted = record.holder == fence.holder and fence.holder != ""
            holder = "" if granted else record.holder
            return KeyReport(fence.id, granted, holder, watched_s)
        if not fence.holder:
            return KeyReport(fence.id, True, "", watched_s)
        # If both claim the key, the instance whose name sorts first wins.
        if fence.key in self.pending_claims and self.holder < fence.holder:
            return KeyReport(fence.id, False, self.holder, watched_s)
        self.records.record_fence(fence.key, fence.holder)
        return KeyReport(fence.id, True, "", watched_s)


def find_holder(reports: list[KeyReport | Failure]) -> str:
    """Return the holder that a report names, or an empty string."""
    for report in reports:
        if isinstance(report, KeyReport) and not report.granted and report.holder:
            return report.holder
    return ""
