import os
import socket
import subprocess
import sys
import unittest

import trio

from tests.end_to_end.memory import MemorySampler, count_unread_bytes

HOST = "127.0.0.1"
SIZE = 10_000


class TestMemorySampler(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server((HOST, 0))
        self.addCleanup(self.listener.close)
        self.port = self.listener.getsockname()[1]
        self.client = socket.create_connection((HOST, self.port))
        self.addCleanup(self.client.close)

    def test_unread_bytes_are_counted_until_they_are_read(self):
        self.assertEqual(count_unread_bytes(HOST, [self.port]), 0)
        self.client.sendall(b"x" * SIZE)
        self.assertEqual(count_unread_bytes(HOST, [self.port]), SIZE)
        connection, _ = self.listener.accept()
        with connection:
            self.assertEqual(count_unread_bytes(HOST, [self.port]), SIZE)
            connection.recv(SIZE, socket.MSG_WAITALL)
            self.assertEqual(count_unread_bytes(HOST, [self.port]), 0)

    def test_unread_bytes_of_a_client_that_has_closed_are_counted(self):
        self.client.sendall(b"x" * SIZE)
        self.client.shutdown(socket.SHUT_WR)
        self.assertGreaterEqual(count_unread_bytes(HOST, [self.port]), SIZE)

    def test_sum_is_taken_at_one_time(self):
        self.client.sendall(b"x" * SIZE)
        sampler = MemorySampler(pid=os.getpid(), host=HOST, ports=(self.port,))
        sampler.sample()
        self.assertEqual(sampler.peak_unread_bytes, SIZE)
        self.assertEqual(sampler.peak_bytes, sampler.peak_resident_bytes + SIZE)

    def test_process_that_has_ended_stops_the_sampler(self):
        process = subprocess.Popen([sys.executable, "-c", ""])
        self.addCleanup(process.wait)
        sampler = MemorySampler(pid=process.pid, host=HOST, ports=(self.port,))

        async def run():
            with trio.fail_after(30):
                await sampler.run()

        trio.run(run)
        self.assertTrue(sampler.has_ended)


if __name__ == "__main__":
    unittest.main()
