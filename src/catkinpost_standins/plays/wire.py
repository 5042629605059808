"""HTTP/1.1 of the plays, written for them alone."""

import asyncio
from dataclasses import dataclass

__all__ = ["Message", "build_head", "encode_chunks", "read_head", "read_message"]

CHUNK_BYTES = 1000


@dataclass
class Message:
    """One message; header names are in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split()[1])


def build_head(first_line: str, headers: dict[str, str]) -> bytes:
    """Encode a first line and headers."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_chunks(body: bytes) -> bytes:
    """Encode a body in chunks."""
    pieces = [
        body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)
    ]
    return b"".join(b"%x\r\n%b\r\n" % (len(item), item) for item in [*pieces, b""])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head, ``None`` at the end of the connection before its first byte.

    :raises asyncio.IncompleteReadError: at an end in the head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = data.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body of a message whose head was read."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body
    if "content-length" in message.headers:
        return await reader.readexactly(int(message.headers["content-length"]))
    return b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message, ``None`` at the end of the connection before its first byte.

    :raises asyncio.IncompleteReadError: at an end in the message.
    """
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message
