"""Reservation of memory for the body of a request that is being received."""

from catkinpost.protocol.http import find_header
from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.state.request_memory import (
    SMALL_BODY_BYTES,
    RequestMemory,
    Reservation,
)
from catkinpost.transport.http_parser import RequestParser

__all__ = ["reserve_body"]

# Reservations of bodies without a length grow in steps of this size.
GROWTH_BYTES = 256 * 1024


async def reserve_body(
    memory: RequestMemory, parser: RequestParser, reservation: Reservation | None
) -> Reservation | Failure | None:
    """Reserve memory for a body whose head is complete.

    The whole length is reserved at the head where it is known, so that two bodies that
    are half received cannot wait for each other. A body without a length waits only
    before it holds anything.

    :param memory: memory to reserve from.
    :param parser: parser of the request.
    :param reservation: reservation made for earlier parts of the same body.
    :return: the reservation, ``None`` for a small body, or a failure.
    """
    length = find_header(parser.headers, b"content-length")
    size = parser.body_bytes if length is None else int(length)
    max_body_bytes = parser.limits.max_body_bytes
    if size > max_body_bytes:
        return Failure(
            reason=Reason.BODY_TOO_LARGE,
            detail=f"the body exceeds {max_body_bytes} bytes",
        )
    if size <= SMALL_BODY_BYTES or (reservation and size <= reservation.size):
        return reservation
    if length is None:
        size = min(max_body_bytes, -(-size // GROWTH_BYTES) * GROWTH_BYTES)
    if reservation is None:
        return await memory.reserve(size)
    return reservation if reservation.grow(size) else memory.refuse()
