"""Status report of a node."""

import math

import trio

from catkinpost.coordination.configuration.backend_watch import BackendWatch
from catkinpost.coordination.configuration.policy_watch import PolicyWatch
from catkinpost.coordination.environment import NodeParts
from catkinpost.protocol.report import (
    OutcomeRow,
    PeerReport,
    PolicyReport,
    ShareRow,
    StatusReport,
    WorkspaceRow,
)
from catkinpost.state.instance_view import Instance
from catkinpost.transport.platform_client import PlatformClient

__all__ = ["StatusBuilder"]


class StatusBuilder:
    """Builder of status reports.

    :param node: the node.
    :param platform: client whose reads are counted.
    :param policy_watch: watch of the policy.
    :param backend_watch: watch of the backend server.
    """

    def __init__(
        self,
        node: NodeParts,
        *,
        platform: PlatformClient,
        policy_watch: PolicyWatch,
        backend_watch: BackendWatch,
    ) -> None:
        self.node = node
        self.platform = platform
        self.policy_watch = policy_watch
        self.backend_watch = backend_watch

    def build(self) -> StatusReport:
        """Build a report of the current state."""
        node = self.node
        admission = node.executor.admission
        node_settings = node.settings.node
        backend = self.backend_watch.report
        list_age_s = node.list_age.get_age(trio.current_time())
        return StatusReport(
            instance=node_settings.instance,
            incarnation=node.identity.incarnation,
            service=node_settings.service,
            data_centre=node_settings.data_centre,
            region=node_settings.region,
            ready=node.environment.is_ready(),
            leaving=node.is_leaving,
            policy=self.build_policy(),
            list_version=node.view.version,
            limit=admission.limiter.get_limit(),
            in_flight=admission.in_flight,
            long_in_flight=admission.long_in_flight,
            queued=admission.queued,
            entry_calls=node.dispatcher.active_requests,
            request_bytes=node.request_memory.used_bytes,
            held_bytes=node.memory_account.used_bytes,
            head_bytes=node.head_memory.used_bytes,
            answer_bytes=node.answer_memory.used_bytes,
            backend_reachable=backend.reachable,
            backend_reported_in_flight=backend.in_flight,
            pauses=node.pause_watch.pauses,
            platform_bytes=self.platform.read_bytes,
            platform_reads=self.platform.reads,
            counters=dict(node.metrics.counters),
            outcomes=self.build_outcomes(),
            peers=[
                self.build_peer(item)
                for item in node.view.instances.values()
                if item.name != node_settings.instance
            ],
            list_age_s=None if list_age_s == math.inf else round(list_age_s, 3),
            workspaces=self.build_workspaces(),
        )

    def build_workspaces(self) -> list[WorkspaceRow]:
        """Build a row for each workspace that uses the node or has a share here."""
        limits = self.node.limits
        shares = self.build_shares()
        rows = []
        for name in sorted({*limits.use.counts, *shares}):
            section = self.node.store.policy.find_limited_workspace(name)
            has_limit = section is not None
            ring = limits.keeper.rings.ring
            rows.append(
                WorkspaceRow(
                    workspace=name,
                    rate=section.rate if has_limit else None,
                    burst=section.burst if has_limit else 0.0,
                    keepers=list(ring.find_keepers(name)) if has_limit else [],
                    events=dict(limits.use.counts.get(name, {})),
                    shares=shares.get(name, []),
                )
            )
        return rows

    def build_shares(self) -> dict[str, list[ShareRow]]:
        """Build the rows of the shares that the node keeps, by workspace."""
        now = trio.current_time()
        rows: dict[str, list[ShareRow]] = {}
        for (name, share), kept in sorted(self.node.limits.keeper.kept.items()):
            kept.bucket.refill(now)
            rows.setdefault(name, []).append(
                ShareRow(
                    share=share,
                    credit=round(kept.bucket.tokens, 3),
                    rate=round(kept.bucket.rate, 4),
                    settled=kept.is_settled,
                    granted=kept.granted,
                    refused=kept.refused,
                )
            )
        return rows

    def build_policy(self) -> PolicyReport:
        node = self.node
        store = node.store
        in_force_s = (
            None
            if store.in_force_at is None
            else trio.current_time() - store.in_force_at
        )
        watch = self.policy_watch
        return PolicyReport(
            version=store.version,
            digest=store.digest.hex(),
            in_force_s=in_force_s,
            source=store.source,
            platform_version=watch.platform_version,
            platform_error=watch.last_error,
            problems=[problem.format("policy") for problem in store.problems],
        )

    def build_outcomes(self) -> list[OutcomeRow]:
        rows = []
        for key, series in self.node.metrics.series.items():
            for (outcome, reason), count in sorted(series.outcomes.items()):
                rows.append(
                    OutcomeRow(
                        service=key.service,
                        request_class=key.call_class,
                        tenant=key.tenant,
                        outcome=outcome,
                        reason=reason,
                        count=count,
                    )
                )
        return rows

    def build_peer(self, item: Instance) -> PeerReport:
        node = self.node
        now = trio.current_time()
        link = node.links.links.get(item.name)
        stat = node.stats.stats.get(item.name)
        round_trip = link.round_trip_s if link is not None else None
        report = PeerReport(
            instance=item.name,
            service=item.service,
            state=item.state.value,
            connected=link is not None and link.is_up,
            round_trip_ms=None if round_trip is None else round_trip * 1000,
            policy_version=node.exchange.peer_versions.get(item.name),
        )
        if stat is None:
            return report
        return PeerReport(
            instance=report.instance,
            service=report.service,
            state=report.state,
            connected=report.connected,
            round_trip_ms=report.round_trip_ms,
            policy_version=report.policy_version,
            slowness=round(stat.get_apparent_slowness(now), 2),
            in_flight=stat.load.in_flight,
            limit=stat.load.limit,
            ejected=stat.ejected_until > now,
            on_trial=stat.on_trial,
            leaving=stat.load.leaving,
        )
