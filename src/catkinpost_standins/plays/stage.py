"""One play: traffic and planned work on a fleet of its own."""

import asyncio
import random
import signal
import time
from pathlib import Path

from catkinpost_standins.launch import catches
from catkinpost_standins.plays.client import HOST, Client, Fate, Sending
from catkinpost_standins.plays.fleet import (
    FIRST_PORT,
    GRACE_S,
    PLACES,
    Fleet,
    Machine,
    NodeBounds,
    Ways,
    find_port_block,
)
from catkinpost_standins.plays.pipeline import PipelineClient
from catkinpost_standins.plays.relay import Link
from catkinpost_standins.plays.server import Behaviour
from catkinpost_standins.plays.table import Play
from catkinpost_standins.plays.verdict import (
    OTHER_PATH,
    TOUCH_S,
    Disruption,
    Verdict,
)

__all__ = ["Stage", "run_play"]

BEFORE_S, AFTER_S = 1.5, 4.0
# Clients that pipeline go on until a node that stops is gone.
AFTER_PIPELINE_S = GRACE_S + 1.0
# A whole stop, a start and some requests behind it.
AFTER_RESTART_S = 12.0
# Until requests count again behind the longest cut, and some of these.
CUT_S, AFTER_CUT_S = (0.5, 5.0), 10.0
HELD_S, STOP_AHEAD_S = (0.5, 3.0), 0.5
# Time in which several works begin, and until the last is over.
SERIES_S, AFTER_SERIES_S = 3.0, 7.0
STOP_SHARE = 0.7
SERVE_S = 3.0
DRAIN_S = 2.5
PAUSE_S = 3.0
PROBE_S, MISSES = 1.0, 2
CLIENTS = {"free": 12, "full": 30, "crowd": 160}
# A process ends when the last caller's system has its answers: only among few callers
# have others not read theirs by then.
PIPELINE_CLIENTS = {"trickle": 24, "late": 4}
FORWARDED_CLIENTS = SOUND_CLIENTS = 6
REPLACE_S = 0.3
HANGUPS, FIRST_S, END_BY_SIGNAL_S = 4, 1.0, 0.1
DEADLINE_S, SHORT_TIMEOUT_S, OUTLASTED_S = 6.0, 1.0, 1.2
IDLE_S, SHORT_IDLE_S = 2.0, 1.0
PORTS_OF_A_PLAY = 64
SIZES = {"empty": 0, "small": 2_000, "large": 200_000, "chunked": 30_000}
ANSWER_SIZES = {
    "small": (500,),
    "large": (300_000,),
    "chunked": (20_000,),
    "until close": (5_000,),
    "mixed": (*[300] * 6, *[5_000] * 6, *[60_000] * 4, 300_000),
    "mostly small": (*[300] * 26, *[5_000] * 2, 60_000, 300_000),
}
TIMES_S = {"quick": 0.01, "slow": 0.6}
UNBOUNDED = NodeBounds()
NETWORKS = {
    "plain": Ways(),
    "delay": Ways(Link(0.008), Link(0.0014), Link(0.02)),
    "narrow": Ways(
        Link(0.001, 4e6), Link(0.0014, bytes_per_s=4e6), Link(0.02, bytes_per_s=2e6)
    ),
}


class Stage:
    """One play on its own fleet.

    :param play: row of the table.
    :param seed: source of its choices.
    :param number: number of the play, from which its addresses follow.
    :param folder: where settings and logs are written.
    :param bounds: what each node's process may use.
    """

    def __init__(
        self,
        play: Play,
        seed: int,
        number: int,
        folder: Path,
        bounds: NodeBounds,
    ) -> None:
        self.play, self.seed = play, f"{seed}-{number}"
        self.random = random.Random(self.seed)
        self.idle_limit_s, self.version = IDLE_S, 1
        self.is_accepting = True
        self.deadline_s = OUTLASTED_S if play.server == "outlasts" else DEADLINE_S
        self.stops: list[float] = []
        self.ready_at: float | None = None
        self.lag_s = 0.0
        self.service = play.place
        self.disruptions: list[Disruption] = []
        self.disrupted = {"link cut": self.cut_link, "peer held still": self.hold_peer}
        self.restarts = {
            "successor at once": self.run_successor,
            "signals at the start": self.run_signals,
            "settings replaced slowly": self.replace_settings,
        }
        behaviour = Behaviour(
            kind=play.server,
            answer=play.answer,
            sizes=ANSWER_SIZES[play.answer],
            seconds=TIMES_S.get(play.server, 0.1),
            slots=2 if play.queue == "full" else 32,
        )
        network = 10 + number % 200
        hosts = [f"127.0.{network}.{11 + index}" for index in range(len(PLACES))]
        port = find_port_block(FIRST_PORT + PORTS_OF_A_PLAY * number, hosts)
        self.fleet = Fleet(
            folder, network, behaviour, NETWORKS[play.network], port, bounds
        )
        names = {"here": 0, "near": 1, "far": 2}
        self.entry = self.fleet.machines[0]
        self.target = self.fleet.machines[names[play.place]]
        # The machine that a disruption meets, and a service on machines beside it.
        is_here = self.target is self.entry
        self.peer = self.fleet.machines[1] if is_here else self.target
        self.sound_service = "near" if play.place == "far" else "far"

    def build_configuration(self, service: str, timeout_s: float) -> dict:
        """Build the configuration of the operator."""
        route = {
            "name": "r-play",
            "host": HOST,
            "prefix": "/play/",
            "kind": self.play.kind,
            "timeout-s": timeout_s,
            "target-latency-s": 1.0,
            "priority": 0,
            "service": service,
            "max-attempts": 2,
        }
        # Requests of another machine are forwarded to the server of the entry.
        forwarded = {"name": "r-entry", "prefix": OTHER_PATH, "service": "here"}
        sound = {"name": "r-sound", "prefix": "/sound/", "service": self.sound_service}
        return {
            "version": self.version,
            "routes": [route, route | forwarded, route | sound],
            "services": [{"name": name} for name in ("here", "near", "far")],
            "limits": {"idle-timeout-s": self.idle_limit_s},
        }

    def build_sending(self, path: str = "/play/") -> Sending:
        """Return how the clients of the play send.

        :param path: prefix of their route.
        """
        play = self.play
        # Clients send no unsafe request ahead.
        is_behind = play.form in ("ahead", "spread")
        form = "kept" if is_behind and play.kind == "unsafe" else play.form
        size = SIZES[play.upload]
        return Sending(
            form=form,
            method="POST" if size or play.kind == "unsafe" else "GET",
            path=path,
            upload=bytes(self.random.randbytes(size)),
            is_chunked=play.upload == "chunked",
            reader=play.reader,
            answer_sizes=ANSWER_SIZES[play.answer],
            deadline_s=self.deadline_s,
        )

    async def run(self) -> tuple[list[str], Verdict]:
        """Play, and return what broke a rule."""
        try:
            await self.fleet.start(
                self.build_configuration(self.play.place, DEADLINE_S)
            )
            return await self.perform()
        finally:
            await self.fleet.end()

    def build_clients(self) -> list[Client]:
        """Return the clients of the entry, and those whose requests it is sent."""
        # A relay reads at once, and would hide what a slow reader does to a node.
        is_direct = self.play.network == "plain"
        port = self.fleet.outbound_port if is_direct else self.fleet.client_port
        address = (self.entry.host, port)
        sending = self.build_sending()
        pipelines = self.play.form == "pipeline"
        kind = PipelineClient if pipelines else Client
        count = CLIENTS[self.play.queue]
        if pipelines:
            count = PIPELINE_CLIENTS[self.play.reader]
        clients = [
            kind(
                address,
                sending,
                f"{self.seed}-{index}",
                lambda: self.idle_limit_s,
                lambda: self.is_accepting or self.play.traffic == "goes on",
            )
            for index in range(count)
        ]
        if self.play.work in self.restarts:
            address = (self.fleet.machines[1].host, self.fleet.outbound_port)
            sending = self.build_sending(OTHER_PATH)
            clients += [
                Client(
                    address,
                    sending,
                    f"{self.seed}-other-{index}",
                    lambda: self.idle_limit_s,
                    lambda: True,
                )
                for index in range(FORWARDED_CLIENTS)
            ]
        if self.play.work in self.disrupted:
            address = (self.entry.host, port)
            sending = self.build_sending("/sound/")
            clients += [
                Client(
                    address,
                    sending,
                    f"{self.seed}-sound-{index}",
                    lambda: self.idle_limit_s,
                    clients[0].accepts,
                )
                for index in range(SOUND_CLIENTS)
            ]
        return clients

    async def perform(self) -> tuple[list[str], Verdict]:
        self.work_at = time.monotonic() + max(BEFORE_S + 0.2, TOUCH_S)
        after_s = AFTER_S
        if self.play.work in self.restarts:
            after_s = AFTER_RESTART_S
        elif self.play.work in self.disrupted:
            after_s = AFTER_CUT_S
        elif self.play.work == "three works":
            after_s = AFTER_SERIES_S
        elif self.play.form == "pipeline":
            after_s = AFTER_PIPELINE_S
        clients = self.build_clients()
        first_at = self.work_at - BEFORE_S
        async with asyncio.TaskGroup() as group:
            background = [
                group.create_task(self.probe()),
                group.create_task(self.measure_lag()),
            ]
            works = group.create_task(self.run_work(self.play.work, self.work_at))
            runs = [
                group.create_task(
                    client.run(
                        first_at + self.random.uniform(0, 0.4),
                        self.work_at + after_s,
                        gap_s=0.2,
                    )
                )
                for client in clients
            ]
            await asyncio.wait([works, *runs])
            for task in background:
                task.cancel()
        fates = [fate for client in clients for fate in client.fates]
        runs_by_attempt: dict = {}
        for machine in self.fleet.machines:
            for attempt, items in machine.server.runs.items():
                runs_by_attempt.setdefault(attempt, []).extend(items)
        is_short = self.play.work == "shorter route time-out"
        verdict = Verdict(
            fates,
            runs_by_attempt,
            self.work_at,
            self.stops,
            SHORT_TIMEOUT_S if is_short else self.deadline_s,
            self.play.kind == "unsafe",
            limit_before_s=self.deadline_s,
            disruptions=self.disruptions,
        )
        lines = verdict.find() + self.check_service(fates, self.work_at + after_s)
        for machine in self.fleet.machines:
            if not machine.ends:
                machine.check_exit(machine.process)
            lines += [f"{end} ({machine.host})" for end in machine.ends]
        return lines, verdict

    def check_service(self, fates: list[Fate], until: float) -> list[str]:
        """Return a line if a process that is ready again serves no request."""
        ready_at = self.ready_at
        if ready_at is None or ready_at > until - SERVE_S:
            return []
        served = sum(
            fate.is_signed and fate.started_at >= ready_at
            for fate in fates
            if fate.path.startswith("/play/")
        )
        return [] if served else ["SERVE: no answer of a server after the start"]

    async def probe(self) -> None:
        """Ask the clients' machine for readiness, and take it out after two misses."""
        await asyncio.sleep(self.random.uniform(0, PROBE_S))
        misses = 0
        while True:
            is_ready = await self.fleet.is_ready(self.entry)
            misses = 0 if is_ready else misses + 1
            self.is_accepting = misses < MISSES
            await asyncio.sleep(PROBE_S)

    async def measure_lag(self) -> None:
        """Note by how much this process is late at the most."""
        while True:
            due_at = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, time.monotonic() - due_at)

    async def run_work(self, work: str, at: float) -> None:
        """Do a planned work at a time."""
        await asyncio.sleep(at - time.monotonic())
        fleet, target = self.fleet, self.target
        if work == "silent store":
            fleet.store.is_silent = True
            await asyncio.sleep(self.random.uniform(0, 1))
            await self.stop([self.entry], [])
            fleet.store.is_silent = False
        elif work in ("SIGHUP", "SIGTERM with a change"):
            for machine in (self.entry, target):
                fleet.change_settings(machine, 280)
                machine.process.send_signal(signal.SIGHUP)
            if work != "SIGHUP":
                self.idle_limit_s = SHORT_IDLE_S
                self.configure(self.play.place, DEADLINE_S)
                await self.stop([self.entry], [])
        elif work == "SIGHUP in a pause":
            self.entry.process.send_signal(signal.SIGSTOP)
            fleet.change_settings(self.entry, 280)
            self.entry.process.send_signal(signal.SIGHUP)
            await self.end_pause()
        elif work in self.restarts:
            await self.restarts[work]()
            await fleet.check_restart(self.entry)
            self.ready_at = time.monotonic()
        elif work in self.disrupted:
            await self.disrupted[work]()
        elif work == "three works":
            await self.run_three_works()
        elif work.startswith("SIGTERM"):
            await self.run_stop(work)
        elif work == "shorter idle time-out":
            self.idle_limit_s = SHORT_IDLE_S
            self.configure(self.service, DEADLINE_S)
        elif work == "shorter route time-out":
            self.configure(self.play.place, SHORT_TIMEOUT_S)
        elif work == "route moves":
            others = {"here": "near", "near": "far", "far": "here"}
            self.service = others[self.play.place]
            self.configure(self.service, DEADLINE_S)
        else:
            await self.drain(target, has_notice=work == "draining")

    async def cut_link(self) -> None:
        """Cut the way to one machine, and stop one of its ends meanwhile, or none."""
        there, back = (self.entry, self.peer), (self.peer, self.entry)
        choices = [[there, back], [there], [back]]
        ways = [self.fleet.ways_between[pair] for pair in self.random.choice(choices)]
        cut_s = self.random.uniform(*CUT_S)
        stopped = self.random.choice([None, self.entry, self.peer])
        stop_after_s = self.random.uniform(0, cut_s)
        resets = self.random.random() < 0.5
        started_at = time.monotonic()
        for way in ways:
            way.cut()
        async with asyncio.TaskGroup() as group:
            if stopped is not None:
                group.create_task(self.stop_later(stopped, stop_after_s))
            await asyncio.sleep(cut_s)
            for way in ways:
                way.mend(resets=resets)
            self.note_disruption("a link was cut", started_at)

    async def hold_peer(self) -> None:
        """Pause the peer's process, and stop the entry shortly before or meanwhile."""
        held_s = self.random.uniform(*HELD_S)
        stop_after_s = self.random.uniform(0, STOP_AHEAD_S + held_s)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.stop_later(self.entry, stop_after_s))
            await asyncio.sleep(STOP_AHEAD_S)
            started_at = time.monotonic()
            self.peer.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(held_s)
            self.peer.process.send_signal(signal.SIGCONT)
            self.note_disruption("a peer was held still", started_at)

    async def stop_later(self, machine: Machine, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.stop([machine], [])

    def note_disruption(self, cause: str, started_at: float) -> None:
        """Note a disruption at the peer that ends now."""
        prefixes = ("/play/",) if self.peer is self.target else ()
        server = self.peer.server.identity
        self.disruptions.append(
            Disruption(cause, server, prefixes, started_at, time.monotonic())
        )

    async def run_three_works(self) -> None:
        """Begin three works within a short time, of which the last may be a stop."""
        works = ["SIGHUP", "shorter idle time-out", "route moves", "draining"]
        if self.target is not self.entry:
            works.append("SIGTERM at the target")
        works = self.random.sample(works, 3)
        if self.random.random() < STOP_SHARE:
            works[-1] = "SIGTERM at the entry"
        times = sorted(self.random.uniform(0, SERIES_S) for _ in works)
        await asyncio.gather(
            *[
                self.run_work(work, self.work_at + after_s)
                for work, after_s in zip(works, times, strict=True)
            ]
        )

    async def run_stop(self, work: str) -> None:
        if work == "SIGTERM in a pause":
            self.entry.process.send_signal(signal.SIGSTOP)
            pause = asyncio.create_task(self.end_pause())
            await self.stop([self.entry], [])
            await pause
            return
        if work == "SIGTERM after the server's end":
            await self.drain(self.target, has_notice=True)
            await self.stop([self.target], [])
            return
        machines = {
            "SIGTERM at the target": [self.target],
            "SIGTERM at both": list({self.entry, self.target}),
        }.get(work, [self.entry])
        again_s = []
        if work == "SIGTERM in series":
            again_s = [self.random.uniform(0, 3) for _ in range(4)]
        await self.stop(machines, again_s)

    async def run_successor(self) -> None:
        """Start a process while its predecessor at the same addresses serves."""
        stop = asyncio.create_task(self.stop([self.entry], []))
        await asyncio.sleep(self.random.uniform(0, 0.3))
        self.fleet.start_node(self.entry)
        await stop

    async def run_signals(self) -> None:
        """Send signals to a process in its first second."""
        await self.stop([self.entry], [])
        await self.fleet.restart(self.entry)
        signals = [self.send_hangups()]
        if self.random.random() < 0.5:
            signals.append(self.stop_early())
        await asyncio.gather(*signals)
        if self.entry.process.poll() is not None:
            await self.fleet.restart(self.entry)
            await self.send_hangups()

    async def replace_settings(self) -> None:
        """Start a process whose settings file is missing, and then half written."""
        await self.stop([self.entry], [])
        path = self.entry.settings
        text = path.read_text()
        path.unlink()
        await self.fleet.restart(self.entry)
        await asyncio.sleep(REPLACE_S)
        path.write_text(text[: self.random.randrange(len(text))])
        await asyncio.sleep(REPLACE_S)
        path.write_text(text)

    async def send_hangups(self) -> None:
        """Change the settings and send SIGHUP, several times."""
        process, started_at = self.entry.process, time.monotonic()
        can_end = False
        for after_s in sorted(self.random.uniform(0, FIRST_S) for _ in range(HANGUPS)):
            await asyncio.sleep(started_at + after_s - time.monotonic())
            if process.poll() is not None:
                break
            self.fleet.change_settings(self.entry, self.random.randint(280, 300))
            # No program can withstand it before its interpreter is set up.
            can_end = can_end or not catches(process, signal.SIGINT)
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(END_BY_SIGNAL_S)
        if process.poll() == -signal.SIGHUP:
            if not can_end:
                self.entry.ends.append("EXIT: by SIGHUP")
        elif process not in self.entry.stopped:
            self.entry.check_exit(process)

    async def stop_early(self) -> None:
        """Send SIGTERM to a process that may not be set up to stop in order."""
        await asyncio.sleep(self.random.uniform(0, FIRST_S))
        if self.entry.process.poll() is None:
            self.stops.append(time.monotonic())
            is_set_up = catches(self.entry.process, signal.SIGTERM)
            allowed = () if is_set_up else (-signal.SIGTERM,)
            await self.fleet.stop_node(self.entry, [], allowed)

    async def end_pause(self) -> None:
        await asyncio.sleep(PAUSE_S)
        self.entry.process.send_signal(signal.SIGCONT)

    async def stop(self, machines: list[Machine], again_s: list[float]) -> None:
        if self.entry in machines:
            self.stops.append(time.monotonic())
        await asyncio.gather(
            *[self.fleet.stop_node(machine, list(again_s)) for machine in machines]
        )

    def configure(self, service: str, timeout_s: float) -> None:
        self.version += 3
        configuration = self.build_configuration(service, timeout_s)
        self.fleet.store.put("op/config", configuration)

    async def drain(self, machine: Machine, *, has_notice: bool) -> None:
        """Let a server leave: it serves for a while, and ends once it is idle."""
        server = machine.server
        if has_notice:
            self.fleet.register(machine, "draining")
        else:
            self.fleet.store.put(f"servers/{server.identity}", None)
        server.is_leaving = True
        await asyncio.sleep(DRAIN_S + self.random.uniform(0.1, 0.5))
        while server.is_working:
            await asyncio.sleep(0.01)
        server.end()
        self.fleet.store.put(f"servers/{server.identity}", None)


async def run_play(
    play: Play, seed: int, number: int, folder: Path, bounds: NodeBounds = UNBOUNDED
) -> tuple[list[str], Verdict, float]:
    """Run one play.

    :param play: row of the table.
    :param number: number of the play.
    :param folder: where settings and logs are written.
    :param bounds: what each node's process may use.
    :return: what broke a rule, the verdict, and by how much the play was late.
    """
    stage = Stage(play, seed, number, folder, bounds)
    lines, verdict = await stage.run()
    return lines, verdict, stage.lag_s
