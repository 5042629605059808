"""Verdict on the requests of a soak, by the platform's rules."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import zip_longest

from catkinpost_standins.users_platform.server import Run
from catkinpost_standins.users_platform.traffic import Call, Fate

__all__ = ["Disruption", "Finding", "Verdict"]

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
PROPAGATION_S = 2.5
TOUCH_S = 3.0
# Work at the end of the grace time excuses only requests sent until then after SIGTERM.
LATE_SENDER_S = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# What a server answers with its signature, by the end of the run.
FAILURE_STATUSES = {"call failed": 500, "deadline": 504}
OWN_FAILURE_STATUSES = (500, 502, 504)
KEPT_LOSSES_ALLOWED = 3
# Requests without an answer so long after their time-out, of which some are allowed.
LATE_AFTER_S, LATE_ALLOWED = 0.5, 7
BROKEN_ENDS = ("closed", "reset", "unread")
SLOW_HABIT = "slow"
UNPLANNED = ("kill", "freeze")
OUT_OF_TOUCH = (*UNPLANNED, "store")
UNKNOWN_CALL = Call(route="unknown", host="", path="", unsafe=False, deadline_s=0.0)


@dataclass(kw_only=True)
class Disruption:
    """Planned work or a disruption, with times of the runtime's clock.

    :param kind: ``"stop"``, ``"again"`` for a further SIGTERM to the same process,
        ``"hup"``, ``"config"``, ``"drain"``, ``"store"``, ``"server"``,
        ``"burst"``, or unplanned ``"kill"`` and ``"freeze"``.
    :param host: machine concerned, empty for all.
    :param until: end of its effect.
    """

    kind: str
    host: str
    at: float
    until: float
    detail: str = ""


@dataclass(kw_only=True)
class Finding:
    """One request that broke a rule, or ended in a way that the rule excuses."""

    rule: str
    fate: Fate
    runs: list[Run]
    disruption: Disruption | None
    excuse: str = ""

    def describe(self, start: float) -> str:
        """Return the request's course in one line, relative to the disruption."""
        fate = self.fate
        near = self.disruption
        zero = near.at if near else start
        name = f"{near.kind} of {near.host or 'all'}" if near else "start"
        runs = "; ".join(
            f"{run.end} {format_time(run.arrived_at, zero)}"
            f"/{format_time(run.began_at, zero)}/{format_time(run.ended_at, zero)}"
            for run in self.runs
        )
        return (
            f"{self.rule} {fate.attempt.decode()} {fate.call.route} at {fate.host}"
            f" ({fate.habit}, place {fate.place}, {fate.behind} behind, {fate.used}"
            f" before): sent {format_time(fate.sent_at, zero)}, {fate.end}"
            f" {fate.status or ''} {format_time(fate.ended_at, zero)}"
            f" from the {name} at {zero - start:.3f}; {fate.received_bytes} bytes;"
            f" runs [{runs or 'none'}] {self.excuse}"
        )


def is_own_failure(fate: Fate) -> bool:
    """Whether a node answered with a failure that promises nothing."""
    is_own = fate.end == "answered" and fate.signature is None
    return is_own and fate.status in OWN_FAILURE_STATUSES


def name_failure(fate: Fate, runs: list[Run]) -> str:
    """Return how a request failed, for totals."""
    if fate.end == "no answer":
        return fate.end
    if any(run.end == "broken off" for run in runs):
        return f"own {fate.status}, server broke off"
    has_begun = any(run.began_at is not None for run in runs)
    return f"own {fate.status}, server {'' if has_begun else 'not '}begun"


def name_previous(attempt: bytes) -> bytes:
    """Return the id of the request that a client sent before another one."""
    client, _, number = attempt.rpartition(b"-")
    return b"%s-%d" % (client, int(number) - 1) if number.isdigit() else b""


def find_last(runs: list[Run]) -> Run | None:
    """Return the run that arrived last, on whichever server."""
    return max(runs, key=lambda run: run.arrived_at, default=None)


def format_time(at: float | None, zero: float) -> str:
    return "never" if at is None else f"{at - zero:+.3f}"


@dataclass
class Verdict:
    """Judges all requests of a soak.

    :param fates: requests as their clients saw them.
    :param runs: requests as the servers saw them.
    :param disruptions: what was done meanwhile.
    :param timeouts_s: time-outs of each route, each with the time of its sending.
    :param services: service of each machine, by host.
    """

    fates: list[Fate]
    runs: dict[bytes, list[Run]]
    disruptions: list[Disruption]
    timeouts_s: dict[str, list[tuple[float, float]]]
    services: dict[str, str] = field(default_factory=dict)
    excused: list[Finding] = field(default_factory=list)

    def find(self) -> list[Finding]:
        """Return what broke a rule; what a rule excuses is in ``excused``."""
        findings: list[Finding] = []
        kept: list[Finding] = []
        for fate in self.fates:
            runs = self.runs.get(fate.attempt, [])
            for rule in self.check_answer(fate, runs):
                near = self.find_near(fate)
                findings.append(
                    Finding(rule=rule, fate=fate, runs=runs, disruption=near)
                )
            lost = self.check_loss(fate, runs)
            if lost is None:
                continue
            if lost.excuse:
                self.excused.append(lost)
            elif lost.rule == "LOST-KEPT":
                kept.append(lost)
            else:
                findings.append(lost)
        findings += [*self.find_late(), *self.find_unknown()]
        if len(kept) > KEPT_LOSSES_ALLOWED:
            return findings + kept
        for finding in kept:
            finding.excuse = "(three are allowed)"
        self.excused += kept
        return findings

    def find_late(self) -> list[Finding]:
        """Return requests that had no answer long after their route's time-out.

        Few are allowed, and a quarter of those that last longer than it. Answers come
        in the order of requests, and a slow reader takes its own time for them.
        """
        ends = {fate.attempt: fate.ended_at for fate in self.fates}
        lasting, late = 0, []
        for fate in self.fates:
            is_judged = fate.end in ("answered", "no answer", *BROKEN_ENDS)
            is_being_read = fate.end == "answered" and fate.habit == SLOW_HABIT
            due_at = fate.started_at + max(self.list_timeouts(fate))
            if fate.place:
                due_at = max(due_at, ends.get(name_previous(fate.attempt), due_at))
            over_s = fate.ended_at - due_at
            if not is_judged or is_being_read or over_s < 0:
                continue
            if not self.is_in_touch(fate):
                continue
            lasting += 1
            if over_s >= LATE_AFTER_S:
                runs = self.runs.get(fate.attempt, [])
                late.append(Finding(rule="LATE", fate=fate, runs=runs, disruption=None))
        is_allowed = len(late) <= LATE_ALLOWED or len(late) <= lasting / 4
        return [] if is_allowed else late

    def find_unknown(self) -> Iterator[Finding]:
        """Yield a finding for each id that servers have run and no client has sent."""
        sent = {fate.attempt for fate in self.fates}
        for attempt, runs in self.runs.items():
            if attempt in sent:
                continue
            at = runs[0].arrived_at
            fate = Fate(
                attempt=attempt,
                call=UNKNOWN_CALL,
                host="no machine",
                habit="none",
                place=0,
                behind=0,
                used=0,
                started_at=at,
                sent_at=at,
                ended_at=at,
                end="unsent",
            )
            yield Finding(rule="UNASKED", fate=fate, runs=runs, disruption=None)

    def is_in_touch(self, fate: Fate) -> bool:
        """Whether a machine was in touch from a request's start to its end."""
        return not any(
            item.kind in (*OUT_OF_TOUCH, "stop")
            and item.host in ("", fate.host)
            and item.at <= fate.ended_at
            and item.until >= fate.started_at - TOUCH_S
            for item in self.disruptions
        )

    def check_answer(self, fate: Fate, runs: list[Run]) -> Iterator[str]:
        begun = [run for run in runs if run.began_at is not None]
        service = self.services.get(fate.host)
        if any(run.caller != service for run in begun if service is not None):
            yield "UNASKED"
        if fate.call.unsafe and len(begun) > 1:
            yield "TWICE"
        if fate.end == "malformed":
            yield "MIXED"
        if fate.end != "answered":
            return
        if fate.call.unsafe and fate.status in NOT_RUN_STATUSES and begun:
            yield "REFUSED"
        if fate.named not in (None, fate.attempt):
            yield "MIXED"
        elif fate.status < 300:
            sums = [run.checksum for run in runs if run.end == "done"]
            if fate.signature != b"sig." + fate.attempt or fate.checksum not in sums:
                yield "MIXED"
        elif fate.signature is not None:
            given = [FAILURE_STATUSES.get(run.end) for run in runs]
            if fate.signature != b"sig." + fate.attempt or fate.status not in given:
                yield "MIXED"

    def check_loss(self, fate: Fate, runs: list[Run]) -> Finding | None:
        """Return a finding for a request that ended without its answer."""
        near = self.find_near(fate)
        is_replaced = self.is_replaced(fate, runs, near)
        if fate.end == "no answer" or is_own_failure(fate) and not is_replaced:
            return Finding(
                rule="FAILED",
                fate=fate,
                runs=runs,
                disruption=near,
                excuse=f"(noted only: {name_failure(fate, runs)})",
            )
        if fate.end not in BROKEN_ENDS and not is_replaced:
            return None
        rule = f"LOST-{near.kind.upper()}" if near else "CUT"
        if near is None and fate.used and runs:
            rule = "LOST-KEPT"
        excuse = self.find_excuse(fate, runs, near)
        return Finding(rule=rule, fate=fate, runs=runs, disruption=near, excuse=excuse)

    def is_replaced(self, fate: Fate, runs: list[Run], near: Disruption | None) -> bool:
        """Whether an own answer stands for the one of a server at work.

        Away from a stop this is judged only for failures that promise nothing.
        """
        if fate.end != "answered" or fate.signature is not None or fate.status < 300:
            return False
        if not is_own_failure(fate):
            last = find_last(runs)
            is_refused = last is not None and last.end == "refused"
            if near is None or near.kind != "stop" or is_refused:
                return False
        return any(
            run.end == "cut" or run.ended_at is None or run.ended_at > fate.ended_at
            for run in runs
            if run.began_at is not None
        )

    def find_near(self, fate: Fate) -> Disruption | None:
        """Return the planned work that a request's end counts to, a stop first.

        Of several stops it is the last one: the ones before it ended other processes.
        """
        order = {"stop": 0, "hup": 1, "config": 2}
        matches = [
            item
            for item in self.disruptions
            if item.kind in order
            and item.host in ("", fate.host)
            and item.at <= fate.ended_at <= item.until
            and (item.kind != "hup" or fate.sent_at <= item.at + PROPAGATION_S)
        ]
        return min(matches, key=lambda item: (order[item.kind], -item.at), default=None)

    def find_excuse(self, fate: Fate, runs: list[Run], near: Disruption | None) -> str:
        """Return why the rule does not count a loss, empty if it does."""
        is_late = fate.ended_at - fate.sent_at > LOSS_SLACK_S
        if not runs and (fate.place or not is_late):
            return "(not passed on)"
        limit_s = min(fate.call.deadline_s, *self.list_timeouts(fate))
        if fate.ended_at - fate.started_at >= limit_s:
            return "(its time was over)"
        last = find_last(runs)
        if last is not None and last.end == "broken off":
            return "(the server broke off)"
        if self.is_disrupted(fate):
            return "(unplanned disruption)"
        if near is None or near.kind != "stop":
            return ""
        last_sixth = near.at + GRACE_S * 5 / 6
        is_at_work = any(
            run.began_at is not None and (run.ended_at or fate.ended_at) >= last_sixth
            for run in runs
        )
        if is_at_work and fate.sent_at <= near.at + LATE_SENDER_S:
            return "(the server was at work at the end of the grace time)"
        return ""

    def list_timeouts(self, fate: Fate) -> Iterator[float]:
        """List the time-outs that may be in force for a request, in seconds."""
        timeouts = self.timeouts_s[fate.call.route]
        next_times = [at for at, _ in timeouts[1:]]
        for (at, timeout_s), next_at in zip_longest(timeouts, next_times):
            is_over = next_at is not None and (
                self.find_propagation_end(next_at, fate.host) < fate.started_at
            )
            if at <= fate.ended_at and not is_over:
                yield timeout_s

    def find_propagation_end(self, at: float, host: str) -> float:
        """Return when a machine must handle requests by a configuration.

        The bound holds for machines that have been in touch for ``touch-s``.
        """
        ends_at = at + PROPAGATION_S
        for item in sorted(self.disruptions, key=lambda item: item.at):
            is_out = item.kind in OUT_OF_TOUCH and item.host in ("", host)
            in_touch_at = item.until + TOUCH_S
            if is_out and item.at <= ends_at and in_touch_at >= at:
                ends_at = max(ends_at, in_touch_at + PROPAGATION_S)
        return ends_at

    def is_disrupted(self, fate: Fate) -> bool:
        """Whether unplanned disruption lies between ``touch-s`` before and the end.

        A connection may end only where its own machine is concerned; an own answer
        may stand for a run that ended with another machine.
        """
        is_answered = fate.end == "answered"
        return any(
            item.kind in UNPLANNED
            and (is_answered or item.host == fate.host)
            and item.at <= fate.ended_at
            and item.until >= fate.started_at - TOUCH_S
            for item in self.disruptions
        )

    def count_excused(self) -> Counter[str]:
        """Count what the rules excuse, by rule and cause."""
        return Counter(f"{item.rule} {item.excuse}" for item in self.excused)

    def count(self) -> Counter[str]:
        """Count the requests by their end."""
        return Counter(f"{fate.end} {fate.status or ''}".strip() for fate in self.fates)
