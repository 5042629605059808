"""Processor time of the parts of one call, measured in one process."""

import io
import statistics
import time
from collections.abc import Callable

import msgspec
import trio
from eliot import add_destinations, log_message, remove_destination
from hdrh.histogram import HdrHistogram

from catkinpost.coordination.access.authenticator import UNKNOWN_CALLER
from catkinpost.coordination.admission.admission import Admission, WorkItem
from catkinpost.coordination.routing.entry import classify_request
from catkinpost.protocol.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    encode_request,
    encode_response,
)
from catkinpost.protocol.message import (
    Answer,
    Call,
    Load,
    decode_message,
    encode_message,
)
from catkinpost.protocol.policy import ServiceSection, build_policy, check_document
from catkinpost.state.decision_log import DecisionLog
from catkinpost.state.running import RunningCalls
from catkinpost.transport.http_parser import RequestParser, ResponseParser

__all__ = ["measure_parts"]

REPEATS = 5
LOOPS = 2000
BODY = b"x" * 200
HEADERS = [
    (b"host", b"orders"),
    (b"content-type", b"application/json"),
    (b"idempotency-key", b"k-1"),
    (b"catkinpost-attempt", b"0"),
]
POLICY = """\
[service orders]
owner = bench

[class place-order]
owner = bench
service = orders
match = POST /orders
importance = critical
"""


def time_us(part: Callable[[], None]) -> float:
    """Return the median time of one run in microseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(LOOPS):
            part()
        times.append((time.perf_counter() - started) / LOOPS * 1e6)
    return round(statistics.median(times), 2)


async def time_async_us(part) -> float:
    """Return the median time of one run of an asynchronous part."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for _ in range(LOOPS):
            await part()
        times.append((time.perf_counter() - started) / LOOPS * 1e6)
    return round(statistics.median(times), 2)


def measure_parts() -> dict[str, float]:
    """Measure every part; microseconds by name."""
    return trio.run(measure)


async def measure() -> dict[str, float]:
    limits = HttpLimits()
    request = HttpRequest(b"POST", b"/orders", HEADERS, BODY)
    response = HttpResponse(200, [(b"content-type", b"text/plain")], BODY)
    request_bytes = encode_request(request)
    response_bytes = encode_response(response, keep_alive=True, head_only=False)
    call = Call(
        1, "orders", "place-order", "shop", 0, 10**6, 1, 0, "k", b"POST", b"/orders",
        HEADERS, BODY,
    )  # fmt: skip
    answer = Answer(1, 200, response.headers, BODY, 1, Load())
    call_bytes = encode_message(call)
    answer_bytes = encode_message(answer)
    policy = build_policy(check_document(POLICY).models)
    running = RunningCalls()
    histogram = HdrHistogram(1, 3_600_000_000, 2)
    section = ServiceSection(owner="bench", slots=64, slow_start=0)
    admission = Admission(section, DecisionLog())
    item = WorkItem(
        rank=0,
        deadline=trio.current_time() + 3600,
        call_class="place-order",
        path="/orders",
    )

    def parse_request() -> None:
        RequestParser(limits).feed(request_bytes)

    def parse_response() -> None:
        ResponseParser(limits, head_only=False).feed(response_bytes)

    async def admit() -> None:
        admission.release_slot(await admission.acquire_slot(item), seconds=0.01)

    async def switch() -> None:
        await trio.lowlevel.checkpoint()

    async def nursery() -> None:
        async with trio.open_nursery() as opened:
            opened.start_soon(switch)

    sink = io.BytesIO()

    def write_line(message: dict) -> None:
        sink.seek(0)
        sink.write(msgspec.json.encode(message, enc_hook=str))

    parts = {
        "parse request (httptools)": time_us(parse_request),
        "parse response (httptools)": time_us(parse_response),
        "encode request": time_us(lambda: encode_request(request)),
        "encode peer call (MessagePack)": time_us(lambda: encode_message(call)),
        "decode peer call (MessagePack)": time_us(lambda: decode_message(call_bytes)),
        "decode peer answer (MessagePack)": time_us(
            lambda: decode_message(answer_bytes)
        ),
        "classify": time_us(
            lambda: classify_request(request, policy, running, UNKNOWN_CALLER)
        ),
        "admit and leave": await time_async_us(admit),
        "histogram (hdrhistogram)": time_us(lambda: histogram.record_value(1234)),
        "scheduling: one checkpoint": await time_async_us(switch),
        "scheduling: nursery with one task": await time_async_us(nursery),
    }
    add_destinations(write_line)
    parts["log line (eliot; decisions only)"] = time_us(
        lambda: log_message("admission: refuse", subject="x", reason="y", queued=3)
    )
    remove_destination(write_line)
    return parts
