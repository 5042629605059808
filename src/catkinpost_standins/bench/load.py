"""Open-loop callers that retry hard, and a record of every request."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from catkinpost.protocol.header import OUTCOME_HEADER, REASON_HEADER
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    find_header,
)
from catkinpost.protocol.outcome import Failure
from catkinpost.transport.http_client import BackendClient

__all__ = ["Caller", "Kind", "Record", "send_load"]

SEND_TIMEOUT_S = 2.0
PATIENCE_S = 6.0
CALLER_RETRIES = 3
RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Kind of request that callers send.

    :param name: shown name, the request class.
    :param service: wanted service.
    :param method: HTTP method.
    :param path: path; each request adds its number.
    :param share: share of all requests.
    :param once: whether the request carries an idempotency key.
    :param same: whether all requests of the kind are the same one, sent again.
    """

    name: str
    service: str
    method: str
    path: str
    share: float
    once: bool = False
    same: bool = False


@dataclass(kw_only=True, slots=True)
class Record:
    """What became of one request.

    :param sent: time of its first sending, from the start of the run.
    :param done: time of its whole answer, ``None`` for none.
    :param sendings: how often its caller sent it.
    :param told: outcome that the caller was told last.
    :param wrong: whether an answer was cut or belonged to another request.
    """

    kind: str
    key: str
    sent: float
    done: float | None = None
    sendings: int = 0
    told: str = ""
    reason: str = ""
    wrong: bool = False


@dataclass(kw_only=True)
class Caller:
    """Callers that enter the system at random nodes.

    :param ports: ports of the nodes.
    :param host: their address.
    :param rng: source of all random choices.
    """

    ports: list[int]
    host: str
    rng: random.Random
    records: list[Record] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.clients = [
            BackendClient(self.host, port, limits=HttpLimits()) for port in self.ports
        ]
        self.started = trio.current_time()

    async def request(self, kind: Kind, number: int) -> None:
        """Send one request until it is answered or patience is over."""
        key = f"{kind.name}-{number}"
        record = Record(kind=kind.name, key=key, sent=self.elapsed())
        self.records.append(record)
        path = kind.path if kind.same else f"{kind.path}/{key}"
        attempt = 0
        with trio.move_on_after(PATIENCE_S):
            for _ in range(1 + CALLER_RETRIES):
                record.sendings += 1
                answer = await self.send(kind, key, path, attempt)
                self.judge(record, answer, path)
                if record.done is not None:
                    return
                # What was not run is sent again as if for the first time.
                if record.told != "not-run":
                    attempt += 1
                await trio.sleep(RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def send(
        self, kind: Kind, key: str, path: str, attempt: int
    ) -> HttpResponse | Failure | None:
        headers = [(b"host", kind.service.encode())]
        if kind.once:
            headers.append((b"idempotency-key", key.encode()))
            headers.append((b"catkinpost-attempt", b"%d" % attempt))
        request = HttpRequest(kind.method.encode(), path.encode(), headers)
        with trio.move_on_after(SEND_TIMEOUT_S):
            return await self.rng.choice(self.clients).send_request(request)
        return None

    def judge(
        self, record: Record, answer: HttpResponse | Failure | None, path: str
    ) -> None:
        if not isinstance(answer, HttpResponse):
            record.told = "unknown"
            record.reason = "timeout" if answer is None else str(answer.reason)
            return
        told = find_header(answer.headers, OUTCOME_HEADER) or b""
        record.told = told.decode()
        record.reason = (find_header(answer.headers, REASON_HEADER) or b"").decode()
        if answer.status == 200:
            record.done = self.elapsed()
            record.reason = ""
            record.wrong = set(answer.body.split()) != {path.encode()}
        elif not record.reason:
            record.reason = f"status {answer.status}"

    def elapsed(self) -> float:
        return trio.current_time() - self.started


async def send_load(
    caller: Caller,
    kinds: list[Kind],
    rate: Callable[[float], float],
    duration: float,
) -> list[Record]:
    """Send requests at a rate that does not depend on the answers.

    :param caller: callers.
    :param kinds: kinds of requests.
    :param rate: requests per second at a time.
    :param duration: seconds to send for.
    :return: one record for each request.
    """
    caller.started = trio.current_time()
    number = 0
    due = 0.0
    async with trio.open_nursery() as nursery:
        while due < duration:
            due += caller.rng.expovariate(rate(due))
            await trio.sleep_until(caller.started + due)
            (kind,) = caller.rng.choices(kinds, [item.share for item in kinds])
            number += 1
            nursery.start_soon(caller.request, kind, number)
    return caller.records
