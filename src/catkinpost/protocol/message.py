"""Messages that nodes exchange, encoded as MessagePack arrays.

For compatibility between releases, new fields go to the end of a message and have a
default: an older receiver ignores the additional fields of a newer sender.
"""

import enum
import struct

import msgspec

from catkinpost.protocol.outcome import Failure, Outcome, Reason
from catkinpost.protocol.settings import AddressText

__all__ = [
    "CALL_HEAD_BYTES",
    "PROTOCOL_VERSION",
    "Answer",
    "Call",
    "Cancel",
    "Challenge",
    "CreditAsk",
    "CreditReply",
    "CreditReturn",
    "CreditVerdict",
    "FeedCancel",
    "FeedFetch",
    "FeedItem",
    "FeedPage",
    "FeedSubscribe",
    "Hello",
    "KeyFence",
    "KeyRecordCopy",
    "KeyRecords",
    "KeyReport",
    "Load",
    "Message",
    "Ping",
    "PolicyContent",
    "PolicyFetch",
    "PolicyNotice",
    "Pong",
    "Refusal",
    "SectionCopy",
    "ServerNotice",
    "SuspectNotice",
    "Welcome",
    "decode_call_id",
    "decode_message",
    "encode_message",
    "encode_message_parts",
]

PROTOCOL_VERSION = 1
Headers = list[tuple[bytes, bytes]]

# Markers of MessagePack.
LONG_ARRAY_MARKER = 0xDC
LONG_ARRAY_PREFIX_BYTES = 3
INTEGER_BYTES_BY_MARKER = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
EMPTY_BODY = b"\xc4\x00"
BODY_MARKER = 0xC6
BODY_PREFIX = struct.Struct(">BI")

CALL_TAG = 4
# Array prefix, tag and longest id.
CALL_HEAD_BYTES = LONG_ARRAY_PREFIX_BYTES + 1 + 9


class ServerNotice(msgspec.Struct, array_like=True, frozen=True):
    """What a backend server says about itself in its responses.

    :param incarnation: incarnation of the server, as listed.
    :param rate_limit: requests per second that the server takes from all nodes
        together, ``None`` while it names no limit.
    :param leaving: whether the server announces that it is about to stop.
    """

    incarnation: str = ""
    rate_limit: float | None = None
    leaving: bool = False


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a backend server as measured by its own node.

    :param in_flight: requests running at the backend server.
    :param limit: concurrency limit in force.
    :param queued: requests waiting at the node.
    :param latency_us: recent mean service time in microseconds.
    :param leaving: whether the instance is draining and accepts no new work.
    :param notice: latest notice of the backend server, ``None`` before its first
        response to this node.
    :param rate_wait_us: microseconds until the rate limit of the backend server
        allows another request.
    """

    in_flight: int = 0
    limit: int = 1
    queued: int = 0
    latency_us: int = 0
    leaving: bool = False
    notice: ServerNotice | None = None
    rate_wait_us: int = 0


class Challenge(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """First message of the accepting side, with a nonce for the authentication."""

    version: int
    nonce: bytes


class Hello(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Handshake message of the connecting side, with its proof of membership.

    :param feeds: whether the sender understands :class:`FeedFetch`.
    """

    version: int
    instance: str
    service: str
    incarnation: str
    policy_version: int
    policy_digest: bytes
    nonce: bytes
    proof: bytes
    peers_address: AddressText | None = None
    feeds: bool = False


class Welcome(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Handshake message of the accepting side, sent in response to :class:`Hello`.

    :param feeds: whether the sender understands :class:`FeedSubscribe`.
    :param withdrawals: whether the sender understands ``only_waiting`` in
        :class:`Cancel`.
    :param clock_us: microseconds on the sender's clock, ``None`` from earlier releases.
    :param credits: whether the sender understands :class:`CreditAsk`.
    """

    version: int
    instance: str
    service: str
    incarnation: str
    policy_version: int
    policy_digest: bytes
    proof: bytes
    load: Load = Load()
    feeds: bool = False
    withdrawals: bool = False
    clock_us: int | None = None
    credits: bool = False


class Call(msgspec.Struct, array_like=True, tag=CALL_TAG):
    """One attempt of a request, for the receiver's backend server.

    :param incarnation: the only process of the backend server that may run the
        request; any process when empty.
    :param useful_us: maximum time to wait for a slot in microseconds;
        ``budget_us`` applies when 0.
    :param notice: latest notice of the backend server that the sender has received,
        for a receiver that has just started; ``None`` when it contains no limit.
    :param rate_wait_us: maximum time to wait for the rate limit of the backend server
        in microseconds, as another instance may take the call; 0 for no own bound.
    """

    id: int
    service: str
    call_class: str
    tenant: str
    rank: int
    budget_us: int
    allowance: int
    attempt: int
    key: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    incarnation: str = ""
    useful_us: int = 0
    notice: ServerNotice | None = None
    rate_wait_us: int = 0


class Answer(msgspec.Struct, array_like=True, tag=5):
    """Complete response of the backend server."""

    id: int
    status: int
    headers: Headers
    body: bytes
    allowance: int
    load: Load
    replayed: bool = False


class Refusal(msgspec.Struct, array_like=True, tag=6):
    """Failure of a call at the receiving node or its backend server.

    :param holder: instance that holds the idempotency key of the request, if it is
        another one.
    :param fenced: whether every replica has promised not to run the key, so that
        the outcome "not run" covers all attempts and resubmissions of it.
    """

    id: int
    reason: Reason
    outcome: Outcome
    detail: str
    retry_after: float | None
    allowance: int
    load: Load
    holder: str = ""
    fenced: bool = False

    def to_failure(self) -> Failure:
        """Return the failure that this message reports."""
        return Failure(
            reason=self.reason,
            outcome=self.outcome,
            detail=self.detail,
            retry_after=self.retry_after,
        )


class Cancel(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Cancellation of a call.

    :param only_waiting: whether a call that was handed to the backend server runs on,
        and one that still waits gets a :class:`Refusal`; otherwise the call ends
        without a response.
    """

    id: int
    only_waiting: bool = False


class Ping(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Heartbeat request."""

    sequence: int


class Pong(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Response to :class:`Ping`, with the current load and policy version.

    :param clock_us: microseconds on the sender's clock, ``None`` from earlier releases.
    """

    sequence: int
    load: Load
    policy_version: int
    policy_digest: bytes
    clock_us: int | None = None


class PolicyNotice(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """Notification that a policy version came into force at the sender."""

    policy_version: int
    policy_digest: bytes


class PolicyFetch(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Request for the sections that are newer than a version."""

    since: int


class SectionCopy(msgspec.Struct, array_like=True, frozen=True):
    """Text of one accepted section, with the version that introduced it."""

    name: str
    version: int
    text: str


class PolicyContent(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Differences between the sender's policy and an earlier version.

    :param since: version to which the receiver can apply the difference; -1 when the
        message contains the whole policy.
    :param policy_version: version in force at the sender.
    :param declared: names of sections added to the document after ``since``,
        including invalid ones.
    :param removed: names of sections removed from the document after ``since``.
    :param sections: sections accepted after ``since``.
    :param broken: sections that are invalid in the document, each with the last
        version known to the sender in which the section was valid.
    :param digest: digest of the sender's policy, for comparison with the result.
    """

    since: int
    policy_version: int
    declared: list[str]
    removed: list[str]
    sections: list[SectionCopy]
    broken: dict[str, int]
    digest: bytes


class KeyFence(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Query to a service replica about an idempotency key, or request for a fence.

    :param key: full key, including service and tenant.
    :param holder: instance that is about to run the key; empty for a query without a
        fence.
    """

    id: int
    key: str
    holder: str


class KeyReport(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """Response to :class:`KeyFence`.

    :param granted: whether the sender has no record of the key; in response to a
        request for a fence, it also promises not to run the key.
    :param holder: instance that holds the key when ``granted`` is false.
    :param watched_s: seconds for which all replicas have known the sender.
    """

    id: int
    granted: bool
    holder: str
    watched_s: float


class KeyRecordCopy(msgspec.Struct, array_like=True, frozen=True):
    """Record of a finished run of a key, handed over by a node that is draining."""

    key: str
    age_s: float
    fingerprint: bytes
    status: int
    headers: Headers
    body: bytes


class KeyRecords(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """Key records handed over by a node that is draining."""

    records: list[KeyRecordCopy]


class SuspectNotice(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """Crash count of a request fingerprint; 0 clears the suspicion."""

    fingerprint: bytes
    crashes: int
    origin: str


class FeedSubscribe(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """Request for all changes of the platform's keys after a revision, from now on.

    :param era: era of ``after``, ``None`` from releases that know no eras.
    """

    after: int
    era: int | None = None


class FeedCancel(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """End of a subscription."""


class FeedItem(msgspec.Struct, array_like=True, frozen=True):
    """Change of one key.

    :param age_us: microseconds since the value was read.
    :param value: new value, ``None`` when the key was deleted.
    """

    key: str
    revision: int
    age_us: int
    value: bytes | None


class FeedPage(msgspec.Struct, array_like=True, tag=19, frozen=True):
    """Changes of the platform's keys, and how recently the platform confirmed them.

    :param since: revision up to which the receiver must know all changes.
    :param revision: revision up to which the changes are complete.
    :param age_us: microseconds since the platform has confirmed this state to the
        sender, negative for no confirmation.
    :param recovered_us: microseconds since the platform's last recovery from an outage,
        negative for none.
    :param failing: whether the sender fails to read the platform.
    :param keys: all keys, when deletions after ``since`` may be missing in ``items``.
    :param is_confirmed: whether the sender's state was confirmed since its start, by
        its own reading or that of others.
    :param era: era of all revisions, ``None`` from releases that know no eras.
    :param clock_us: microseconds on the sender's clock when it wrote the page, ``None``
        from earlier releases.
    :param known_age_us: microseconds on that clock since the platform held this state,
        by whatever way the sender knows, negative if it does not.
    """

    since: int
    revision: int
    age_us: int
    recovered_us: int
    failing: bool
    items: list[FeedItem]
    keys: list[str] | None = None
    is_confirmed: bool = False
    era: int | None = None
    clock_us: int | None = None
    known_age_us: int = -1


class FeedFetch(msgspec.Struct, array_like=True, tag=20, frozen=True):
    """Request for one :class:`FeedPage`, by a node that cannot read the platform.

    :param era: era of ``after``, ``None`` from releases that know no eras.
    """

    after: int
    era: int | None = None


class CreditVerdict(enum.StrEnum):
    """Decision of the keeper of a share about one request of a workspace."""

    GRANTED = "granted"
    EXHAUSTED = "exhausted"
    NOT_KEEPER = "not-keeper"
    OUTDATED = "outdated"


class CreditAsk(msgspec.Struct, array_like=True, tag=21, frozen=True):
    """Request for credit for one request of a workspace.

    :param id: identity of the ask, unique for the process of the sender.
    :param share: number of the share of the workspace's limit.
    """

    id: int
    workspace: str
    share: int


class CreditReply(msgspec.Struct, array_like=True, tag=22, frozen=True):
    """Response to :class:`CreditAsk`.

    :param wait_us: microseconds until the share has credit again.
    :param return_us: microseconds after which the caller should come back, behind those
        who were told to do so before.
    """

    id: int
    verdict: CreditVerdict
    wait_us: int = 0
    return_us: int = 0


class CreditReturn(msgspec.Struct, array_like=True, tag=23, frozen=True):
    """Return of the credit of a request that has not run.

    :param id: identity of the ask that got it.
    """

    id: int


Message = (
    Challenge
    | Hello
    | Welcome
    | Call
    | Answer
    | Refusal
    | Cancel
    | Ping
    | Pong
    | PolicyNotice
    | PolicyFetch
    | PolicyContent
    | KeyFence
    | KeyReport
    | KeyRecords
    | SuspectNotice
    | FeedSubscribe
    | FeedCancel
    | FeedPage
    | FeedFetch
    | CreditAsk
    | CreditReply
    | CreditReturn
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Message)
integer_decoder = msgspec.msgpack.Decoder(int)


def encode_message(message: Message) -> bytes:
    """Encode one message without its frame.

    :param message: message to encode.
    """
    return encoder.encode(message)


def decode_message(data: bytes | memoryview) -> Message | Failure:
    """Decode one message.

    :param data: payload of one frame.
    :return: the message, or a failure when the data is not a valid message.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(reason=Reason.PEER_BAD_MESSAGE, detail=str(error))


def encode_message_parts(message: Call | Answer) -> list[bytes]:
    """Encode one message without a copy of its body.

    :param message: message to encode.
    :return: parts that make up the encoded message.
    """
    fields = message.__struct_fields__
    later_fields = fields[fields.index("body") + 1 :]
    tail = b"".join(encoder.encode(getattr(message, name)) for name in later_fields)
    bodyless = encoder.encode(msgspec.structs.replace(message, body=b""))
    head = bodyless[: len(bodyless) - len(tail) - len(EMPTY_BODY)]
    return [head + BODY_PREFIX.pack(BODY_MARKER, len(message.body)), message.body, tail]


def decode_call_id(head: bytes) -> int | None:
    """Return the id of a call from the start of its encoded message.

    :param head: the first :data:`CALL_HEAD_BYTES` bytes or more.
    :return: the id, or ``None`` when the message is no call.
    """
    tag_at = LONG_ARRAY_PREFIX_BYTES if head[0] == LONG_ARRAY_MARKER else 1
    if head[tag_at] != CALL_TAG:
        return None
    size = 1 + INTEGER_BYTES_BY_MARKER.get(head[tag_at + 1], 0)
    try:
        return integer_decoder.decode(head[tag_at + 1 : tag_at + 1 + size])
    except msgspec.MsgspecError:
        return None
