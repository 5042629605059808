"""A workspace with a key and a limit in soaks, and the verdict on its requests."""

from bisect import bisect_right
from dataclasses import dataclass

from catkinpost_standins.users_platform.server import Run
from catkinpost_standins.users_platform.traffic import Call, Fate

__all__ = ["KEY", "ROUTE", "WORKSPACE", "LimitVerdict", "add_workspace"]

WORKSPACE, KEY, ROUTE = "lab", "k-soak-5vq", "keyed"
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.25, 20
PROPAGATION_S = 3.0


def add_workspace(configuration: dict, rate: float) -> dict:
    """Return a configuration with a workspace, whose key one more route needs.

    All other routes are public.
    """
    routes = [route | {"public": True} for route in configuration["routes"]]
    safe = next(route for route in routes if route["kind"] == "safe")
    keyed = safe | {"name": ROUTE, "prefix": f"/{ROUTE}/", "public": False}
    tenant = {
        "name": WORKSPACE,
        "api-keys": [KEY],
        "rate-per-s": rate,
        "burst": rate,
    }
    return configuration | {"routes": [*routes, keyed], "tenants": [tenant]}


@dataclass(frozen=True)
class LimitVerdict:
    """Judges what servers ran for the workspace, and what they were told of callers.

    :param fates: requests as their clients saw them.
    :param runs: requests as the servers saw them.
    :param limits: times at which limits were published, with their rates.
    """

    fates: list[Fate]
    runs: dict[bytes, list[Run]]
    limits: list[tuple[float, float]]

    def find(self) -> list[str]:
        """Return a line for each window, run or answer that breaks a rule."""
        return [*self.find_told(), *self.find_windows()]

    def is_keyed(self, call: Call) -> bool:
        return call.route == ROUTE

    def find_told(self) -> list[str]:
        """Find runs of which the server was told a key or another workspace."""
        lines = []
        for fate in self.fates:
            expected = WORKSPACE if self.is_keyed(fate.call) else ""
            for run in self.runs.get(fate.attempt, []):
                if run.has_key or run.tenant != expected:
                    lines.append(
                        f"UNASKED {fate.attempt.decode()}: workspace {run.tenant!r},"
                        f" key shown: {run.has_key}"
                    )
        return lines

    def find_windows(self) -> list[str]:
        """Find windows in which more was sent and run than the limit allows."""
        spans = sorted(
            (fate.started_at, run.began_at)
            for fate in self.fates
            if self.is_keyed(fate.call)
            for run in self.runs.get(fate.attempt, [])
            if run.began_at is not None
        )
        for start, _ in spans:
            end = start + WINDOW_S
            count = sum(
                began_at <= end
                for _, began_at in spans[bisect_right(spans, (start, 0.0)) :]
            )
            allowed = self.compute_allowed(start, end)
            if count > allowed:
                return [f"QUOTA {count} of {allowed:.0f} in {WINDOW_S} s from {start}"]
        return []

    def compute_allowed(self, start: float, end: float) -> float:
        """Return the bound by the highest limit that may be in force."""
        since = start - PROPAGATION_S - WINDOW_S
        earlier = [rate for at, rate in self.limits if at <= since][-1:]
        rates = earlier + [rate for at, rate in self.limits if since < at <= end]
        rate = max(rates)
        return (rate * WINDOW_S + rate) * (1 + OVERSHOOT) + SLACK
