"""Environment of a node on the platform: store, readiness and settings file."""

import signal
import tomllib
from pathlib import Path

import msgspec
import trio
from eliot import log_message

from catkinpost.coordination.access.authenticator import KeyBounds
from catkinpost.coordination.environment import NodeParts
from catkinpost.coordination.feed import FeedRelay
from catkinpost.coordination.limits.keeper import KeeperBounds
from catkinpost.coordination.tick import sleep_until_next_tick
from catkinpost.platform.dialect import PlatformDialect
from catkinpost.platform.document import (
    Configuration,
    hash_keys,
    parse_configuration,
    render_policy,
)
from catkinpost.platform.listing import ServerList, parse_server_entry
from catkinpost.platform.names import CONFIG_KEY, READINESS_PATH, SERVERS_PREFIX
from catkinpost.platform.recency import is_older_value
from catkinpost.platform.settings import (
    PlatformSettings,
    SettingsFile,
    parse_platform_settings,
)
from catkinpost.platform.store import StoreClient
from catkinpost.platform.unread import UnreadFieldLog, find_unread_fields
from catkinpost.protocol.http import HttpRequest, HttpResponse
from catkinpost.protocol.outcome import Failure
from catkinpost.protocol.settings import parse_address
from catkinpost.state.feed_state import ChangePage, KeyChange, Snapshot
from catkinpost.transport.acceptor import Acceptor
from catkinpost.transport.http_connection import RECEIVE_BUFFER_BYTES
from catkinpost.transport.http_server import HttpServer

__all__ = ["PlatformEnvironment", "log_settings"]

EXPIRY_CHECK_INTERVAL_S = 0.25
# The platform probes once a second, mostly on a new connection.
MAX_PROBE_CONNECTIONS = 32
SETTINGS_CHECK_INTERVAL_S = 1.0


class PlatformEnvironment:
    """Reader of the platform's store and settings, and responder to its probe.

    :param settings: checked settings.
    :param path: path of the settings file, which may change at any time.
    """

    def __init__(self, settings: PlatformSettings, path: Path) -> None:
        self.settings = settings
        self.path = path
        self.dialect = PlatformDialect(self.get_calling_service)
        address = parse_address(settings.node.platform.address)
        self.store_client = StoreClient(address)
        self.servers = ServerList(
            peer_port=settings.peer_port,
            regions=settings.regions,
            lease_s=settings.lease_s,
        )
        self.list_version = 0
        self.settings_text = settings.text
        self.unread_fields = UnreadFieldLog("store: fields not read", Configuration)
        self.is_configuration_applied = False

    def attach(self, node: NodeParts) -> None:
        """Build the watches of a node.

        :param node: node whose other parts exist already.
        """
        self.node = node
        self.relay = FeedRelay(
            instance=node.identity.instance,
            region=self.settings.node.node.region,
            view=node.view,
            links=node.links,
            source=self,
            is_older=is_older_value,
            hide_secrets=hide_keys,
            on_changes=self.apply_changes,
            on_known=self.confirm_state,
            spawn=node.spawn,
            settings=self.settings.feed,
            get_sessions=lambda: node.peer_server.sessions.values(),
        )
        node.peer_handler.feed = self.relay
        node.pause_watch.listeners.append(self.relay.on_pause)
        self.probe_server = HttpServer(
            self.handle_probe,
            limits=self.settings.node.http_limits,
            report_failure=node.report_bad_request,
            head_memory=node.head_memory,
            reserved_descriptors=0,
            max_connections=MAX_PROBE_CONNECTIONS,
        )
        self.probe_acceptor = Acceptor(receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        self.probe_acceptor.make_room = self.probe_server.make_room
        self.probe_acceptor.gate = self.probe_server.gate

    def get_calling_service(self) -> str:
        """Return the service of the server on this machine."""
        return self.settings.node.node.service

    def is_ready(self) -> bool:
        """Return whether configuration and servers are known and were confirmed."""
        return self.node.store.has_policy and self.relay.is_confirmed

    def confirm_state(self, at: float) -> None:
        """Count list and policy in force as the newest ones at a time.

        A configuration that can't be used may withdraw keys, and confirms nothing.
        """
        self.node.list_age.confirm(at)
        if self.is_configuration_applied:
            self.node.policy_confirmation.confirm(at)

    async def read_snapshot(self, *, may_be_stale: bool = False) -> Snapshot | Failure:
        """Read every key of the store in the current settings."""
        return await self.store_client.read_snapshot(may_be_stale=may_be_stale)

    async def watch(self, after: int, *, wait_s: float) -> ChangePage | Failure:
        """Wait for changes of the store in the current settings."""
        return await self.store_client.watch(after, wait_s=wait_s)

    async def run(self) -> None:
        """Run the watches and the readiness probe until cancelled."""
        await self.node.listen(
            self.settings.readiness_address,
            self.probe_server.serve_connection,
            self.probe_acceptor,
        )
        async with trio.open_nursery() as nursery:
            for function in (
                self.probe_server.watch_connections,
                self.relay.run,
                self.watch_expiring_entries,
                self.watch_settings,
            ):
                nursery.start_soon(self.node.supervise, function)

    async def handle_probe(self, request: HttpRequest) -> HttpResponse:
        if not request.target.startswith(READINESS_PATH):
            return HttpResponse(404)
        node = self.node
        is_serving = (
            self.is_ready()
            and node.call_acceptor.is_listening
            and not node.planned_stop.is_requested
            and not node.authenticator.is_outdated
        )
        return HttpResponse(200 if is_serving else 503)

    def apply_changes(self, changes: list[KeyChange]) -> None:
        """Apply changes of the store to the node.

        :param changes: changed keys.
        """
        for change in changes:
            try:
                self.apply_change(change)
            except Exception:
                # An exception in one change must not prevent the others.
                self.node.report_internal_error()
        # A new configuration may add services of entries that were read before.
        self.apply_list()

    def apply_change(self, change: KeyChange) -> None:
        if change.key == CONFIG_KEY:
            self.apply_configuration(change.value)
        elif change.key.startswith(SERVERS_PREFIX):
            self.apply_server_change(change)

    def apply_configuration(self, value: bytes | None) -> None:
        if value is None:
            return
        self.is_configuration_applied = False
        config = parse_configuration(value)
        if isinstance(config, Failure):
            log_message("store: configuration ignored", why=config.detail)
            return
        self.unread_fields.record(msgspec.json.decode(value))
        if self.is_new(config):
            self.node.exchange.apply_document(config.version, render_policy(config))
        self.is_configuration_applied = True

    def is_new(self, config: Configuration) -> bool:
        """Return whether a configuration is to be brought into force.

        A peer of a release that knows no keys passes a version on without them.
        """
        store = self.node.store
        lacks_keys = config.uses_keys and not store.policy.uses_keys
        is_same = config.version == store.version
        return config.version > store.version or (is_same and lacks_keys)

    def apply_server_change(self, change: KeyChange) -> None:
        identity = change.key.removeprefix(SERVERS_PREFIX)
        if change.value is None:
            self.servers.remove_entry(
                identity, trio.current_time(), recovered_at=self.relay.recovered_at
            )
            return
        server = parse_server_entry(change.value)
        if isinstance(server, Failure):
            log_message("store: entry ignored", entry=identity, why=server.detail)
            return
        self.servers.accept_entry(
            identity, server, change.read_at, recovered_at=self.relay.recovered_at
        )
        host = parse_address(server.address).host
        if host == parse_address(self.settings.node.backend.address).host:
            # It may have been away since the last change that was read.
            self.node.limits.keeper.rings.forget(trio.current_time())

    def apply_list(self) -> None:
        """Apply the list of servers to the node."""
        self.list_version += 1
        instances = self.servers.build_instances(self.node.store.policy.services)
        change = self.node.view.apply_list(
            self.list_version, instances, trio.current_time()
        )
        if change is not None and not change.is_empty:
            log_message(
                "store: servers changed",
                added=change.added,
                removed=[item.name for item in change.removed],
                leaving=change.leaving,
                restarted=change.restarted,
            )
        self.node.on_list_changed(change)

    async def watch_expiring_entries(self) -> None:
        """Drop and use entries whose time is over after an outage of the store."""
        while True:
            await sleep_until_next_tick(EXPIRY_CHECK_INTERVAL_S)
            now = trio.current_time()
            was_dropped = self.servers.drop_expired_entries(now)
            was_used = self.servers.use_held_entries(now)
            if was_dropped or was_used:
                self.apply_list()

    async def watch_settings(self) -> None:
        """Watch the settings file, which may change with or without a signal."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(SETTINGS_CHECK_INTERVAL_S):
                    await anext(signals)
                self.reload_changed_settings()

    def reload_changed_settings(self) -> None:
        """Apply the settings file if its text has changed."""
        try:
            text = self.path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log_message("settings: not read", why=repr(error))
            return
        if text != self.settings_text:
            self.apply_settings(text)
            self.settings_text = text

    def apply_settings(self, text: str) -> None:
        """Apply the settings that may change while the process runs."""
        settings = parse_platform_settings(text)
        if isinstance(settings, Failure):
            log_message("settings: ignored", why=settings.detail)
            return
        self.settings = settings
        log_settings("settings: read again", settings)
        self.servers.regions = settings.regions
        self.node.authenticator.bounds = KeyBounds.build(settings.node.bounds)
        self.node.limits.keeper.set_bounds(KeeperBounds.build(settings.node.bounds))
        backend_address = parse_address(settings.node.backend.address)
        self.node.backend_client.set_address(backend_address.host, backend_address.port)
        self.node.executor.service = settings.node.node.service
        store_address = parse_address(settings.node.platform.address)
        if store_address != self.store_client.address:
            self.store_client = StoreClient(store_address)


def hide_keys(key: str, value: bytes) -> bytes:
    """Return the value of a key of the store without keys of tenants."""
    return hash_keys(value) if key == CONFIG_KEY else value


def log_settings(message: str, settings: PlatformSettings) -> None:
    """Log the settings that may change while the process runs.

    :param message: type of the log line.
    """
    node = settings.node
    log_message(
        message,
        service=node.node.service,
        server=node.backend.address,
        store=node.platform.address,
        fields_not_read=find_unread_fields(tomllib.loads(settings.text), SettingsFile),
    )
