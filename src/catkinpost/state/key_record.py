"""Idempotency keys that a node remembers for a while."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.message import Answer, KeyRecordCopy, Load, Refusal
from catkinpost.protocol.outcome import Outcome

__all__ = ["KeyRecord", "KeyRecordTable", "KeyState"]

MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024


class KeyState(enum.Enum):
    """What the node knows of a key."""

    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


@dataclass(kw_only=True, eq=False, slots=True)
class KeyRecord:
    """One remembered key.

    :param key: full key, with service and tenant.
    :param state: what is known of it.
    :param holder: instance that holds the key.
    :param fingerprint: digest of the request that came with the key.
    :param updated_at: time at which the record was made or finished.
    :param result: answer or failure of the run; ``None`` when not kept.
    :param done: set when the run has ended.
    """

    key: str
    state: KeyState
    holder: str
    fingerprint: bytes = b""
    updated_at: float = 0.0
    result: Answer | Refusal | None = None
    done: trio.Event = field(default_factory=trio.Event)


class KeyRecordTable:
    """Keys by full name; each is forgotten after its lifetime.

    :param lifetime_s: seconds that a finished or fenced key is remembered.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.answer_bytes = 0

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        self.remove_expired(trio.current_time())
        return self.records.get(key)

    def record_run(self, key: str, holder: str, fingerprint: bytes) -> KeyRecord:
        """Record that this node runs a key."""
        record = KeyRecord(
            key=key,
            state=KeyState.RUNNING,
            holder=holder,
            fingerprint=fingerprint,
            updated_at=trio.current_time(),
        )
        self.store(record)
        return record

    def record_fence(self, key: str, holder: str) -> None:
        """Record the promise that another instance alone may run a key."""
        self.store(
            KeyRecord(
                key=key,
                state=KeyState.FENCED,
                holder=holder,
                updated_at=trio.current_time(),
            )
        )

    def record_result(self, record: KeyRecord, result: Answer | Refusal) -> None:
        """Record the end of a run and wake those who joined it.

        A run that provably did not take place leaves no record.
        """
        record.state = KeyState.FINISHED
        record.result = result
        record.updated_at = trio.current_time()
        refused = isinstance(result, Refusal)
        if refused and result.outcome is Outcome.NOT_RUN:
            if self.records.get(record.key) is record:
                del self.records[record.key]
        else:
            self.records.move_to_end(record.key)
            self.answer_bytes += get_answer_bytes(record)
            self.drop_oldest_answers()
        record.done.set()

    def store(self, record: KeyRecord) -> None:
        self.records[record.key] = record
        self.records.move_to_end(record.key)

    def drop_oldest_answers(self) -> None:
        """Forget the oldest answers, but not that their keys were run."""
        for record in self.records.values():
            if self.answer_bytes <= MAX_TOTAL_ANSWER_BYTES:
                return
            self.answer_bytes -= get_answer_bytes(record)
            if record.state is KeyState.FINISHED:
                record.result = None

    def remove_expired(self, now: float) -> None:
        """Forget records whose lifetime is over; running ones are kept."""
        while self.records:
            record = next(iter(self.records.values()))
            if now - record.updated_at < self.lifetime_s:
                return
            if record.state is KeyState.RUNNING:
                record.updated_at = now
                self.records.move_to_end(record.key)
                continue
            self.answer_bytes -= get_answer_bytes(record)
            del self.records[record.key]

    def build_copies(self) -> list[KeyRecordCopy]:
        """Return the finished runs for the replicas of a leaving node."""
        now = trio.current_time()
        return [
            KeyRecordCopy(
                record.key,
                now - record.updated_at,
                record.fingerprint,
                record.result.status,
                record.result.headers,
                record.result.body,
            )
            for record in self.records.values()
            if isinstance(record.result, Answer)
        ]

    def apply_copy(self, copy: KeyRecordCopy, holder: str) -> None:
        """Remember a run that a leaving replica has handed over."""
        known = self.records.get(copy.key)
        if known is not None and known.state is not KeyState.FENCED:
            return
        record = KeyRecord(
            key=copy.key,
            state=KeyState.FINISHED,
            holder=holder,
            fingerprint=copy.fingerprint,
            updated_at=trio.current_time(),
            result=Answer(0, copy.status, copy.headers, copy.body, 0, Load()),
        )
        record.done.set()
        self.answer_bytes += get_answer_bytes(record)
        self.store(record)
        self.drop_oldest_answers()


def get_answer_bytes(record: KeyRecord) -> int:
    if isinstance(record.result, Answer):
        return len(record.result.body)
    return 0
