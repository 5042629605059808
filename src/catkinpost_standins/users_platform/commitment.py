"""Verdict on what the store acknowledged: configurations, and servers that leave."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from catkinpost.platform.names import CONFIG_KEY, SERVERS_PREFIX
from catkinpost_standins.users_platform import verdict
from catkinpost_standins.users_platform.server import Run, StandInServer
from catkinpost_standins.users_platform.store import Watch, Write
from catkinpost_standins.users_platform.traffic import Call, Fate

__all__ = ["DRAIN_S", "CommitmentVerdict"]

DRAIN_S = 2.5
OUTER_S = 5.0
ROLLBACK_SLACK_S = 0.25
SLOWED_SLACK_FACTOR = 8
NOT_FOUND = 404
# What puts a machine, or with no machine the store, out of touch.
DISTURBING = ("stop", "again", "start", "kill", "freeze", "store")
# Troubles in which the store is neither down nor slow and loses no answers.
STRETCHING = {"some"}


@dataclass(frozen=True)
class Handling:
    """How a request was handled, which tells the versions that may be in force.

    :param at: time at which the server received it, or of the 404.
    :param service: service that ran it, ``None`` for a 404.
    :param allowed: positions of the versions that allow this.
    :param disturbed: what put its machine out of touch.
    """

    fate: Fate
    at: float
    service: str | None
    allowed: list[int]
    disturbed: set[str]


def choose_service(config: dict, call: Call) -> str | None:
    """Return the service to which a version sends a call, ``None`` without a route."""
    for route in config["routes"]:
        if call.path.startswith(route["prefix"]):
            return route["service"]
    return None


@dataclass
class CommitmentVerdict:
    """Judges whether acknowledged configurations and leavings are kept.

    :param fates: requests as their clients saw them.
    :param runs: requests as the servers saw them.
    :param servers: all servers, with the requests that reached them.
    :param disruptions: what was done meanwhile.
    :param writes: what the store has acknowledged.
    :param watches: calls by which machines acknowledge what they have read.
    :ivar judged: number of requests that a rule was applied to.
    """

    fates: list[Fate]
    runs: dict[bytes, list[Run]]
    servers: list[StandInServer]
    disruptions: list[verdict.Disruption]
    writes: list[Write]
    watches: list[Watch]
    findings: list[verdict.Finding] = field(default_factory=list)
    excused: list[verdict.Finding] = field(default_factory=list)
    judged: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        # A version or a leaving that is written again keeps its time.
        versions: dict[int, tuple[float, dict]] = {}
        self.left: dict[str, Write] = {}
        for write in self.writes:
            document = json.loads(write.value or b"{}")
            if write.key == CONFIG_KEY:
                versions.setdefault(document["version"], (write.at, document))
            elif document.get("state") != "ready":
                self.left.setdefault(write.key, write)
        self.versions = list(versions.values())

    def find(self) -> list[verdict.Finding]:
        """Return what broke a rule; what a rule excuses is in ``excused``."""
        handlings = [item for fate in self.fates for item in self.read_handlings(fate)]
        self.check_versions(handlings)
        self.check_regress([item for item in handlings if item.allowed])
        self.check_drains()
        return self.findings

    def report(self, rule: str, fate: Fate, reason: str, excuse: str = "") -> None:
        runs = self.runs.get(fate.attempt, [])
        remark = f"({reason}; excused: {excuse})" if excuse else f"({reason})"
        finding = verdict.Finding(
            rule=rule, fate=fate, runs=runs, disruption=None, excuse=remark
        )
        (self.excused if excuse else self.findings).append(finding)

    def read_handlings(self, fate: Fate) -> Iterator[Handling]:
        seen: list[tuple[float, str | None]] = [
            (run.arrived_at, run.service)
            for run in self.runs.get(fate.attempt, [])
            if run.began_at is not None
        ]
        if fate.end == "answered" and fate.status == NOT_FOUND:
            seen.append((fate.ended_at, None))
        for at, service in seen:
            allowed = [
                position
                for position, (since, config) in enumerate(self.versions)
                if since <= at and choose_service(config, fate.call) == service
            ]
            disturbed = self.find_disturbances(fate.host, fate.started_at, at)
            yield Handling(fate, at, service, allowed, disturbed)

    def check_versions(self, handlings: list[Handling]) -> None:
        """Find requests that no version allows, or only one that is too old."""
        for item in handlings:
            began_at = item.fate.started_at
            by = f"run by {item.service}" if item.service else "refused with 404"
            limit = began_at - verdict.PROPAGATION_S
            known = [at for at, _ in self.versions if at < limit]
            self.judged["as only a later version allows"] += 0 not in item.allowed
            if not item.allowed and item.service:
                self.report("ROUTE", item.fate, f"{by}, as no version allows")
            elif item.allowed and (later := known[item.allowed[-1] + 1 :]):
                excuses = [self.find_excuse(item, at) for at in later]
                excuse = "" if "" in excuses else excuses[-1]
                reason = f"{by} {began_at - later[0]:.3f} s after a later version"
                self.report("CONFIG", item.fate, reason, excuse)

    def find_excuse(self, item: Handling, since: float) -> str:
        """Return why a request need not heed a version, empty if it must."""
        if item.disturbed:
            return "out of touch"
        began_at = item.fate.started_at
        if not self.find_disturbances("", began_at, item.at):
            return ""
        is_stretched = self.find_disturbances("", since, item.at) <= STRETCHING
        is_late = began_at > since + verdict.PROPAGATION_S + OUTER_S
        return "" if is_stretched and is_late else "store in trouble"

    def check_regress(self, handlings: list[Handling]) -> None:
        """Find requests for which a process went back behind a version it has shown."""
        shown: dict[tuple, list[tuple[float, int]]] = defaultdict(list)
        for item in sorted(handlings, key=lambda item: item.at):
            effects = shown[self.find_process(item.fate)]
            if item.service and item.allowed[0] > (effects[-1][1] if effects else 0):
                effects.append((item.at, item.allowed[0]))
        for item in handlings:
            factor = SLOWED_SLACK_FACTOR if "freeze" in item.disturbed else 1
            limit = item.fate.started_at - ROLLBACK_SLACK_S * factor
            effects = shown[self.find_process(item.fate)]
            earlier = [position for at, position in effects if at < limit]
            self.judged["after a version was shown"] += bool(earlier)
            if earlier and item.allowed[-1] < earlier[-1]:
                self.report("CONFIG", item.fate, "its process showed a later version")

    def find_process(self, fate: Fate) -> tuple[str, int]:
        """Return the machine at which a request began, and its starts before."""
        return fate.host, sum(
            item.kind == "start"
            and item.host == fate.host
            and item.at <= fate.started_at
            for item in self.disruptions
        )

    def check_drains(self) -> None:
        """Find requests that reach a server after the time of its drain."""
        fates = {fate.attempt: fate for fate in self.fates}
        for server in self.servers:
            left = self.left.get(SERVERS_PREFIX + server.instance)
            for attempt, at in server.arrivals if left else []:
                if attempt in fates and at > left.at + DRAIN_S:
                    self.judged["after a drain"] += 1
                    fate = fates[attempt]
                    excuse = self.find_drain_excuse(server, left, fate, at)
                    reason = f"at {server.instance} {at - left.at:.3f} s after it left"
                    self.report("DRAIN", fate, reason, excuse)

    def find_drain_excuse(
        self, server: StandInServer, left: Write, fate: Fate, at: float
    ) -> str:
        """Return why a request may reach a server that left, empty if it may not.

        The store's acknowledgement counts while the store is stable, the machine's own
        one also while it is not, unless the store has lost the write.
        """
        began_at = fate.started_at
        hosts = (fate.host, server.host)
        if any(self.find_disturbances(host, began_at, at) for host in hosts):
            return "out of touch"
        spans = ((left.at, left.at), (began_at, at))
        if not any(self.find_disturbances("", *span) for span in spans):
            return ""
        is_noted = any(
            watch.host == fate.host
            and watch.after >= left.revision
            and left.at <= watch.at < at - DRAIN_S
            for watch in self.watches
        )
        is_lost = any(
            item.detail == "restored" and item.at <= left.at <= item.until
            for item in self.disruptions
        )
        return "" if is_noted and not is_lost else "store in trouble"

    def find_disturbances(self, host: str, since: float, until: float) -> set[str]:
        """Return what put a machine, or the store, out of touch in a span.

        It counts from ``touch-s`` before the span; a stop is over at once.
        """
        limit = since - verdict.TOUCH_S
        return {
            item.detail or item.kind
            for item in self.disruptions
            if item.kind in DISTURBING
            and item.host == host
            and item.at <= until
            and (item.at if item.kind == "stop" else item.until) >= limit
        }
