"""Tests of the machines of a play."""

import signal
import subprocess
import sys
import unittest

from catkinpost_standins.launch import catches

PROGRAM = """\
import signal
signal.signal(signal.SIGTERM, lambda *_: None)
signal.signal(signal.SIGHUP, signal.SIG_IGN)
print(flush=True)
signal.pause()
"""


class TestCatches(unittest.TestCase):
    def test_a_handler_of_the_process_counts(self):
        process = subprocess.Popen(
            [sys.executable, "-S", "-c", PROGRAM], stdout=subprocess.PIPE
        )
        try:
            process.stdout.readline()
            self.assertTrue(catches(process, signal.SIGINT))
            self.assertTrue(catches(process, signal.SIGTERM))
            self.assertFalse(catches(process, signal.SIGHUP))
        finally:
            process.kill()
            process.communicate()
