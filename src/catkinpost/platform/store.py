"""Client of the platform's store: a read of all keys, then a watch for changes."""

import base64
import binascii
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import trio

from catkinpost.platform.model import PlatformModel
from catkinpost.protocol.http import HttpLimits, HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import Address
from catkinpost.transport.http_client import BackendClient

__all__ = ["KeyChange", "ChangePage", "Snapshot", "StoreClient"]

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
class KeyChange:
    """Change of one key.

    :param key: changed key.
    :param value: new value, ``None`` when the key was deleted.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True)
class ChangePage:
    """Changes up to a revision."""

    changes: list[KeyChange]
    revision: int


class Snapshot(ChangePage):
    """All keys of the store; an absent key was deleted."""


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

    async def fetch_page(self, target: str, *, wait_s: float = 0.0) -> bytes | Failure:
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
        return response.body

    async def read_snapshot(self) -> Snapshot | Failure:
        """Read every key.

        The pages are read at different times, so the watch continues from the revision
        of the first one: a change between two pages is seen twice rather than missed.
        """
        changes: list[KeyChange] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            target = "/v1/kv-range?prefix="
            if after:
                target += f"&after={quote(after, safe='')}"
            body = await self.fetch_page(target)
            page = body if isinstance(body, Failure) else decode_body(body, RangeBody)
            if isinstance(page, Failure):
                return page
            changes += [build_change(item) for item in page.items]
            revision = page.at if revision is None else revision
            if not page.more_pages or not page.items:
                return Snapshot(changes=changes, revision=revision)
            after = page.items[-1].key
        return build_bad_document_failure(f"the store has over {MAX_PAGES} pages")

    async def watch(self, after: int, *, wait_s: float) -> ChangePage | Failure:
        """Wait for changes after a revision.

        :param after: last revision read.
        :param wait_s: seconds after which the store responds without changes.
        """
        target = f"/v1/kv-watch?prefix=&after={after}&wait-ms={int(wait_s * 1000)}"
        body = await self.fetch_page(target, wait_s=wait_s)
        page = body if isinstance(body, Failure) else decode_body(body, WatchBody)
        if isinstance(page, Failure):
            return page
        return ChangePage(
            changes=[build_change(item) for item in page.events], revision=page.at
        )


def build_change(item: StoredItem) -> KeyChange:
    if item.deleted:
        return KeyChange(key=item.key, value=None)
    try:
        return KeyChange(
            key=item.key, value=base64.b64decode(item.value, validate=True)
        )
    except binascii.Error:
        # The reader of the key reports an empty value as invalid.
        return KeyChange(key=item.key, value=b"")


def decode_body(body: bytes, model: type[msgspec.Struct]) -> msgspec.Struct | Failure:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return build_bad_document_failure(str(error))


def build_unreachable_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_UNREACHABLE, detail=detail)


def build_bad_document_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=detail)
