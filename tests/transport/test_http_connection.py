"""Tests of the state of a caller's connection."""

import unittest
from unittest import mock

from nose2.tools import params

from catkinpost.protocol.http import HttpResponse
from catkinpost.transport import http_connection
from catkinpost.transport.http_connection import Connection, Exchange

SIZE = 100_000


class TestDelivery(unittest.TestCase):
    @params(
        # (bytes queued before and after a response, seconds of sending, expected)
        (0, 0, 1.0, 1.0),
        (0, 50_000, 1.0, 2.0),
        (50_000, 50_000, 1.0, 1.0),
        (50_000, 0, 1.5, 1.0),
        (0, SIZE, 1.0, 0.0),
        (0, 0, 0.05, 0.0),
    )
    def test_time_of_a_response_counts_what_its_caller_has_taken(
        self, queued_bytes, unsent_bytes, sending_s, expected
    ):
        """Guards against responses in the send queue that count as taken, or as this
        one.
        """
        connection = Connection(mock.Mock(), mock.Mock())
        with mock.patch.object(
            http_connection, "count_unacknowledged_bytes", return_value=unsent_bytes
        ):
            connection.note_delivery(SIZE, queued_bytes, sending_s)
        self.assertAlmostEqual(connection.longest_delivery_s, expected)

    @params(
        # (bytes written of the first body, bytes in the send queue, expected)
        (0, 0, 2 * SIZE),
        (60_000, 50_000, 2 * SIZE - 10_000),
    )
    def test_undelivered_bytes_count_all_that_the_caller_has_not_taken(
        self, written_bytes, queued_bytes, expected
    ):
        """Guards against stops that end with answers due and log no bytes."""
        connection = Connection(mock.Mock(), mock.Mock())
        response = HttpResponse(200, [], bytes(SIZE))
        for ready in (response, response, None):
            connection.exchanges.append(Exchange(True, False, response=ready))
        connection.written_bytes = written_bytes
        with mock.patch.object(
            http_connection, "count_unacknowledged_bytes", return_value=queued_bytes
        ):
            self.assertEqual(connection.undelivered_bytes, expected)
