"""Figures of one run, worked out from its records."""

import msgspec

from catkinpost_standins.bench.load import Record

__all__ = ["RunResult", "goodput", "percentile", "recovery_s", "summarize"]

BIN_S = 0.5
RECOVERED_SHARE = 0.95
SMOOTH_BINS = 4


class RunResult(msgspec.Struct, kw_only=True):
    """Figures of one variant in one scenario.

    :param goodput: whole requests per second in the measured window, by kind.
    :param offered: requests per second in the measured window, by kind.
    :param recovery_s: seconds until goodput is back; ``None`` when it is not.
    :param p50_ms: median by kind.
    :param p99_ms: 99th percentile by kind, over answered requests.
    :param run_twice: keys that were run more than once.
    :param false_not_run: keys told not run last although they ran.
    :param wrong_answers: answers that were cut or swapped.
    :param sendings: sendings for each request.
    :param series: goodput in each bin of time.
    """

    scenario: str
    variant: str
    seed: int
    goodput: dict[str, float]
    offered: dict[str, float]
    recovery_s: float | None
    p50_ms: dict[str, float]
    p99_ms: dict[str, float]
    run_twice: int
    false_not_run: int
    wrong_answers: int
    sendings: float
    reasons: dict[str, int]
    counters: dict[str, int]
    series: dict[str, list[float]]


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def bins(times: list[float], duration: float) -> list[float]:
    """Return events per second in each bin of time."""
    counts = [0] * (int(duration / BIN_S) + 1)
    for time in times:
        if 0 <= time < duration:
            counts[int(time / BIN_S)] += 1
    return [count / BIN_S for count in counts]


def goodput(records: list[Record], start: float, end: float) -> dict[str, float]:
    """Return whole requests per second, by kind, in a window of time."""
    found: dict[str, float] = {}
    for record in records:
        found.setdefault(record.kind, 0.0)
        if record.done is not None and start <= record.done < end:
            found[record.kind] += 1
    return {kind: round(count / (end - start), 2) for kind, count in found.items()}


def offered(records: list[Record], start: float, end: float) -> dict[str, float]:
    found: dict[str, float] = {}
    for record in records:
        if start <= record.sent < end:
            found[record.kind] = found.get(record.kind, 0.0) + 1
    return {kind: round(count / (end - start), 2) for kind, count in found.items()}


def recovery_s(
    records: list[Record], calm: tuple[float, float], end: float, duration: float
) -> float | None:
    """Return the time from a trigger's end until goodput is back.

    Goodput counts requests by the time of their first sending, so that answers
    to old requests do not pass for recovery. It is back when two seconds in a
    row reach 95 % of what the calm phase had, for the requests offered.

    :param records: all requests.
    :param calm: start and end of the calm phase.
    :param end: end of the trigger.
    :param duration: end of the run.
    """
    before = success_share(records, *calm)
    step = 0
    while end + (step + SMOOTH_BINS) * BIN_S <= duration:
        start = end + step * BIN_S
        share = success_share(records, start, start + SMOOTH_BINS * BIN_S)
        if share >= RECOVERED_SHARE * before:
            return step * BIN_S
        step += 1
    return None


def success_share(records: list[Record], start: float, end: float) -> float:
    sent = [record for record in records if start <= record.sent < end]
    done = [record for record in sent if record.done is not None]
    return len(done) / len(sent) if sent else 0.0


def summarize(
    records: list[Record],
    journals: dict[str, dict],
    counters: dict[str, int],
    *,
    scenario: str,
    variant: str,
    seed: int,
    window: tuple[float, float],
    calm: tuple[float, float],
    trigger_end: float,
    duration: float,
) -> RunResult:
    """Work out the figures of one run.

    :param records: all requests.
    :param journals: what the backend servers ran.
    :param counters: events that the nodes counted, summed up.
    :param window: measured window of time.
    :param calm: calm phase.
    :param trigger_end: end of the trigger.
    :param duration: length of the run.
    """
    runs: dict[str, int] = {}
    for journal in journals.values():
        for key, count in journal["runs_by_key"].items():
            runs[key] = runs.get(key, 0) + count
    latencies: dict[str, list[float]] = {}
    reasons: dict[str, int] = {}
    for record in records:
        if record.done is None:
            name = f"{record.kind}: {record.told} {record.reason}"
            reasons[name] = reasons.get(name, 0) + 1
        elif window[0] <= record.sent < window[1]:
            seconds = record.done - record.sent
            latencies.setdefault(record.kind, []).append(seconds * 1000)
    kinds = sorted({record.kind for record in records})
    return RunResult(
        scenario=scenario,
        variant=variant,
        seed=seed,
        goodput=goodput(records, *window),
        offered=offered(records, *window),
        recovery_s=recovery_s(records, calm, trigger_end, duration),
        p50_ms={
            kind: round(percentile(values, 0.5), 1)
            for kind, values in latencies.items()
        },
        p99_ms={
            kind: round(percentile(values, 0.99), 1)
            for kind, values in latencies.items()
        },
        run_twice=sum(count > 1 for count in runs.values()),
        false_not_run=sum(
            record.told == "not-run" and runs.get(record.key, 0) > 0
            for record in records
        ),
        wrong_answers=sum(record.wrong for record in records),
        sendings=round(
            sum(record.sendings for record in records) / max(1, len(records)), 3
        ),
        reasons=dict(sorted(reasons.items(), key=lambda item: -item[1])),
        counters=counters,
        series={
            kind: bins(
                [
                    record.done
                    for record in records
                    if record.kind == kind and record.done is not None
                ],
                duration,
            )
            for kind in kinds
        },
    )
