"""Client of the platform's store: reads of all keys, and watches for changes."""

import base64
import binascii
import math
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import trio
from eliot import log_message

from catkinpost.platform.model import PlatformModel
from catkinpost.platform.names import STORE_ERA
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address
from catkinpost.state.feed_state import FIRST_ERA, ChangePage, KeyChange, Snapshot
from catkinpost.transport.http_client import BackendClient

__all__ = ["StoreClient"]

# A silent connection is detected within this plus one wait, which is less than the
# time in which a change must be in force.
READ_TIMEOUT_S = 0.5
# Upper bound of the timeout, which doubles while reads time out: a store that is slow
# but not silent responds within this.
MAX_READ_TIMEOUT_S = 4.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_PAGES = 64
HTTP_OK = 200
HTTP_GONE = 410


class StoredItem(PlatformModel):
    """One key with its value, or with a mark that it was deleted."""

    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class RangeBody(PlatformModel):
    """Response to a read of many keys."""

    items: list[StoredItem]
    at: int
    more_pages: bool = False


class WatchBody(PlatformModel):
    """Response to a watch."""

    events: list[StoredItem]
    at: int


@dataclass(frozen=True, kw_only=True)
class StoreAnswer:
    """Body of a successful response.

    :param era: number that the store raises when it comes back from an older copy.
    """

    body: bytes
    era: int


class StoreClient:
    """Reader of the store.

    :param address: address of the store.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        limits = HttpLimits(max_body_bytes=MAX_RESPONSE_BYTES)
        self.client = BackendClient(address.host, address.port, limits=limits)
        self.timeout_s = READ_TIMEOUT_S
        self.reads = 0
        self.read_bytes = 0
        self.era: int | None = None

    async def fetch_page(
        self, target: str, *, wait_s: float = 0.0
    ) -> StoreAnswer | Failure:
        """Read one page.

        A cancelled or failed read leaves no open connection.
        """
        self.reads += 1
        headers = [(b"host", str(self.address).encode())]
        request = HttpRequest(b"GET", target.encode(), headers)
        response: HttpResponse | Failure | None = None
        timeout_s = wait_s + self.timeout_s
        with trio.move_on_after(timeout_s):
            response = await self.client.send_request(request)
        if response is None:
            self.timeout_s = min(MAX_READ_TIMEOUT_S, 2 * self.timeout_s)
            return build_unreachable_failure(f"no answer within {timeout_s:g} s")
        self.timeout_s = READ_TIMEOUT_S
        if isinstance(response, Failure):
            return build_unreachable_failure(response.detail)
        self.read_bytes += len(response.body)
        if response.status == HTTP_GONE:
            return Failure(
                reason=Reason.PLATFORM_HISTORY_GONE, detail="the history is dropped"
            )
        if response.status != HTTP_OK:
            return build_unreachable_failure(f"the store answered {response.status}")
        era = parse_era(find_header(response.headers, STORE_ERA))
        if isinstance(era, Failure):
            return era
        if era != self.era:
            log_message("store: era", era=era, was=self.era)
        self.era = era
        return StoreAnswer(body=response.body, era=era)

    async def read_snapshot(self, *, may_be_stale: bool = False) -> Snapshot | Failure:
        """Read every key.

        :param may_be_stale: whether the state may be seconds old; such a read costs a
            tenth and is never turned away for too many reads.

        The pages are read at different times, so the watch continues from the revision
        of the first one: a change between two pages is seen twice rather than missed.
        """
        asked_at = trio.current_time()
        changes: list[KeyChange] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            target = "/v1/kv-range?prefix="
            if may_be_stale:
                target += "&serializable=1"
            if after:
                target += f"&after={quote(after, safe='')}"
            answer = await self.fetch_page(target)
            if isinstance(answer, Failure):
                return answer
            page = decode_body(answer.body, RangeBody)
            if isinstance(page, Failure):
                return page
            if era is not None and answer.era != era:
                return Failure(
                    reason=Reason.PLATFORM_HISTORY_GONE,
                    detail="the store was restored between two pages",
                )
            era = answer.era
            changes += [build_change(item) for item in page.items]
            revision = page.at if revision is None else revision
            if not page.more_pages or not page.items:
                return Snapshot(
                    changes=changes,
                    revision=revision,
                    era=era,
                    known_at=-math.inf if may_be_stale else asked_at,
                )
            after = page.items[-1].key
        return build_bad_document_failure(f"the store has over {MAX_PAGES} pages")

    async def watch(self, after: int, *, wait_s: float) -> ChangePage | Failure:
        """Wait for changes after a revision.

        :param after: last revision read.
        :param wait_s: seconds after which the store responds without changes.
        """
        asked_at = trio.current_time()
        wait_ms = int(wait_s * 1000)
        target = f"/v1/kv-watch?prefix=&after={after}&wait-ms={wait_ms}"
        answer = await self.fetch_page(target, wait_s=wait_s)
        if isinstance(answer, Failure):
            return answer
        page = decode_body(answer.body, WatchBody)
        if isinstance(page, Failure):
            return page
        return ChangePage(
            changes=[build_change(item) for item in page.events],
            revision=page.at,
            era=answer.era,
            known_at=find_known_at(page, asked_at, asked_at + wait_ms / 1000),
        )


def find_known_at(page: WatchBody, asked_at: float, ends_at: float) -> float:
    """Return the latest time at which the store surely held what a watch says.

    The answer may have been on its way for long. Without changes the store gives it at
    the end of the wait, and otherwise at some time since the watch was sent.

    :param asked_at: time at which the watch was sent.
    :param ends_at: earliest time at which the store ends the wait.
    """
    is_waited_out = not page.events and trio.current_time() >= ends_at
    return ends_at if is_waited_out else asked_at


def build_change(item: StoredItem) -> KeyChange:
    return KeyChange(
        key=item.key,
        value=None if item.deleted else decode_value(item.value),
        revision=item.revision,
        read_at=trio.current_time(),
    )


def decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # The reader of the key reports an empty value as invalid.
        return b""


def parse_era(value: bytes | None) -> int | Failure:
    """Return the era that a header names, the first one without a header."""
    if value is None:
        return FIRST_ERA
    if not value.isdigit():
        return build_bad_document_failure(f"the era is no number: {value!r}")
    return int(value)


def decode_body(body: bytes, model: type[msgspec.Struct]) -> msgspec.Struct | Failure:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return build_bad_document_failure(str(error))


def build_unreachable_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_UNREACHABLE, detail=detail)


def build_bad_document_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=detail)
