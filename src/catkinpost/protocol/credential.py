"""Keys by which callers prove on whose behalf they act."""

import hashlib
from dataclasses import dataclass

from catkinpost.protocol.http import Headers, HttpRequest

__all__ = [
    "AUTHORIZATION_HEADER",
    "Credential",
    "compute_key_digest",
    "parse_credential",
    "take_credentials",
]

AUTHORIZATION_HEADER = b"authorization"
MAX_KEY_BYTES = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Credential:
    """What a request says of its caller; the key itself is not kept.

    :param digest: digest of its key, ``None`` when it has none that could be valid.
    :param problem: why it has none.
    """

    digest: str | None = None
    problem: str = ""


def compute_key_digest(key: bytes) -> str:
    """Return the digest by which a key is known to policies and nodes.

    :param key: key in the form in which callers send it.
    """
    return hashlib.sha256(key).hexdigest()


def take_credentials(request: HttpRequest) -> list[bytes]:
    """Take all credentials off a request, and return their values."""
    headers: Headers = []
    values = []
    for pair in request.headers:
        if pair[0] == AUTHORIZATION_HEADER:
            values.append(pair[1])
        else:
            headers.append(pair)
    request.headers = headers
    return values


def parse_credential(values: list[bytes], scheme: bytes) -> Credential:
    """Read the key of a request.

    :param values: values of its authorization headers.
    :param scheme: scheme that stands before the key, in lower case.
    """
    if not values:
        return Credential(problem="the request has no key")
    if len(values) > 1:
        return Credential(problem="the request has several credentials")
    name, *keys = values[0].split(b" ")
    keys = [key for key in keys if key]
    if name.lower() != scheme or len(keys) != 1 or len(keys[0]) > MAX_KEY_BYTES:
        return Credential(problem=f"the credential is not {scheme.decode()} KEY")
    return Credential(digest=compute_key_digest(keys[0]))
