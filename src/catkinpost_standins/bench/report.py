"""Table and plot of a set of runs."""

from pathlib import Path

from catkinpost_standins.bench.measure import BIN_S, RunResult

__all__ = ["format_table", "write_plot"]


def format_table(results: list[RunResult]) -> str:
    """Return a table with one line for each variant and kind of request."""
    lines = [
        f"{'scenario':16}{'variant':14}{'kind':16}{'offered/s':>10}{'goodput/s':>10}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'recovery s':>11}{'twice':>6}{'false':>6}"
        f"{'wrong':>6}{'sent':>6}"
    ]
    for item in results:
        recovery = "-" if item.recovery_s is None else f"{item.recovery_s:.1f}"
        for kind in sorted(item.goodput):
            lines.append(
                f"{item.scenario:16}{item.variant:14}{kind:16}"
                f"{item.offered.get(kind, 0):10.1f}{item.goodput[kind]:10.1f}"
                f"{item.p50_ms.get(kind, 0):9.1f}{item.p99_ms.get(kind, 0):9.1f}"
                f"{recovery:>11}{item.run_twice:6}{item.false_not_run:6}"
                f"{item.wrong_answers:6}{item.sendings:6.2f}"
            )
    return "\n".join(lines)


def write_plot(results: list[RunResult], path: Path) -> None:
    """Draw goodput over time, one row for each scenario, with matplotlib.

    :param results: runs to draw.
    :param path: PNG file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(item.scenario for item in results))
    figure, axes = pyplot.subplots(
        len(names), 1, figsize=(10, 3 * len(names)), squeeze=False
    )
    for row, name in zip(axes, names, strict=True):
        for item in results:
            if item.scenario == name:
                total = [
                    sum(values) for values in zip(*item.series.values(), strict=True)
                ]
                times = [index * BIN_S for index in range(len(total))]
                row[0].plot(times, total, label=item.variant)
        row[0].set_title(f"{name}: whole requests per second")
        row[0].set_xlabel("seconds")
        row[0].legend(loc="upper right", fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
