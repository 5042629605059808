"""Client of the platform's store: one read of everything, then one watch."""

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

__all__ = ["Event", "Page", "Snapshot", "StoreClient"]

# A connection that has gone silent shows within this and one wait: less than the
# time in which a change must be in force.
READ_TIMEOUT_S = 0.5
# A store that is slow and not silent answers within this.
MAX_READ_TIMEOUT_S = 4.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_PAGES = 64
HTTP_OK = 200
HTTP_GONE = 410


class Item(PlatformModel):
    """One key with its value, or the news that it is gone."""

    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class RangeBody(PlatformModel):
    """Answer to a read of many keys."""

    items: list[Item]
    at: int
    more_pages: bool = False


class WatchBody(PlatformModel):
    """Answer to a watch."""

    events: list[Item]
    at: int


@dataclass(frozen=True, kw_only=True)
class Event:
    """Change of one key.

    :param key: the key.
    :param value: new value, ``None`` when the key is gone.
    """

    key: str
    value: bytes | None


@dataclass(frozen=True, kw_only=True)
class Page:
    """Changes up to a revision."""

    events: list[Event]
    at: int


class Snapshot(Page):
    """All keys; one that is absent is gone."""


class StoreClient:
    """Reads the store.

    :param address: where the store listens.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        limits = HttpLimits(max_body_bytes=MAX_ANSWER_BYTES)
        self.client = BackendClient(address.host, address.port, limits=limits)
        self.timeout = READ_TIMEOUT_S
        self.reads = 0
        self.read_bytes = 0

    async def get(self, target: str, *, wait: float = 0.0) -> bytes | Failure:
        """Read one page.

        A cancelled or failed read leaves no connection behind.
        """
        self.reads += 1
        headers = [(b"host", str(self.address).encode())]
        request = HttpRequest(b"GET", target.encode(), headers)
        answer: HttpResponse | Failure | None = None
        limit = wait + self.timeout
        with trio.move_on_after(limit):
            answer = await self.client.exchange(request)
        if answer is None:
            self.timeout = min(MAX_READ_TIMEOUT_S, 2 * self.timeout)
            return unreachable(f"no answer within {limit:g} s")
        self.timeout = READ_TIMEOUT_S
        if isinstance(answer, Failure):
            return unreachable(answer.detail)
        self.read_bytes += len(answer.body)
        if answer.status == HTTP_GONE:
            return Failure(
                reason=Reason.PLATFORM_HISTORY_GONE, detail="the history is dropped"
            )
        if answer.status != HTTP_OK:
            return unreachable(f"the store answered {answer.status}")
        return answer.body

    async def read_all(self) -> Snapshot | Failure:
        """Read every key.

        Pages are no snapshot: the watch goes on from the first one's revision, so
        that a change between two pages is seen again and not missed.
        """
        events: list[Event] = []
        at: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            target = "/v1/kv-range?prefix="
            if after:
                target += f"&after={quote(after, safe='')}"
            body = await self.get(target)
            page = body if isinstance(body, Failure) else decode(body, RangeBody)
            if isinstance(page, Failure):
                return page
            events += [event_of(item) for item in page.items]
            at = page.at if at is None else at
            if not page.more_pages or not page.items:
                return Snapshot(events=events, at=at)
            after = page.items[-1].key
        return bad_answer(f"the store has over {MAX_PAGES} pages")

    async def watch(self, after: int, *, wait: float) -> Page | Failure:
        """Wait for changes after a revision.

        :param after: revision that is known.
        :param wait: seconds after which an answer without changes comes.
        """
        target = f"/v1/kv-watch?prefix=&after={after}&wait-ms={int(wait * 1000)}"
        body = await self.get(target, wait=wait)
        page = body if isinstance(body, Failure) else decode(body, WatchBody)
        if isinstance(page, Failure):
            return page
        return Page(events=[event_of(item) for item in page.events], at=page.at)


def event_of(item: Item) -> Event:
    if item.deleted:
        return Event(key=item.key, value=None)
    try:
        return Event(key=item.key, value=base64.b64decode(item.value, validate=True))
    except binascii.Error:
        # Whoever reads the value reports that it is not what the key should hold.
        return Event(key=item.key, value=b"")


def decode(body: bytes, model: type[msgspec.Struct]) -> msgspec.Struct | Failure:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return bad_answer(str(error))


def unreachable(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_UNREACHABLE, detail=detail)


def bad_answer(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_BAD_DOCUMENT, detail=detail)
