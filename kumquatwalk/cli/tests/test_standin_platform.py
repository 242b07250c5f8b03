"""Test of the ``standin platform`` command in its own process."""

import pathlib
import signal
import subprocess
import sys
import unittest

from kumquatwalk.platform.blocking_store import BlockingStoreClient
from kumquatwalk.platform.store_position import ABSENT

TIMEOUT_S = 60.0
ROOT = pathlib.Path(__file__).resolve().parents[3]


class ProcessTest(unittest.TestCase):

    def test_starts_serves_and_stops_on_sigterm(self):
        command = [sys.executable, "-m", "kumquatwalk", "standin", "platform"]
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, cwd=ROOT
        ) as process:
            self.addCleanup(process.kill)
            word, address = process.stdout.readline().split()
            self.assertEqual(word, "listening")
            client = BlockingStoreClient(address)
            written = client.put("a", b"1", ABSENT)
            self.assertEqual(client.get("a").position, written)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(TIMEOUT_S), 0)
