"""Verdict on the requests of a play, by the platform's rules."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from catkinpost_standins.plays.client import Fate
from catkinpost_standins.plays.fleet import GRACE_S
from catkinpost_standins.plays.server import Run

__all__ = ["OTHER_PATH", "TOUCH_S", "Disruption", "Verdict"]

LOSS_SLACK_S = 0.2
LATE_SENDER_S = 3.0
LATE_AFTER_S = 0.5
TOUCH_S = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
UNKNOWN_STATUSES = (500, 502, 504)
# Failure that servers sign.
SERVER_FAILURE_STATUS = 504
# Route of requests that another machine takes, which is not stopped.
OTHER_PATH = "/entry/"
TIME_IS_OVER = "its time was over"
BROKEN_ENDS = ("closed", "cut", "reset", "dropped")


@dataclass(frozen=True)
class Disruption:
    """Unplanned disruption of a machine or of a link to it.

    :param cause: what it was.
    :param server: id of the server behind it.
    :param prefixes: prefixes of the routes to the server's service.
    """

    cause: str
    server: str
    prefixes: tuple[str, ...]
    started_at: float
    ended_at: float

    def touches(self, fate: Fate, runs: list[Run]) -> bool:
        """Whether a request may have met it, or began within touch-s behind it."""
        if fate.ended_at < self.started_at or fate.started_at > self.ended_at + TOUCH_S:
            return False
        if not runs:
            return fate.path.startswith(self.prefixes)
        return any(run.server == self.server for run in runs)


@dataclass
class Verdict:
    """Judges the requests of one play.

    :param fates: requests as their clients saw them.
    :param runs: requests as the servers saw them.
    :param work_at: time of the planned work.
    :param stops: times of SIGTERM to the machine of the entry, one for each process.
    :param limit_s: seconds until the deadline or the time-out of the route.
    :param is_unsafe: whether a request may run once at most.
    :param limit_before_s: the same before the planned work, if that changes it.
    :param disruptions: unplanned disruptions; the rules on losses leave out requests
        that may have met one.
    :ivar excused: number of ends that the rules excuse, by kind and cause.
    :ivar failures: number of own failures, by kind.
    """

    fates: list[Fate]
    runs: dict[str, list[Run]]
    work_at: float
    stops: list[float]
    limit_s: float
    is_unsafe: bool
    limit_before_s: float | None = None
    disruptions: list[Disruption] = field(default_factory=list)
    excused: Counter = field(default_factory=Counter)
    failures: Counter = field(default_factory=Counter)

    def find(self) -> list[str]:
        """Return a line for each request that broke a rule."""
        lines = []
        for fate in self.fates:
            runs = self.runs.get(fate.attempt, [])
            rules = [*self.check_runs(fate, runs), *self.check_end(fate, runs)]
            if rules:
                lines.append(f"{' '.join(rules)} {self.describe(fate, runs)}")
        sent = {fate.attempt for fate in self.fates}
        for attempt in self.runs.keys() - sent:
            course = "; ".join(run.describe(self.work_at) for run in self.runs[attempt])
            lines.append(f"UNASKED {attempt or 'no id'}, that no client sent: {course}")
        return lines

    def describe(self, fate: Fate, runs: list[Run]) -> str:
        """Return the course of a request, relative to the planned work."""
        zero = self.work_at
        sent = "never" if fate.sent_at is None else f"{fate.sent_at - zero:+.3f}"
        course = "; ".join(run.describe(zero) for run in runs) or "none"
        return (
            f"{fate.attempt} {fate.path} place {fate.place}"
            f" {'kept' if fate.is_reused else 'new'}: {fate.started_at - zero:+.3f}"
            f" sent {sent}, {fate.end} {fate.status or ''} {fate.ended_at - zero:+.3f};"
            f" runs {course}"
        )

    def check_runs(self, fate: Fate, runs: list[Run]) -> Iterator[str]:
        begun = [run for run in runs if run.began_at is not None]
        if self.is_unsafe and len(begun) > 1:
            yield "TWICE"
        for run in runs:
            is_same = (run.method, run.path) == (fate.method, fate.path)
            if not is_same or run.upload not in (None, fate.upload):
                yield "UNASKED"
        if fate.end == "malformed":
            yield "MIXED"
        if fate.end != "answered":
            return
        if self.is_unsafe and fate.status in NOT_RUN_STATUSES and begun:
            yield "REFUSED"
        if fate.is_followed:
            yield "MIXED"
        if fate.named not in ("", fate.attempt):
            yield "MIXED"
        ends = [run.end for run in runs]
        is_whole = fate.is_signed and fate.is_whole_body and "done" in ends
        if fate.status < 300 and not is_whole:
            yield "MIXED"
        is_given = fate.status == SERVER_FAILURE_STATUS and "deadline" in ends
        if fate.status >= 300 and fate.is_signed and not is_given:
            yield "MIXED"

    def check_end(self, fate: Fate, runs: list[Run]) -> Iterator[str]:
        """Yield the rule that a request's end broke."""
        if fate.end in ("refused", "unsent", "malformed"):
            return
        if fate.end == "no answer":
            # An answer that has begun, or one behind it, waits for its reader.
            is_over = fate.ended_at - fate.started_at >= self.limit_s + LATE_AFTER_S
            is_due = not fate.place or is_over and not fate.is_blocked
            if not fate.status and is_due:
                yield "LATE"
        elif fate.end in BROKEN_ENDS:
            excuse = self.find_excuse(fate, runs)
            if not excuse:
                yield "LOST"
            else:
                self.excused[f"{fate.end}, {excuse}"] += 1
        elif not fate.is_signed and fate.status not in NOT_RUN_STATUSES:
            yield from self.check_own_failure(fate, runs)
        elif not fate.is_signed:
            yield from self.check_own_refusal(fate, runs)

    def check_own_failure(self, fate: Fate, runs: list[Run]) -> Iterator[str]:
        kind = f"own {fate.status}, runs {sorted({run.end for run in runs})}"
        self.failures[kind] += 1
        if fate.status not in UNKNOWN_STATUSES:
            yield "DENIED"
        excuse = self.find_excuse(fate, runs)
        has_run = any(
            run.end == "done" and run.ended_at < fate.ended_at for run in runs
        )
        is_disrupted = excuse in {item.cause for item in self.disruptions}
        if has_run and excuse != TIME_IS_OVER and not is_disrupted:
            yield "DROPPED"
        is_at_work = was_at_work(fate, runs)
        if is_at_work and not excuse:
            yield "LOST-STOP" if self.stops else "BROKEN-OFF"
        if (has_run or is_at_work) and is_disrupted:
            self.excused[f"own {fate.status}, {excuse}"] += 1

    def check_own_refusal(self, fate: Fate, runs: list[Run]) -> Iterator[str]:
        """Yield the rule that a refusal in place of a server's work broke."""
        last = find_last(runs)
        if last is None or last.end == "shed":
            return
        is_stopping = any(at <= fate.ended_at for at in self.stops)
        is_replaced = is_stopping and was_at_work(fate, runs)
        if is_replaced and not self.find_excuse(fate, runs):
            yield "LOST-STOP"

    def find_excuse(self, fate: Fate, runs: list[Run]) -> str:
        """Return why the rules excuse an end without the server's answer."""
        touching = (item.cause for item in self.disruptions if item.touches(fate, runs))
        return self.find_usual_excuse(fate, runs) or next(touching, "")

    def find_usual_excuse(self, fate: Fate, runs: list[Run]) -> str:
        """Return an excuse that needs no disruption."""
        sent_at = fate.sent_at or fate.ended_at
        if not runs and fate.place:
            return "sent behind another"
        if not runs and fate.ended_at - sent_at <= LOSS_SLACK_S:
            return "not passed on" if fate.sent_at else "not sent whole"
        limit_s = self.limit_s
        if fate.ended_at < self.work_at:
            limit_s = self.limit_before_s or limit_s
        if fate.ended_at - fate.started_at >= limit_s:
            return TIME_IS_OVER
        last = find_last(runs)
        if last is not None and last.end == "broken off":
            return "the server broke off"
        stopped_at = max((at for at in self.stops if at <= fate.ended_at), default=None)
        if stopped_at is None or fate.path.startswith(OTHER_PATH):
            return ""
        last_sixth = stopped_at + GRACE_S * 5 / 6
        is_at_work = any(
            run.began_at is not None and (run.ended_at or fate.ended_at) >= last_sixth
            for run in runs
        )
        if is_at_work and sent_at <= stopped_at + LATE_SENDER_S:
            return "at work at the end of the grace time"
        return ""


def find_last(runs: list[Run]) -> Run | None:
    """Return the run that arrived last, on whichever server."""
    return max(runs, key=lambda run: run.arrived_at, default=None)


def was_at_work(fate: Fate, runs: list[Run]) -> bool:
    """Whether a server was at work on a request when an answer stood in its place."""
    return any(
        run.began_at is not None
        and (run.end == "cut" or (run.ended_at or fate.ended_at) >= fate.ended_at)
        for run in runs
    )
