"""Records of idempotency keys, each with a bounded lifetime."""

import enum
from collections import OrderedDict
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.message import Answer, KeyRecordCopy, Load, Refusal
from catkinpost.protocol.outcome import Outcome

__all__ = ["KeyRecord", "KeyRecordTable", "KeyState"]

MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024


class KeyState(enum.Enum):
    """State of a key at this node."""

    RUNNING = "running"
    FINISHED = "finished"
    FENCED = "fenced"


@dataclass(kw_only=True, eq=False, slots=True)
class KeyRecord:
    """Record of one idempotency key.

    :param key: full key, with service and tenant.
    :param state: state of the key at this node.
    :param holder: instance that holds the key.
    :param fingerprint: digest of the request that came with the key.
    :param updated_at: time at which the run started or finished, or the key was
        fenced.
    :param result: response or failure of the run; ``None`` when not stored.
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
    """Records by full key; each is removed after its lifetime.

    :param lifetime_s: seconds for which a finished or fenced key is stored.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.records: OrderedDict[str, KeyRecord] = OrderedDict()
        self.answer_bytes = 0

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, ``None`` when there is none."""
        self.remove_expired(trio.current_time())
        return self.records.get(key)

    def record_run(self, key: str, holder: str, fingerprint: bytes) -> KeyRecord:
        """Record that this node runs the request of a key."""
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
        """Record the fence by which only another instance may run a key."""
        self.store(
            KeyRecord(
                key=key,
                state=KeyState.FENCED,
                holder=holder,
                updated_at=trio.current_time(),
            )
        )

    def record_result(self, record: KeyRecord, result: Answer | Refusal) -> None:
        """Record the end of a run and wake the calls that wait for its result.

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
        """Drop the oldest responses; their keys stay recorded as finished."""
        for record in self.records.values():
            if self.answer_bytes <= MAX_TOTAL_ANSWER_BYTES:
                return
            self.answer_bytes -= get_answer_bytes(record)
            if record.state is KeyState.FINISHED:
                record.result = None

    def remove_expired(self, now: float) -> None:
        """Remove records whose lifetime has ended, except those of running requests."""
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
        """Return copies of the finished runs for the replicas of a leaving node."""
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
        """Record a finished run that a leaving replica has sent."""
        existing = self.records.get(copy.key)
        if existing is not None and existing.state is not KeyState.FENCED:
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
