"""Client that reads the policy, its version and the list of instances."""

import httpcore
import msgspec

from catkinpost.protocol.outcome import Failure, Reason
from catkinpost.protocol.settings import PlatformSection

__all__ = ["PlatformClient", "PolicyDocument"]

RESPONSE_TIMEOUT_S = 5.0
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
VERSION_HEADER = b"policy-version"


class VersionBody(msgspec.Struct, frozen=True):
    """Response to a watch of the policy version."""

    version: int


class PolicyDocument(msgspec.Struct, frozen=True):
    """One version of the policy document."""

    version: int
    text: str


class PlatformClient:
    """Client of the read-only platform service.

    :param settings: address, paths and wait times.
    """

    def __init__(self, settings: PlatformSection) -> None:
        self.settings = settings
        self.base_url = f"http://{settings.address}"
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=60.0
        )
        self.reads = 0
        self.read_bytes = 0

    async def fetch(
        self, path: str, *, wait: float = 0.0
    ) -> httpcore.Response | Failure:
        timeout = {
            "connect": 1.0,
            "read": wait + RESPONSE_TIMEOUT_S,
            "write": 1.0,
            "pool": 1.0,
        }
        self.reads += 1
        try:
            response = await self.pool.request(
                "GET", self.base_url + path, extensions={"timeout": timeout}
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            return build_unreachable_failure(repr(error))
        self.read_bytes += len(response.content)
        if response.status != 200:
            return build_unreachable_failure(f"{path} answered {response.status}")
        if len(response.content) > MAX_DOCUMENT_BYTES:
            return build_unreachable_failure(
                f"{path} answered {len(response.content)} bytes"
            )
        return response

    async def watch_version(self, after: int) -> int | Failure:
        """Wait until the policy version exceeds a known version.

        :param after: known version.
        :return: the version, which may still be ``after``.
        """
        wait = self.settings.watch_wait
        path = f"{self.settings.policy_path}/version?after={after}&wait={wait:g}"
        response = await self.fetch(path, wait=wait)
        if isinstance(response, Failure):
            return response
        try:
            return msgspec.json.decode(response.content, type=VersionBody).version
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return build_unreachable_failure(f"bad version: {error}")

    async def read_policy(self) -> PolicyDocument | Failure:
        """Read the whole policy document."""
        response = await self.fetch(self.settings.policy_path)
        if isinstance(response, Failure):
            return response
        version = dict(response.headers).get(VERSION_HEADER, b"")
        try:
            return PolicyDocument(int(version), response.content.decode("utf-8"))
        except ValueError as error:
            return build_unreachable_failure(f"bad policy document: {error}")

    async def watch_instances(self, after: int) -> bytes | Failure:
        """Wait for a list of instances whose version differs from a known version.

        :param after: known version.
        :return: the list as JSON.
        """
        wait = self.settings.watch_wait
        path = f"{self.settings.instances_path}?after={after}&wait={wait:g}"
        response = await self.fetch(path, wait=wait)
        if isinstance(response, Failure):
            return response
        return response.content


def build_unreachable_failure(detail: str) -> Failure:
    return Failure(reason=Reason.PLATFORM_UNREACHABLE, detail=detail)
