"""Polling of the backend server's health and load endpoints."""

from collections.abc import Callable

import httpcore
import msgspec
import trio
from eliot import log_message

from catkinpost.protocol.settings import BackendSection

__all__ = ["BackendReport", "BackendWatch"]

REQUEST_TIMEOUT_S = 1.0


class BackendReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that the backend server reports; it may be stale or wrong."""

    reachable: bool = False
    draining: bool = False
    in_flight: int = 0
    slots: int = 0


class HealthBody(msgspec.Struct, frozen=True):
    """Response body of the health endpoint."""

    state: str = "serving"


class LoadBody(msgspec.Struct, frozen=True):
    """Response body of the load endpoint."""

    in_flight: int = 0
    slots: int = 0


class BackendWatch:
    """Poller of the backend server's endpoints.

    The reported load is shown to operators only; decisions use the node's own
    observations. When the backend server drains, the instance leaves.

    :param settings: address and paths.
    :param on_draining: called when the backend server starts to drain.
    """

    def __init__(
        self, settings: BackendSection, *, on_draining: Callable[[], None]
    ) -> None:
        self.settings = settings
        self.on_draining = on_draining
        self.report = BackendReport()
        self.pool = httpcore.AsyncConnectionPool(max_connections=2)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            previous = self.report
            self.report = await self.poll()
            if self.report.reachable != previous.reachable:
                log_message("backend: reachable", value=self.report.reachable)
            if self.report.draining and not previous.draining:
                self.on_draining()
            await trio.sleep(self.settings.poll_interval)

    async def poll(self) -> BackendReport:
        health = await self.get_json(self.settings.health_path, HealthBody)
        if health is None:
            return BackendReport()
        load = await self.get_json(self.settings.load_path, LoadBody) or LoadBody()
        return BackendReport(
            reachable=True,
            draining=health.state == "draining",
            in_flight=load.in_flight,
            slots=load.slots,
        )

    async def get_json(self, path: str, model: type):
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)
        url = f"http://{self.settings.address}{path}"
        try:
            response = await self.pool.request(
                "GET", url, extensions={"timeout": timeout}
            )
            return msgspec.json.decode(response.content, type=model)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            msgspec.MsgspecError,
        ):
            return None
