"""Tests of the operators' interface."""

import unittest
from unittest import mock

import trio

from catkinpost.coordination.operation.operator_api import (
    MAX_WAITING_REQUESTS,
    OperatorApi,
)
from catkinpost.state.decision_log import DecisionLog
from tests.clock import on_mock_clock, wait_all_tasks_blocked


class TestWaitingRequests(unittest.TestCase):
    @on_mock_clock
    async def test_number_of_requests_that_wait_is_bounded(self):
        """Guards against memory that is used up by heads of requests that wait."""
        api = OperatorApi(
            build_status=mock.Mock(),
            decisions=DecisionLog(),
            metrics=mock.Mock(),
            store=mock.Mock(),
        )
        answers = []

        async def wait():
            answers.append(await api.get_decisions({"wait": ["20"]}))

        async with trio.open_nursery() as nursery:
            for _ in range(MAX_WAITING_REQUESTS + 5):
                nursery.start_soon(wait)
            await wait_all_tasks_blocked()
            self.assertEqual(len(answers), 5)
            nursery.cancel_scope.cancel()
        self.assertEqual(api.waiting, 0)


if __name__ == "__main__":
    unittest.main()
