"""Tests of the counts of what workspaces have sent."""

import unittest

import trio

from catkinpost.coordination.limits.use import (
    LOG_INTERVAL_S,
    MAX_LOGGED_WORKSPACES,
    MAX_WORKSPACES,
    OTHER_WORKSPACES,
    SENT,
    SENT_AGAIN,
    WorkspaceUse,
)
from tests.clock import on_mock_clock
from tests.log import CapturedLog


class TestWorkspaceUse(unittest.TestCase):
    @on_mock_clock
    async def test_line_has_what_was_sent_since_the_last_one(self):
        use = WorkspaceUse()
        with CapturedLog() as messages:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(use.run)
                for event in (SENT, SENT, SENT_AGAIN):
                    use.record("lab", event)
                await trio.sleep(2.5 * LOG_INTERVAL_S)
                use.record("shop", SENT)
                await trio.sleep(LOG_INTERVAL_S)
                nursery.cancel_scope.cancel()
        lines = [message["busiest"] for message in messages]
        expected = [{"lab": {SENT: 2, SENT_AGAIN: 1}}, {"shop": {SENT: 1}}]
        self.assertEqual(lines, expected)
        self.assertEqual(use.counts["lab"][SENT], 2)

    def test_request_without_a_workspace_is_not_counted(self):
        use = WorkspaceUse()
        use.record(None, SENT)
        self.assertEqual(use.counts, {})

    def test_rows_and_lines_are_bounded(self):
        use = WorkspaceUse()
        for number in range(2 * MAX_WORKSPACES):
            use.record(f"w-{number}", SENT)
        with CapturedLog() as messages:
            use.log_recent()
        self.assertEqual(use.counts[OTHER_WORKSPACES][SENT], MAX_WORKSPACES)
        self.assertEqual(len(use.counts), MAX_WORKSPACES + 1)
        self.assertEqual(len(messages[0]["busiest"]), MAX_LOGGED_WORKSPACES)
