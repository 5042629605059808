"""One run of one variant of a scenario."""

import itertools
import random
from collections import Counter

import msgspec
import trio

from catkinpost_standins.backend import Faults
from catkinpost_standins.bench.load import Caller, send_load
from catkinpost_standins.bench.measure import RunResult, summarize
from catkinpost_standins.bench.scenario import (
    VARIANTS,
    Scenario,
    Trigger,
    policy_text,
)
from catkinpost_standins.fleet import HOST, Fleet, Member, open_fleet
from catkinpost_standins.platform import Control
from catkinpost_standins.relay import RelayFaults
from catkinpost_standins.web import get_json

__all__ = ["run_variant"]

SETTLE_S = 1.0
RESTART_CHECK_S = 0.1


def start_baseline(fleet: Fleet) -> None:
    """Start a plain proxy on every port where a node would take calls."""
    addresses: dict[str, list[str]] = {}
    for member in fleet.members.values():
        items = addresses.setdefault(member.spec.service, [])
        items.append(f"{HOST}:{member.backend}")
    path = fleet.folder / "addresses.json"
    path.write_bytes(msgspec.json.encode(addresses))
    for name, member in fleet.members.items():
        member.node_process = fleet.spawn(
            f"{name}-proxy",
            "catkinpost_standins.plain_proxy",
            str(path),
            "--port",
            str(member.calls),
        )


async def apply_trigger(
    fleet: Fleet, scenario: Scenario, start: float, length: float
) -> None:
    """Set the scenario's fault at its time and take it back."""
    trigger = scenario.trigger
    if trigger is None:
        return
    hit = fleet.of_service(trigger.service)[: trigger.members]
    await trio.sleep(start)
    with trio.move_on_after(length):
        if trigger.turn_s:
            await take_turns(fleet, trigger, hit)
        await set_trigger(fleet, trigger, hit)
        await keep_running(fleet, trigger, hit)
    await end_trigger(fleet, trigger, hit)


async def take_turns(fleet: Fleet, trigger: Trigger, hit: list[Member]) -> None:
    """Set the fault on one instance after the other, until cancelled."""
    for member in itertools.cycle(hit):
        await fleet.set_faults(member, trigger.faults)
        await trio.sleep(trigger.turn_s)
        await fleet.set_faults(member, Faults())


async def set_trigger(fleet: Fleet, trigger: Trigger, hit: list[Member]) -> None:
    if trigger.faults is not None:
        for member in hit:
            await fleet.set_faults(member, trigger.faults)
    if trigger.platform is not None:
        await fleet.set_platform(trigger.platform)
    if trigger.relay:
        names = [f"{member.spec.name}/{trigger.relay}" for member in hit]
        faults = RelayFaults(cut=names) if trigger.cut else RelayFaults(silence=names)
        await fleet.set_relay(faults)


async def keep_running(fleet: Fleet, trigger: Trigger, hit: list[Member]) -> None:
    """Start crashed backend servers again, as the platform would."""
    while True:
        await trio.sleep(RESTART_CHECK_S)
        for member in hit:
            if member.backend_process.poll() is not None:
                fleet.restarts += 1
                fleet.start_backend(member)
                await fleet.wait_for(
                    lambda m=member: get_json(HOST, m.backend, "/health")
                )
                await fleet.set_faults(member, trigger.faults)


async def end_trigger(fleet: Fleet, trigger: Trigger, hit: list[Member]) -> None:
    if trigger.faults is not None:
        for member in hit:
            await fleet.set_faults(member, Faults())
    if trigger.platform is not None:
        await fleet.set_platform(Control())
    if trigger.relay:
        await fleet.set_relay(RelayFaults())


async def run_variant(
    scenario: Scenario, variant: str, *, length: float, seed: int
) -> RunResult:
    """Run one variant and return its figures.

    :param scenario: the scenario.
    :param variant: name of the variant.
    :param length: seconds of the trigger.
    :param seed: seed of all random choices of the callers.
    """
    switches = VARIANTS[variant]
    rng = random.Random(seed)
    duration = scenario.calm_s + length + scenario.after_s
    async with open_fleet(
        scenario.specs(),
        policy_text(scenario, switches or {}),
        with_nodes=switches is not None,
        with_relay=scenario.trigger is not None and bool(scenario.trigger.relay),
    ) as fleet:
        if switches is None:
            start_baseline(fleet)
            await trio.sleep(SETTLE_S)
        ports = [member.calls for member in fleet.members.values()]
        caller = Caller(ports=ports, host=HOST, rng=rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(apply_trigger, fleet, scenario, scenario.calm_s, length)
            records = await send_load(
                caller,
                scenario.kinds,
                lambda time: scenario.rate(time, length),
                duration,
            )
        journals = await fleet.journals()
        counters = await sum_counters(fleet) if switches is not None else {}
        counters["backend servers restarted"] = fleet.restarts
    end = scenario.calm_s + length
    return summarize(
        records,
        journals,
        counters,
        scenario=scenario.name,
        variant=variant,
        seed=seed,
        window=(scenario.calm_s + SETTLE_S, end),
        calm=(2.0, scenario.calm_s),
        trigger_end=end,
        duration=duration,
    )


async def sum_counters(fleet: Fleet) -> dict[str, int]:
    """Add up the events that all nodes have counted."""
    total: Counter = Counter()
    for member in fleet.members.values():
        status = await fleet.status(member)
        if status is not None:
            total.update(status["counters"])
    return dict(total)
