"""Tests of the verdict on the requests of a play."""

import unittest
from dataclasses import replace

from nose2.tools import params

from catkinpost_standins.plays.client import Fate
from catkinpost_standins.plays.server import Run
from catkinpost_standins.plays.verdict import TOUCH_S, Disruption, Verdict

STOPPED_AT = 100.0
LIMIT_S = 4.0


def build_fate(
    end,
    status=0,
    *,
    place=0,
    sent=99.0,
    ended=101.0,
    signed=False,
    path="/play/a-1",
):
    return Fate(
        "a-1",
        "POST",
        path,
        7,
        place,
        False,
        started_at=98.9,
        sent_at=sent,
        ended_at=ended,
        end=end,
        status=status,
        is_signed=signed,
        is_whole_body=signed,
    )


def build_run(
    end,
    began=99.5,
    ended=99.9,
    *,
    path="/play/a-1",
    upload=7,
    arrived=99.4,
    server="i-1",
):
    return Run(server, "POST", path, arrived, upload, began, ended, end)


BLOCKED_FATE = replace(build_fate("no answer", place=1, ended=103.5), is_blocked=True)
BROKEN_RUN = build_run("broken off")


class TestVerdict(unittest.TestCase):
    @params(
        # (fate, runs, whether the clients' machine was stopped, rules)
        (build_fate("answered", 200, signed=True), [build_run("done")], True, ""),
        (build_fate("answered", 200), [build_run("done")], True, "MIXED"),
        (build_fate("answered", 200, signed=True), [build_run("cut")], False, "MIXED"),
        (build_fate("answered", 200, signed=True), [], False, "MIXED"),
        (build_fate("answered", 504, signed=True), [build_run("deadline")], False, ""),
        (build_fate("answered", 504, signed=True), [build_run("done")], False, "MIXED"),
        (build_fate("answered", 502, signed=True), [build_run("done")], False, "MIXED"),
        (
            replace(build_fate("answered", 200, signed=True), is_followed=True),
            [build_run("done")],
            False,
            "MIXED",
        ),
        (build_fate("closed"), [build_run("done")], True, "LOST"),
        (build_fate("reset"), [build_run("done")], False, "LOST"),
        (build_fate("cut", 200), [build_run("done")], True, "LOST"),
        (build_fate("closed"), [build_run("broken off")], True, ""),
        (build_fate("closed"), [], True, "LOST"),
        (build_fate("closed", ended=99.1), [], True, ""),
        (build_fate("closed", place=1), [], True, ""),
        (build_fate("closed", sent=None), [], True, ""),
        (build_fate("dropped", place=2), [build_run("done")], True, "LOST"),
        (build_fate("dropped", place=2), [build_run("done")], False, "LOST"),
        (build_fate("dropped", place=2), [], True, ""),
        (build_fate("dropped"), [], True, "LOST"),
        (build_fate("dropped", ended=99.1), [], True, ""),
        (build_fate("dropped", ended=102.9), [build_run("done")], True, ""),
        (build_fate("dropped", ended=102.899), [build_run("done")], True, "LOST"),
        (build_fate("dropped", place=2), [build_run("broken off")], True, ""),
        (build_fate("closed", place=2), [build_run("done")], True, "LOST"),
        (build_fate("closed", ended=102.9), [build_run("runs")], True, ""),
        (build_fate("no answer"), [], False, "LATE"),
        (build_fate("no answer", 200), [], False, ""),
        (build_fate("no answer", place=1), [], False, ""),
        (build_fate("no answer", place=1, ended=103.5), [], False, "LATE"),
        (BLOCKED_FATE, [], False, ""),
        (build_fate("malformed"), [build_run("done")], False, "MIXED"),
        (build_fate("answered", 504, ended=102.9), [build_run("done")], False, ""),
        (build_fate("refused"), [], False, ""),
        (build_fate("answered", 503), [build_run("done")], False, "REFUSED"),
        (build_fate("answered", 503), [build_run("shed", None)], False, ""),
        (build_fate("answered", 502), [build_run("cut", 99.5, 101.01)], True, "LOST-"),
        (build_fate("answered", 502), [build_run("cut")], False, "BROKEN-OFF"),
        (build_fate("answered", 502), [build_run("done")], False, "DROPPED"),
        (build_fate("answered", 502), [build_run("broken off")], True, ""),
        (build_fate("answered", 404), [], False, "DENIED"),
        (build_fate("refused"), [build_run("done"), build_run("cut")], True, "TWICE"),
        (build_fate("refused"), [build_run("done", path="/x")], True, "UNASKED"),
        (build_fate("refused"), [build_run("done", upload=8)], True, "UNASKED"),
        (build_fate("refused"), [build_run("done", upload=0)], True, "UNASKED"),
        (build_fate("refused"), [build_run("runs", upload=8)], True, "UNASKED"),
        (build_fate("refused"), [build_run("done", upload=None)], True, ""),
    )
    def test_rule(self, fate, runs, was_stopped, rule):
        stops = [STOPPED_AT] if was_stopped else []
        verdict = Verdict([fate], {"a-1": runs}, 100.0, stops, LIMIT_S, True)
        lines = verdict.find()
        self.assertEqual(len(lines), bool(rule))
        self.assertTrue(not rule or lines[0].startswith(rule))

    @params(
        (build_fate("closed"), [BROKEN_RUN, build_run("done", arrived=99.6)]),
        (build_fate("closed"), [build_run("done", arrived=99.6), BROKEN_RUN]),
        (build_fate("answered", 502), [BROKEN_RUN, build_run("cut", arrived=99.6)]),
    )
    def test_server_that_broke_off_excuses_no_later_run(self, fate, runs):
        verdict = Verdict([fate], {"a-1": runs}, 100.0, [STOPPED_AT], LIMIT_S, False)
        self.assertTrue(verdict.find()[0].startswith("LOST"))

    @params(
        # (runs, SIGTERM, whether lost)
        ([build_run("cut")], STOPPED_AT, True),
        ([build_run("cut")], 102.0, False),
        ([build_run("cut"), build_run("shed", None, arrived=99.95)], STOPPED_AT, False),
        ([build_run("done")], STOPPED_AT, False),
    )
    def test_refusal_in_place_of_work(self, runs, stopped_at, is_lost):
        fate = build_fate("answered", 503)
        verdict = Verdict([fate], {"a-1": runs}, 100.0, [stopped_at], LIMIT_S, False)
        found = [line.split()[0] for line in verdict.find()]
        self.assertEqual(found, ["LOST-STOP"] * is_lost)

    def test_run_that_no_client_sent(self):
        runs = {"a-2": [build_run("done")]}
        verdict = Verdict([], runs, 100.0, [], LIMIT_S, False)
        self.assertEqual([line.split()[0] for line in verdict.find()], ["UNASKED"])

    @params((100.05, ""), (99.95, "LOST"))
    def test_shorter_time_out_excuses_no_loss_before_it(self, ended_at, rule):
        fate = build_fate("closed", ended=ended_at)
        runs = {"a-1": [build_run("done")]}
        verdict = Verdict([fate], runs, 100.0, [], 1.0, False, LIMIT_S)
        self.assertEqual(
            [line.split()[0] for line in verdict.find()], [rule] * bool(rule)
        )

    @params(
        # (second of the send after SIGTERM, second of the end, run, whether lost)
        (2.5, 5.2, "cut", False),
        (2.5, 4.8, "cut", True),
        (3.2, 5.2, "cut", True),
        (2.5, 5.2, "runs", False),
        (2.5, 4.8, "runs", True),
    )
    def test_work_at_the_end_of_the_grace_time(self, sent_s, ended_s, end, is_lost):
        fate = build_fate("answered", 502, sent=100.0 + sent_s, ended=100.0 + ended_s)
        fate.started_at = fate.sent_at
        run = build_run(end, 103.3, 100.0 + ended_s if end == "cut" else None)
        verdict = Verdict([fate], {"a-1": [run]}, 100.0, [STOPPED_AT], LIMIT_S, False)
        self.assertEqual(bool(verdict.find()), is_lost)

    @params(("/play/a-1", False), ("/entry/a-1", True))
    def test_stop_of_another_machine_is_no_excuse(self, path, is_lost):
        fate = replace(build_fate("closed", sent=102.0, ended=105.2), path=path)
        fate.started_at = fate.sent_at
        runs = {"a-1": [build_run("cut", 102.1, 105.2, path=path)]}
        verdict = Verdict([fate], runs, 100.0, [STOPPED_AT], LIMIT_S, False)
        found = [line.split()[0] for line in verdict.find()]
        self.assertEqual(found, ["LOST"] * is_lost)

    def test_grace_time_of_an_earlier_process_is_no_excuse(self):
        fate = build_fate("closed", sent=102.0, ended=105.2)
        fate.started_at = fate.sent_at
        runs = {"a-1": [build_run("cut", 102.1, 105.2)]}
        verdict = Verdict([fate], runs, 100.0, [STOPPED_AT, 103.0], LIMIT_S, False)
        self.assertTrue(verdict.find()[0].startswith("LOST"))

    @params(
        # (fate, runs, seconds from the request's start to the disruption's end, rule)
        (build_fate("reset"), [build_run("done")], 1.0, ""),
        (build_fate("reset"), [build_run("cut")], 0.1 - TOUCH_S, ""),
        (build_fate("reset"), [build_run("cut")], -0.1 - TOUCH_S, "LOST"),
        (build_fate("reset"), [build_run("done")], 9.0, "LOST"),
        (build_fate("closed"), [], 1.0, ""),
        (build_fate("closed", path="/sound/a-1"), [], 1.0, "LOST"),
        (build_fate("closed"), [build_run("done", server="i-2")], 1.0, "LOST"),
        (build_fate("answered", 502), [build_run("done")], 1.0, ""),
        (build_fate("answered", 502), [build_run("cut")], 1.0, ""),
        (build_fate("answered", 502), [build_run("cut", server="i-2")], 1.0, "BROKEN"),
        (build_fate("no answer"), [build_run("runs")], 1.0, "LATE"),
        (build_fate("answered", 503), [build_run("done")], 1.0, "REFUSED"),
        (build_fate("answered", 200), [build_run("done")], 1.0, "MIXED"),
        (build_fate("answered", 404), [], 1.0, "DENIED"),
        (build_fate("reset"), [build_run("cut"), build_run("done")], 1.0, "TWICE"),
        (build_fate("reset"), [build_run("done", path="/x")], 1.0, "UNASKED"),
    )
    def test_only_losses_at_the_disrupted_machine_are_excused(
        self, fate, runs, end_s, rule
    ):
        until = fate.started_at + end_s
        disruption = Disruption("a cut", "i-1", ("/play/",), until - 4.0, until)
        verdict = Verdict([fate], {"a-1": runs}, 100.0, [], LIMIT_S, True)
        verdict.disruptions = [disruption]
        lines = verdict.find()
        self.assertEqual(len(lines), bool(rule))
        self.assertTrue(not rule or lines[0].startswith(rule))
        is_counted = any("a cut" in kind for kind in verdict.excused)
        self.assertTrue(rule or is_counted)
